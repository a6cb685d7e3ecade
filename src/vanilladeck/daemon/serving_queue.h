#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanilladeck/admission/retry_budget.h"
#include "vanilladeck/admission/scheduler.h"
#include "vanilladeck/admission/server_pool.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/daemon/serving_context.h"

namespace vanilladeck::daemon {

/// Permission to run one request on a backend server; release it with `ServiceQueue::Finish`.
struct Slot {
  admission::RequestId id = 0;
  std::string server;  ///< Empty after a failed `Reassign`.
  core::TimePoint started;
};

/// Request queue and backend servers of one service in the own failure domain.
class ServiceQueue {
 public:
  /// Logs and returns null if the configuration of the service is unusable.
  [[nodiscard]] static std::unique_ptr<ServiceQueue> Create(boost::asio::any_io_executor executor,
                                                            std::string service,
                                                            const config::Deployment& deployment,
                                                            const config::Place& place,
                                                            std::uint32_t seats);

  /// Applies a new configuration; waiting and running requests are kept.
  void Configure(const config::Deployment& deployment, const config::Place& place,
                 std::uint32_t seats);

  /// Applies the servers and seats of a snapshot. The seats expire at `valid_until`.
  void SetServers(const std::vector<admission::ListedServer>& servers,
                  const std::vector<std::uint32_t>& seats, core::TimePoint valid_until);

  /// Waits for a slot; on failure the request was not run.
  [[nodiscard]] boost::asio::awaitable<core::Result<Slot, http::Problem>> Admit(
      core::Rank rank, core::TimePoint deadline, Cancellation& cancellation);

  /// Ends the attempt on the slot's server and moves the slot to another server, or to the same one
  /// if there is no other. False if no server has a free slot; the caller must then call `Finish`.
  [[nodiscard]] bool Reassign(Slot& slot, admission::FinishKind kind);

  /// `service_time` is the duration of the successful attempt; none if the request failed.
  void Finish(const Slot& slot, admission::FinishKind kind,
              std::optional<core::Duration> service_time);

  /// Time after which an attempt without a response is considered stalled; none until
  /// `kMinSamples` requests were measured.
  [[nodiscard]] std::optional<core::Duration> AttemptTimeout() const;

  /// Drops expired requests, advances the ramps and assigns slots; call every few milliseconds.
  void Tick(core::TimePoint now);

  /// True if the seats are valid and give this instance a share of at least one usable server.
  [[nodiscard]] bool Available(core::TimePoint now) const;

  /// Free slots of the own share beyond those needed by waiting requests.
  [[nodiscard]] std::uint32_t IdleSlots(core::TimePoint now) const;

  [[nodiscard]] admission::ServerPool& pool() noexcept { return pool_; }
  [[nodiscard]] admission::RetryBudget& budget() noexcept { return budget_; }
  [[nodiscard]] const std::string& service() const noexcept { return service_; }

 private:
  struct Waiter;
  using Admission = core::Result<Slot, http::Problem>;

  ServiceQueue(boost::asio::any_io_executor executor, std::string service,
               admission::ServerPool pool, admission::Scheduler scheduler,
               admission::RetryBudget budget);

  /// Assigns free slots to waiting requests.
  void DispatchWaiting(core::TimePoint now);
  void CompleteAdmission(admission::RequestId id, Admission admission);
  [[nodiscard]] std::size_t WaitingRequests() const noexcept;

  boost::asio::any_io_executor executor_;
  std::string service_;
  admission::ServerPool pool_;
  admission::Scheduler scheduler_;
  admission::RetryBudget budget_;
  double retry_ratio_ = 0;
  core::TimePoint seats_valid_until_;
  core::TimePoint next_ramp_step_;
  core::Duration mean_service_time_{0};
  std::uint32_t sample_count_ = 0;  ///< Requests in `mean_service_time_`, up to `kMinSamples`.
  std::unordered_map<admission::RequestId, Waiter*> waiters_;
  admission::RequestId next_id_ = 1;
};

}  // namespace vanilladeck::daemon

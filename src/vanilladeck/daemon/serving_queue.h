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

/// A place on a backend server; end it with `ServiceQueue::Finish`.
struct Slot {
  admission::RequestId id = 0;
  std::string server;  ///< Empty after a failed `Repick`.
  core::TimePoint started;
};

/// Waiting requests and backend servers of one service in the own failure domain.
class ServiceQueue {
 public:
  /// None, with a log event, when the configuration of the service cannot be used.
  [[nodiscard]] static std::unique_ptr<ServiceQueue> Create(boost::asio::any_io_executor executor,
                                                            std::string service,
                                                            const config::Deployment& deployment,
                                                            const config::Place& place,
                                                            std::uint32_t seats);

  /// Applies a changed configuration; waiting and running requests stay.
  void Configure(const config::Deployment& deployment, const config::Place& place,
                 std::uint32_t seats);

  /// Applies the part of a snapshot that changes without a new configuration.
  void SetServers(const std::vector<admission::ListedServer>& servers,
                  const std::vector<std::uint32_t>& seats, core::TimePoint valid_until);

  /// Waits for a slot; a problem means that the request was not run.
  [[nodiscard]] boost::asio::awaitable<core::Result<Slot, http::Problem>> Admit(
      core::Rank rank, core::TimePoint deadline, Cancellation& cancellation);

  /// Ends the attempt on the slot's server and moves the slot to another server, or to the same
  /// one when there is no other. False when none is free; the slot must then be finished.
  [[nodiscard]] bool Repick(Slot& slot, admission::FinishKind kind);

  /// `service_time`: time of the successful attempt; none when the request failed.
  void Finish(const Slot& slot, admission::FinishKind kind,
              std::optional<core::Duration> service_time);

  /// Drops overdue requests, grows ramps and hands out slots; call every few milliseconds.
  void Tick(core::TimePoint now);

  /// True when this instance may use slots of at least one server now.
  [[nodiscard]] bool Available(core::TimePoint now) const;

  /// Own slots that are free and that no waiting request needs.
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

  void Pump(core::TimePoint now);
  void Wake(admission::RequestId id, Admission admission);
  [[nodiscard]] std::size_t Waiting() const noexcept;

  boost::asio::any_io_executor executor_;
  std::string service_;
  admission::ServerPool pool_;
  admission::Scheduler scheduler_;
  admission::RetryBudget budget_;
  double retry_ratio_ = 0;
  core::TimePoint seats_valid_until_;
  core::TimePoint next_ramp_;
  std::unordered_map<admission::RequestId, Waiter*> waiters_;
  admission::RequestId next_id_ = 1;
};

}  // namespace vanilladeck::daemon

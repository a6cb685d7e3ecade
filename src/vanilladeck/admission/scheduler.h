#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "vanilladeck/admission/impl/policies.h"
#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/rank.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::admission {

using RequestId = std::uint64_t;

enum class RejectionCode : std::uint8_t {
  kQueueFull,   ///< The rank's queue limit is reached.
  kDeadline,    ///< The request cannot finish by its deadline or the rank's target.
  kOverload,    ///< The rank's load exceeds its capacity; queueing would only add latency.
  kDuplicateId  ///< The id is already waiting or running.
};

inline constexpr std::array<std::string_view, 4> kRejectionNames{"queue-full", "deadline",
                                                                 "overload", "duplicate-id"};

[[nodiscard]] constexpr std::string_view Name(RejectionCode code) noexcept {
  return kRejectionNames[static_cast<std::size_t>(code)];
}

/// A request that was not run; it may be retried after `retry_after`.
struct Rejection {
  RejectionCode code = RejectionCode::kQueueFull;
  core::Rank rank = core::Rank::kNormal;
  core::Duration retry_after{0};
};

struct Accepted {
  core::Duration estimated_wait{0};
};

/// A waiting request that was removed before it was dispatched; it was not run.
struct Dropped {
  RequestId id = 0;
  Rejection rejection;
};

enum class SchedulerErrorCode : std::uint8_t {
  kFloorOutOfRange,
  kFloorSumAboveOne,
  kBadWorth,
  kBadTarget
};

inline constexpr std::array<std::string_view, 4> kSchedulerErrorNames{
    "floor-out-of-range", "floor-sum-above-one", "worth-not-positive", "target-not-positive"};

struct SchedulerError {
  SchedulerErrorCode code = SchedulerErrorCode::kFloorSumAboveOne;
  core::Rank rank = core::Rank::kUrgent;
};

/// Queues the requests of one service and selects the one for the next free slot.
///
/// `floor * capacity` slots are guaranteed to each rank while it has work. Floors are shares of
/// time: a floor of 0.1 on 4 slots means one slot for 40% of the time. Ranks below their floor go
/// first, most urgent first; the policy assigns the other slots. Running requests are not
/// preempted. While running requests take long compared with urgent ones, one slot is held free for
/// urgent arrivals, at a cost of at most a few percent of the capacity.
class Scheduler {
 public:
  [[nodiscard]] static core::Result<Scheduler, SchedulerError> Create(
      const config::Policy& policy, const core::PerRank<config::RankTargets>& ranks);

  /// Applies a new configuration; waiting and running requests stay.
  [[nodiscard]] core::Result<void, SchedulerError> Configure(
      const config::Policy& policy, const core::PerRank<config::RankTargets>& ranks);

  /// Sets the slots that requests of this service may use, see `ServerPool::UsableSlots`.
  void SetCapacity(std::uint32_t slots, core::TimePoint now);

  /// Queues a request; `deadline` is none if the request has no time limit.
  [[nodiscard]] core::Result<Accepted, Rejection> Offer(RequestId id, core::Rank rank,
                                                        std::optional<core::TimePoint> deadline,
                                                        core::TimePoint now);

  /// Returns the request to dispatch now, or none if no slot may be used.
  ///
  /// Call after every `Offer`, `OnFinished` and `SetCapacity`, and every few milliseconds while
  /// requests wait, until it returns none.
  [[nodiscard]] std::optional<RequestId> Next(core::TimePoint now);

  /// Returns a request from `Next` that no server accepted to its previous queue position.
  void Requeue(RequestId id, core::TimePoint now);

  /// Removes a waiting request; false if it is not waiting.
  bool Cancel(RequestId id, core::TimePoint now);

  /// Ends a request that `Next` returned. `service_time` is the time it held its slot, also for a
  /// request that timed out; none if it failed at once, so that fast failures do not lower the
  /// estimates.
  void OnFinished(RequestId id, std::optional<core::Duration> service_time, core::TimePoint now);

  /// Removes and returns the waiting requests that are past their deadline or their queueing limit.
  [[nodiscard]] std::vector<Dropped> TakeDropped(core::TimePoint now);

  [[nodiscard]] std::size_t Waiting(core::Rank rank) const noexcept;
  [[nodiscard]] std::uint32_t Running(core::Rank rank) const noexcept;
  [[nodiscard]] std::uint32_t capacity() const noexcept { return capacity_; }

  /// Estimated wait of a request of `rank` that arrives now.
  [[nodiscard]] core::Duration EstimatedWait(core::Rank rank) const noexcept;

 private:
  /// Sort key within a rank: arrival order, or deadline under the deadline policy.
  using Position = std::pair<std::int64_t, std::uint64_t>;

  struct WaitingRequest {
    RequestId id = 0;
    std::uint64_t sequence = 0;
    core::TimePoint arrived;
    std::optional<core::TimePoint> deadline;
  };

  struct RankState {
    config::RankTargets targets;
    std::map<Position, WaitingRequest> waiting;
    std::uint32_t running = 0;
    double floor_credit = 0;           ///< Slot-seconds owed to the rank under its floor.
    double mean_service_time = 0;      ///< Seconds; 0 until a request finishes.
    core::TimePoint last_arrival;      ///< Valid if `has_arrivals`.
    core::TimePoint queue_since;       ///< Time since which the queue has not been empty.
    core::TimePoint overloaded_until;  ///< Until then the queue is kept short.
    bool has_arrivals = false;
  };

  struct RunningRequest {
    core::Rank rank = core::Rank::kNormal;
    WaitingRequest request;
  };

  Scheduler() = default;

  RankState& State(core::Rank rank) noexcept { return ranks_[core::Index(rank)]; }
  [[nodiscard]] const RankState& State(core::Rank rank) const noexcept {
    return ranks_[core::Index(rank)];
  }
  void AccrueCredits(core::TimePoint now);
  [[nodiscard]] Position PositionOf(const RankState& state, const WaitingRequest& request) const;
  void Insert(core::Rank rank, const WaitingRequest& request);
  void Remove(core::Rank rank, std::map<Position, WaitingRequest>::iterator it);
  [[nodiscard]] std::optional<RejectionCode> RejectCode(core::Rank rank,
                                                        std::optional<core::TimePoint> deadline,
                                                        core::TimePoint now);
  [[nodiscard]] std::optional<RejectionCode> DropCode(core::Rank rank,
                                                      const WaitingRequest& request,
                                                      core::TimePoint now) const;
  void DropOverdueHeads(core::TimePoint now);
  void DetectStandingQueue(core::Rank rank, core::TimePoint now);
  [[nodiscard]] bool Overloaded(core::Rank rank, core::TimePoint now) const noexcept;
  [[nodiscard]] bool BelowFloor(core::Rank rank) const noexcept;
  [[nodiscard]] std::optional<core::Rank> Choose(core::TimePoint now);
  [[nodiscard]] bool HoldForUrgent(core::TimePoint now);
  [[nodiscard]] core::Duration RetryAfter(core::Rank rank) const noexcept;

  config::Policy policy_;
  impl::Policy ordering_;
  core::PerRank<RankState> ranks_;
  std::unordered_map<RequestId, std::pair<core::Rank, Position>> waiting_index_;
  std::unordered_map<RequestId, RunningRequest> running_;
  std::vector<Dropped> dropped_;
  std::uint32_t capacity_ = 0;
  std::uint64_t next_sequence_ = 0;
  double headroom_credit_ = 0;  ///< Slot-seconds that may be left idle for urgent arrivals.
  bool holding_slot_ = false;
  core::TimePoint accrued_until_;
  bool started_ = false;
};

}  // namespace vanilladeck::admission

#include "vanilladeck/admission/scheduler.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <variant>

namespace vanilladeck::admission {
namespace {

using Seconds = std::chrono::duration<double>;

// Weight of one sample in the mean service time, an average over about the last 16 requests.
constexpr double kServiceTimeWeight = 1.0 / 16;
// Assumed for the bounds of floor credits until a request of the rank finishes.
constexpr double kDefaultServiceTimeS = 0.01;
// A longer step means that the process was paused; no credit accrues for the excess.
constexpr double kMaxStepS = 1.0;
// Slots held free for urgent arrivals cost at most this share of the capacity; the goodput target
// allows a loss of 5%.
constexpr double kHeadroomShare = 0.04;
constexpr core::Duration kUrgentActivityWindow = std::chrono::seconds(1);
// Headroom is kept if urgent requests would wait longer for a slot than a tenth of their service
// time.
constexpr double kHeadroomWaitShare = 0.1;
// In overload an urgent request waits at most this share of a service time: the target allows half
// of the unloaded 99th percentile, and the queue is the last stage that can limit the wait.
constexpr double kOverloadWaitShare = 0.35;
// A queue that stays non-empty for this many service times indicates overload, not a burst.
constexpr double kStandingQueueServiceTimes = 4;
constexpr double kMinStandingQueueS = 0.02;
constexpr core::Duration kOverloadHoldTime = std::chrono::seconds(1);
constexpr core::Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr core::Duration kMaxRetryAfter = std::chrono::seconds(10);
// Keeps wait estimates finite for a rank without a floor and without a slot.
constexpr double kMinSlots = 0.1;

core::Duration FromSeconds(double seconds) {
  constexpr double kLongestS = 3600;
  return std::chrono::duration_cast<core::Duration>(Seconds(std::min(seconds, kLongestS)));
}

double ToSeconds(core::Duration duration) { return Seconds(duration).count(); }

std::optional<SchedulerError> Validate(const core::PerRank<config::RankTargets>& ranks) {
  constexpr double kRounding = 1e-9;
  double sum = 0;
  for (core::Rank rank : core::kAllRanks) {
    const config::RankTargets& targets = ranks[core::Index(rank)];
    if (!(targets.floor >= 0 && targets.floor <= 1)) {
      return SchedulerError{SchedulerErrorCode::kFloorOutOfRange, rank};
    }
    if (!(targets.worth > 0)) return SchedulerError{SchedulerErrorCode::kBadWorth, rank};
    if (targets.target.count() <= 0) return SchedulerError{SchedulerErrorCode::kBadTarget, rank};
    sum += targets.floor;
    if (sum > 1 + kRounding) return SchedulerError{SchedulerErrorCode::kFloorSumAboveOne, rank};
  }
  return std::nullopt;
}

}  // namespace

core::Result<Scheduler, SchedulerError> Scheduler::Create(
    const config::Policy& policy, const core::PerRank<config::RankTargets>& ranks) {
  Scheduler scheduler;
  if (auto error = Validate(ranks)) return *error;
  scheduler.ordering_ = impl::MakePolicy(policy.scheduler);
  scheduler.policy_ = policy;
  for (std::size_t i = 0; i < core::kRankCount; ++i) scheduler.ranks_[i].targets = ranks[i];
  return scheduler;
}

core::Result<void, SchedulerError> Scheduler::Configure(
    const config::Policy& policy, const core::PerRank<config::RankTargets>& ranks) {
  if (auto error = Validate(ranks)) return *error;
  if (policy.scheduler != policy_.scheduler) ordering_ = impl::MakePolicy(policy.scheduler);
  policy_ = policy;
  for (core::Rank rank : core::kAllRanks) {
    RankState& state = State(rank);
    state.targets = ranks[core::Index(rank)];
    const auto waiting = std::exchange(state.waiting, {});
    for (const auto& [position, request] : waiting) Insert(rank, request);
  }
  return core::success();
}

void Scheduler::SetCapacity(std::uint32_t slots, core::TimePoint now) {
  AccrueCredits(now);
  capacity_ = slots;
}

core::Result<Accepted, Rejection> Scheduler::Offer(RequestId id, core::Rank rank,
                                                   std::optional<core::TimePoint> deadline,
                                                   core::TimePoint now) {
  AccrueCredits(now);
  RankState& state = State(rank);
  state.last_arrival = now;
  state.has_arrivals = true;
  if (waiting_index_.contains(id) || running_.contains(id)) {
    return Rejection{RejectionCode::kDuplicateId, rank, core::Duration::zero()};
  }
  if (auto code = RejectCode(rank, deadline, now)) return Rejection{*code, rank, RetryAfter(rank)};
  const core::Duration wait = EstimatedWait(rank);
  if (state.waiting.empty()) state.queue_since = now;
  Insert(rank, WaitingRequest{id, next_sequence_++, now, deadline});
  return Accepted{wait};
}

std::optional<RequestId> Scheduler::Next(core::TimePoint now) {
  AccrueCredits(now);
  DropOverdueHeads(now);
  holding_slot_ = false;
  if (running_.size() >= capacity_) return std::nullopt;
  const std::optional<core::Rank> rank = Choose(now);
  if (!rank) return std::nullopt;
  RankState& state = State(*rank);
  const auto it = state.waiting.begin();
  const WaitingRequest request = it->second;
  Remove(*rank, it);
  ++state.running;
  running_.emplace(request.id, RunningRequest{*rank, request});
  return request.id;
}

void Scheduler::Requeue(RequestId id, core::TimePoint now) {
  AccrueCredits(now);
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  const RunningRequest entry = it->second;
  running_.erase(it);
  --State(entry.rank).running;
  Insert(entry.rank, entry.request);
}

bool Scheduler::Cancel(RequestId id, core::TimePoint now) {
  AccrueCredits(now);
  const auto index = waiting_index_.find(id);
  if (index == waiting_index_.end()) return false;
  const auto [rank, position] = index->second;
  Remove(rank, State(rank).waiting.find(position));
  return true;
}

void Scheduler::OnFinished(RequestId id, std::optional<core::Duration> service_time,
                           core::TimePoint now) {
  AccrueCredits(now);
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  RankState& state = State(it->second.rank);
  --state.running;
  running_.erase(it);
  if (!service_time) return;
  const double sample = ToSeconds(*service_time);
  state.mean_service_time =
      state.mean_service_time > 0
          ? state.mean_service_time + kServiceTimeWeight * (sample - state.mean_service_time)
          : sample;
}

std::vector<Dropped> Scheduler::TakeDropped(core::TimePoint now) {
  AccrueCredits(now);
  for (core::Rank rank : core::kAllRanks) {
    DetectStandingQueue(rank, now);
    auto& waiting = State(rank).waiting;
    for (auto it = waiting.begin(); it != waiting.end();) {
      const auto current = it++;
      if (auto code = DropCode(rank, current->second, now)) {
        dropped_.push_back({current->second.id, {*code, rank, RetryAfter(rank)}});
        Remove(rank, current);
      }
    }
  }
  return std::exchange(dropped_, {});
}

std::size_t Scheduler::Waiting(core::Rank rank) const noexcept {
  return State(rank).waiting.size();
}

std::uint32_t Scheduler::Running(core::Rank rank) const noexcept { return State(rank).running; }

core::Duration Scheduler::EstimatedWait(core::Rank rank) const noexcept {
  const RankState& state = State(rank);
  std::size_t all_waiting = 0;
  for (const RankState& other : ranks_) all_waiting += other.waiting.size();
  if (running_.size() + all_waiting < capacity_) return core::Duration::zero();
  // In saturation the slots that a rank holds are its current share of the capacity.
  const double slots = std::max({static_cast<double>(state.running),
                                 state.targets.floor * static_cast<double>(capacity_), kMinSlots});
  const auto ahead = static_cast<double>(state.waiting.size()) + 1;
  return FromSeconds(ahead * state.mean_service_time / slots);
}

void Scheduler::AccrueCredits(core::TimePoint now) {
  if (!started_) {
    started_ = true;
    accrued_until_ = now;
  }
  const double step = std::clamp(ToSeconds(now - accrued_until_), 0.0, kMaxStepS);
  accrued_until_ = std::max(accrued_until_, now);
  if (step == 0) return;
  const auto slots = static_cast<double>(capacity_);
  for (RankState& state : ranks_) {
    const double floor_slots = state.targets.floor * slots;
    const auto running = static_cast<double>(state.running);
    const double demand = running + static_cast<double>(state.waiting.size());
    state.floor_credit += (std::min(floor_slots, demand) - running) * step;
    // The bounds allow a floor below one slot to accrue enough credit for one request, and discard
    // debt beyond that.
    const double service =
        state.mean_service_time > 0 ? state.mean_service_time : kDefaultServiceTimeS;
    const double limit = service * std::max(1.0, floor_slots);
    state.floor_credit = std::clamp(state.floor_credit, -limit, demand > 0 ? 2 * limit : 0.0);
  }
  const double earned = kHeadroomShare * slots * step;
  headroom_credit_ = std::min(headroom_credit_ + earned - (holding_slot_ ? step : 0),
                              kHeadroomShare * slots * kMaxStepS);
}

Scheduler::Position Scheduler::PositionOf(const RankState& state,
                                          const WaitingRequest& request) const {
  const auto sequence = static_cast<std::int64_t>(request.sequence);
  if (policy_.scheduler != config::SchedulerKind::kDeadline) return {sequence, request.sequence};
  const core::TimePoint due = request.arrived + state.targets.target;
  const core::TimePoint first = request.deadline ? std::min(due, *request.deadline) : due;
  return {first.time_since_epoch().count(), request.sequence};
}

void Scheduler::Insert(core::Rank rank, const WaitingRequest& request) {
  RankState& state = State(rank);
  const Position position = PositionOf(state, request);
  state.waiting.emplace(position, request);
  waiting_index_[request.id] = {rank, position};
}

void Scheduler::Remove(core::Rank rank, std::map<Position, WaitingRequest>::iterator it) {
  waiting_index_.erase(it->second.id);
  State(rank).waiting.erase(it);
}

std::optional<RejectionCode> Scheduler::RejectCode(core::Rank rank,
                                                   std::optional<core::TimePoint> deadline,
                                                   core::TimePoint now) {
  RankState& state = State(rank);
  if (capacity_ == 0) return RejectionCode::kOverload;
  if (state.waiting.size() >= policy_.queue_limit) return RejectionCode::kQueueFull;
  DetectStandingQueue(rank, now);
  const core::Duration wait = EstimatedWait(rank);
  const core::Duration service = FromSeconds(state.mean_service_time);
  if (deadline && now >= *deadline) return RejectionCode::kDeadline;
  // While the rank is idle the estimate can be stale, and only new requests can correct it.
  if (state.waiting.empty() && state.running == 0) return std::nullopt;
  if (deadline && now + wait + service > *deadline) return RejectionCode::kDeadline;
  if (state.waiting.empty()) return std::nullopt;
  if (wait > state.targets.target) return RejectionCode::kDeadline;
  if (!Overloaded(rank, now)) return std::nullopt;
  if (wait <= FromSeconds(kOverloadWaitShare * state.mean_service_time)) return std::nullopt;
  state.overloaded_until = now + kOverloadHoldTime;
  return RejectionCode::kOverload;
}

std::optional<RejectionCode> Scheduler::DropCode(core::Rank rank, const WaitingRequest& request,
                                                 core::TimePoint now) const {
  const RankState& state = State(rank);
  if (request.deadline && now >= *request.deadline) return RejectionCode::kDeadline;
  // The wait was underestimated; serving the request late only delays others that can be on time.
  if (now - request.arrived > state.targets.target) return RejectionCode::kDeadline;
  const double waited = ToSeconds(now - request.arrived);
  if (Overloaded(rank, now) && waited > kOverloadWaitShare * state.mean_service_time) {
    return RejectionCode::kOverload;
  }
  return std::nullopt;
}

void Scheduler::DropOverdueHeads(core::TimePoint now) {
  for (core::Rank rank : core::kAllRanks) {
    auto& waiting = State(rank).waiting;
    while (!waiting.empty()) {
      const auto head = waiting.begin();
      const auto code = DropCode(rank, head->second, now);
      if (!code) break;
      dropped_.push_back({head->second.id, {*code, rank, RetryAfter(rank)}});
      Remove(rank, head);
    }
  }
}

void Scheduler::DetectStandingQueue(core::Rank rank, core::TimePoint now) {
  RankState& state = State(rank);
  if (rank != core::Rank::kUrgent || state.waiting.empty()) return;
  const double limit =
      std::max(kStandingQueueServiceTimes * state.mean_service_time, kMinStandingQueueS);
  if (ToSeconds(now - state.queue_since) > limit) state.overloaded_until = now + kOverloadHoldTime;
}

bool Scheduler::Overloaded(core::Rank rank, core::TimePoint now) const noexcept {
  return rank == core::Rank::kUrgent && now < State(rank).overloaded_until;
}

bool Scheduler::BelowFloor(core::Rank rank) const noexcept {
  const RankState& state = State(rank);
  const double floor_slots = state.targets.floor * static_cast<double>(capacity_);
  return state.running + 1 <= floor_slots || (floor_slots > 0 && state.floor_credit > 0);
}

std::optional<core::Rank> Scheduler::Choose(core::TimePoint now) {
  impl::Candidates candidates;
  for (core::Rank rank : core::kAllRanks) {
    const RankState& state = State(rank);
    if (state.waiting.empty()) continue;
    if (BelowFloor(rank)) return rank;
    const WaitingRequest& head = state.waiting.begin()->second;
    const core::TimePoint due = head.arrived + state.targets.target;
    const core::TimePoint end = head.deadline ? std::min(due, *head.deadline) : due;
    candidates[core::Index(rank)] =
        impl::Candidate{state.targets.worth, ToSeconds(end - now) - state.mean_service_time,
                        state.mean_service_time};
  }
  const auto rank = std::visit([&](auto& order) { return order.Choose(candidates); }, ordering_);
  if (!rank || (*rank != core::Rank::kUrgent && HoldForUrgent(now))) return std::nullopt;
  std::visit([&](auto& order) { order.OnDispatched(*rank, *candidates[core::Index(*rank)]); },
             ordering_);
  return rank;
}

bool Scheduler::HoldForUrgent(core::TimePoint now) {
  const RankState& urgent = State(core::Rank::kUrgent);
  if (running_.size() + 1 < capacity_ || headroom_credit_ <= 0) return false;
  if (!urgent.has_arrivals || now - urgent.last_arrival > kUrgentActivityWindow) return false;
  double release_rate = 0;  // Slots that become free per second.
  for (const RankState& state : ranks_) {
    if (state.mean_service_time > 0) release_rate += state.running / state.mean_service_time;
  }
  if (release_rate * kHeadroomWaitShare * urgent.mean_service_time >= 1) return false;
  holding_slot_ = true;
  return true;
}

core::Duration Scheduler::RetryAfter(core::Rank rank) const noexcept {
  return std::clamp(EstimatedWait(rank), kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace vanilladeck::admission

#include "vanilladeck/daemon/serving_queue.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "vanilladeck/telemetry/event.h"

namespace vanilladeck::daemon {
namespace {

using http::Problem;
using http::ProblemCode;

// Length of one step of the ramps in `admission::ServerPool`.
constexpr core::Duration kRampStep = std::chrono::milliseconds(100);
constexpr std::uint32_t kMinSamples = 32;
// With exponential service times one request in 3,000 takes longer than eight times the mean.
constexpr int kAttemptTimeoutFactor = 8;
// A busy server can pause for tens of milliseconds; the timeout must be longer.
constexpr core::Duration kMinAttemptTimeout = std::chrono::milliseconds(250);

Problem RejectionProblem(const admission::Rejection& rejection) {
  const std::string detail =
      std::string(admission::Name(rejection.code)) + ", rank " + std::string(Name(rejection.rank));
  return {ProblemCode::kOverloaded, core::Outcome::kNotRun, detail, rejection.retry_after};
}

}  // namespace

struct ServiceQueue::Waiter {
  core::Timer timer;
  std::optional<Admission> admission;
};

std::unique_ptr<ServiceQueue> ServiceQueue::Create(boost::asio::any_io_executor executor,
                                                   std::string service,
                                                   const config::Deployment& deployment,
                                                   const config::Place& place,
                                                   std::uint32_t seats) {
  auto pool = admission::ServerPool::Create(place, seats);
  auto scheduler = admission::Scheduler::Create(deployment.policy, deployment.ranks);
  auto budget = admission::RetryBudget::Create(deployment.policy.retry_budget);
  if (pool.has_error() || scheduler.has_error() || budget.has_error()) {
    telemetry::Log(telemetry::Event::kConfigurationUnusable, service);
    return nullptr;
  }
  auto queue = std::unique_ptr<ServiceQueue>(
      new ServiceQueue(std::move(executor), std::move(service), std::move(pool.value()),
                       std::move(scheduler.value()), budget.value()));
  queue->retry_ratio_ = deployment.policy.retry_budget;
  return queue;
}

ServiceQueue::ServiceQueue(boost::asio::any_io_executor executor, std::string service,
                           admission::ServerPool pool, admission::Scheduler scheduler,
                           admission::RetryBudget budget)
    : executor_(std::move(executor)),
      service_(std::move(service)),
      pool_(std::move(pool)),
      scheduler_(std::move(scheduler)),
      budget_(budget) {}

void ServiceQueue::Configure(const config::Deployment& deployment, const config::Place& place,
                             std::uint32_t seats) {
  const bool usable = pool_.Configure(place, seats).has_value() &&
                      scheduler_.Configure(deployment.policy, deployment.ranks).has_value();
  if (!usable) telemetry::Log(telemetry::Event::kConfigurationUnusable, service_);
  if (deployment.policy.retry_budget == retry_ratio_) return;
  auto budget = admission::RetryBudget::Create(deployment.policy.retry_budget);
  if (budget.has_error()) return;
  budget_ = budget.value();
  retry_ratio_ = deployment.policy.retry_budget;
}

void ServiceQueue::SetServers(const std::vector<admission::ListedServer>& servers,
                              const std::vector<std::uint32_t>& seats,
                              core::TimePoint valid_until) {
  const core::TimePoint now = core::RuntimeClock::now();
  seats_valid_until_ = valid_until;
  pool_.SetSeats(seats, valid_until);
  pool_.SetServers(servers, now);
  DispatchWaiting(now);
}

boost::asio::awaitable<core::Result<Slot, Problem>> ServiceQueue::Admit(
    core::Rank rank, core::TimePoint deadline, Cancellation& cancellation) {
  const core::TimePoint now = core::RuntimeClock::now();
  // Servers may have become available since the last request, for example after a health probe.
  DispatchWaiting(now);
  const admission::RequestId id = next_id_++;
  const auto offered = scheduler_.Offer(id, rank, deadline, now);
  if (offered.has_error()) co_return RejectionProblem(offered.error());
  Waiter waiter{core::Timer(executor_, core::TimePoint::max()), std::nullopt};
  waiters_[id] = &waiter;
  DispatchWaiting(now);
  if (!waiter.admission) {
    cancellation.OnCancel([this, id] {
      if (!scheduler_.Cancel(id, core::RuntimeClock::now())) return;
      CompleteAdmission(
          id, Problem{ProblemCode::kCancelled, core::Outcome::kNotRun, "while waiting", {}});
    });
    co_await waiter.timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    cancellation.OnCancel(nullptr);
  }
  waiters_.erase(id);
  co_return std::move(*waiter.admission);
}

void ServiceQueue::CompleteAdmission(admission::RequestId id, Admission admission) {
  const auto it = waiters_.find(id);
  if (it == waiters_.end()) return;
  it->second->admission = std::move(admission);
  it->second->timer.cancel();
}

void ServiceQueue::DispatchWaiting(core::TimePoint now) {
  const bool holds_seat = now < seats_valid_until_;
  scheduler_.SetCapacity(holds_seat ? pool_.UsableSlots() : 0, now);
  while (const auto id = scheduler_.Next(now)) {
    const auto picked = pool_.Pick(now);
    if (picked.has_error()) {
      scheduler_.Requeue(*id, now);
      return;
    }
    CompleteAdmission(*id, Slot{*id, std::string(picked.value()), now});
  }
}

bool ServiceQueue::Reassign(Slot& slot, admission::FinishKind kind) {
  const core::TimePoint now = core::RuntimeClock::now();
  pool_.OnFinished(slot.server, kind, now);
  const std::string failed = std::exchange(slot.server, std::string{});
  auto picked = pool_.Pick(now, failed);
  if (picked.has_error()) picked = pool_.Pick(now);
  if (picked.has_error()) return false;
  slot.server = std::string(picked.value());
  slot.started = now;
  return true;
}

void ServiceQueue::Finish(const Slot& slot, admission::FinishKind kind,
                          std::optional<core::Duration> service_time) {
  const core::TimePoint now = core::RuntimeClock::now();
  if (!slot.server.empty()) pool_.OnFinished(slot.server, kind, now);
  if (service_time) {
    sample_count_ = std::min(sample_count_ + 1, kMinSamples);
    mean_service_time_ +=
        (*service_time - mean_service_time_) / static_cast<std::int64_t>(sample_count_);
  }
  scheduler_.OnFinished(slot.id, service_time, now);
  DispatchWaiting(now);
}

std::optional<core::Duration> ServiceQueue::AttemptTimeout() const {
  if (sample_count_ < kMinSamples) return std::nullopt;
  return std::max(kMinAttemptTimeout, kAttemptTimeoutFactor * mean_service_time_);
}

void ServiceQueue::Tick(core::TimePoint now) {
  if (now >= next_ramp_step_) {
    pool_.Tick(now);
    next_ramp_step_ = now + kRampStep;
  }
  if (waiters_.empty()) return;
  for (const admission::Dropped& dropped : scheduler_.TakeDropped(now)) {
    CompleteAdmission(dropped.id, RejectionProblem(dropped.rejection));
  }
  DispatchWaiting(now);
}

bool ServiceQueue::Available(core::TimePoint now) const {
  return now < seats_valid_until_ && pool_.UsableSlots() > 0;
}

std::size_t ServiceQueue::WaitingRequests() const noexcept {
  std::size_t n = 0;
  for (const core::Rank rank : core::kAllRanks) n += scheduler_.Waiting(rank);
  return n;
}

std::uint32_t ServiceQueue::IdleSlots(core::TimePoint now) const {
  const std::size_t waiting = WaitingRequests();
  const std::uint32_t free = pool_.FreeSlots(now);
  return free > waiting ? free - static_cast<std::uint32_t>(waiting) : 0;
}

}  // namespace vanilladeck::daemon

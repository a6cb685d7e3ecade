#include "vanilladeck/store/call_budget.h"

#include <algorithm>
#include <numeric>

namespace vanilladeck::store {
namespace {

// Bucket capacity in seconds of its rate; a bucket holds at least one call.
constexpr double kBurstSeconds = 0.25;

double Seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

core::Result<CallBudget, BudgetError> CallBudget::Make(const BudgetOptions& options,
                                                       core::TimePoint now) {
  if (!(options.reads_per_s > 0) || !(options.writes_per_s > 0)) {
    return BudgetError{BudgetErrorCode::kRate};
  }
  if (options.readers == 0 || options.writers == 0) return BudgetError{BudgetErrorCode::kInstances};
  const double total = std::accumulate(options.shares.begin(), options.shares.end(), 0.0);
  const double min_share = *std::min_element(options.shares.begin(), options.shares.end());
  constexpr double kTolerance = 1e-9;
  if (!(min_share >= 0) || !(total <= 1 + kTolerance)) return BudgetError{BudgetErrorCode::kShares};
  CallBudget budget;
  budget.refilled_ = now;
  const std::array<double, kCallKinds> rates{options.reads_per_s / options.readers,
                                             options.writes_per_s / options.writers};
  for (std::size_t i = 0; i < kCallKinds; ++i) {
    for (std::size_t j = 0; j < kCallClasses; ++j) {
      const double rate = rates[i] * options.shares[j];
      budget.kinds_[i].classes[j] = {rate, std::max(1.0, rate * kBurstSeconds), 0};
    }
    budget.kinds_[i].pool = {0, std::max(1.0, rates[i] * kBurstSeconds), 0};
  }
  return budget;
}

void CallBudget::Refill(core::TimePoint now) {
  const double elapsed = std::max(0.0, Seconds(now - refilled_));
  refilled_ = std::max(refilled_, now);
  for (auto& kind : kinds_) {
    for (auto& bucket : kind.classes) {
      const double filled = bucket.tokens + bucket.rate * elapsed;
      bucket.tokens = std::min(filled, bucket.capacity);
      kind.pool.tokens = std::min(kind.pool.tokens + filled - bucket.tokens, kind.pool.capacity);
    }
  }
}

bool CallBudget::TryTake(CallKind kind, CallClass call_class, core::TimePoint now) {
  Refill(now);
  auto& budget = kinds_[static_cast<std::size_t>(kind)];
  auto& own = budget.classes[static_cast<std::size_t>(call_class)];
  auto& bucket = own.tokens >= 1 ? own : budget.pool;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

core::TimePoint CallBudget::AvailableAt(CallKind kind, CallClass call_class,
                                        core::TimePoint now) const {
  const auto& own =
      kinds_[static_cast<std::size_t>(kind)].classes[static_cast<std::size_t>(call_class)];
  if (own.tokens >= 1) return now;
  constexpr double kMaxWaitSeconds = 60;
  const double wait = own.rate > 0 ? (1 - own.tokens) / own.rate : kMaxWaitSeconds;
  return refilled_ + std::chrono::duration_cast<core::Duration>(
                         std::chrono::duration<double>(std::min(wait, kMaxWaitSeconds)));
}

}  // namespace vanilladeck::store

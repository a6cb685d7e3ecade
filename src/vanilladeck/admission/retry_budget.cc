#include "vanilladeck/admission/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace vanilladeck::admission {
namespace {

// Integer millionths, so that ten times 0.1 is exactly one token.
constexpr std::int64_t kToken = 1'000'000;
// Bounds the burst of retries after a long time without failures.
constexpr std::int64_t kMaxTokens = 50 * kToken;

}  // namespace

core::Result<RetryBudget, RetryBudgetError> RetryBudget::Create(double ratio) {
  if (!(ratio >= 0.0 && ratio <= 1.0)) return RetryBudgetError{ratio};
  return RetryBudget(std::llround(ratio * static_cast<double>(kToken)));
}

void RetryBudget::OnFirstAttempt() noexcept { tokens_ = std::min(tokens_ + earned_, kMaxTokens); }

bool RetryBudget::TryRetry() noexcept {
  if (tokens_ < kToken) return false;
  tokens_ -= kToken;
  return true;
}

}  // namespace vanilladeck::admission

#pragma once

#include <cstdint>

#include "vanilladeck/core/result.h"

namespace vanilladeck::admission {

struct RetryBudgetError {
  double ratio = 0;  ///< Not within 0 to 1.
};

/// Token bucket that limits the retries of one service.
///
/// Every first attempt adds `ratio` tokens, a retry takes one and adds none, so that retries cannot
/// multiply the load on failing servers.
class RetryBudget {
 public:
  [[nodiscard]] static core::Result<RetryBudget, RetryBudgetError> Create(double ratio);

  void OnFirstAttempt() noexcept;

  /// Takes a token; false means that the request must not be retried.
  [[nodiscard]] bool TryRetry() noexcept;

 private:
  explicit RetryBudget(std::int64_t earned) noexcept : earned_(earned) {}

  std::int64_t earned_;      ///< Millionths of a token per first attempt.
  std::int64_t tokens_ = 0;  ///< Millionths of a token.
};

}  // namespace vanilladeck::admission

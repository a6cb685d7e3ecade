#pragma once

#include <cstdint>
#include <random>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::config {

/// Exponential backoff with full jitter, so that instances do not reconnect to a recovered store at
/// the same time.
class RetryBackoff {
 public:
  /// The n-th delay is uniform between 0 and min(initial * 2^n, max), but at least `kMinDelay`.
  RetryBackoff(core::Duration initial, core::Duration max, std::uint64_t seed)
      : initial_(initial), max_(max), random_(seed) {}

  [[nodiscard]] core::Duration NextDelay();
  void Reset() noexcept { failures_ = 0; }

  static constexpr core::Duration kMinDelay = std::chrono::milliseconds(10);

 private:
  core::Duration initial_;
  core::Duration max_;
  std::mt19937_64 random_;
  unsigned failures_ = 0;
};

}  // namespace vanilladeck::config

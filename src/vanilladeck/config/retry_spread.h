#pragma once

#include <cstdint>
#include <random>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::config {

/// Exponential backoff with full jitter, so that instances do not return to a recovered store at
/// the same moment.
class RetrySpread {
 public:
  /// The n-th delay is uniform between 0 and min(first * 2^n, longest), never below `kShortest`.
  RetrySpread(core::Duration first, core::Duration longest, std::uint64_t seed)
      : first_(first), longest_(longest), random_(seed) {}

  [[nodiscard]] core::Duration NextDelay();
  void Reset() noexcept { failures_ = 0; }

  static constexpr core::Duration kShortest = std::chrono::milliseconds(10);

 private:
  core::Duration first_;
  core::Duration longest_;
  std::mt19937_64 random_;
  unsigned failures_ = 0;
};

}  // namespace vanilladeck::config

#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// This instance's part of limits that hold for the sum over all instances.
///
/// Every instance takes an equal part, so that the sum holds without any message. When a limit is
/// smaller than the number of instances, rendezvous hashing names those that may use it.
class FleetShare {
 public:
  /// `instances` counts the own one. `settled` is false while an instance that has just started may
  /// not know all others yet; until then it gets no units, since its parts would be too large.
  void SetFleet(std::uint32_t instances, std::uint32_t own_rank, bool settled = true) noexcept {
    instances_ = instances == 0 ? 1 : instances;
    own_rank_ = own_rank;
    settled_ = settled;
  }

  [[nodiscard]] std::uint32_t instances() const noexcept { return instances_; }

  /// Whole units of `limit` for this instance; `subject` rotates who gets the remainder.
  [[nodiscard]] std::uint32_t Units(double limit, std::string_view subject) const noexcept;

  /// Fractional part of `limit`.
  [[nodiscard]] double FractionalShare(double limit) const noexcept { return limit / instances_; }

 private:
  std::uint32_t instances_ = 1;
  bool settled_ = true;
  std::uint32_t own_rank_ = 0;  ///< Position of this instance among the sorted names.
};

/// Repeats of one service in a sliding window: a ratio of first sends plus an allowance.
class RetryWindow {
 public:
  explicit RetryWindow(core::Duration window) noexcept : window_(window) {}

  void OnFirstAttempt(core::TimePoint now);
  /// Records a repeat if `ratio` of the window's first sends plus `allowance` permits one more.
  [[nodiscard]] bool TryRetry(double ratio, double allowance, core::TimePoint now);
  [[nodiscard]] std::size_t retries() const noexcept { return retries_.size(); }

 private:
  void Trim(core::TimePoint now);

  core::Duration window_;
  std::deque<core::TimePoint> attempts_;
  std::deque<core::TimePoint> retries_;
};

}  // namespace vanilladeck::steering

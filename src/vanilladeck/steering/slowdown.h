#pragma once

#include <cstdint>
#include <optional>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// What the reports of a service's servers say about the time that work takes on their machines,
/// relative to the usual time.
///
/// The figure changes while requests run, and reports arrive with responses only, so a report says
/// less the older it is. The correlation of successive reports of the same server tells how fast:
/// where the figure is noise, it has no effect.
class SlowdownStatistics {
 public:
  /// A server's report, bounded to values that a sound server can state.
  struct Sample {
    double value = 1;
    core::TimePoint at;
  };

  /// Adds a report; `previous` is the last one of the same server.
  void Add(const Sample& sample, const std::optional<Sample>& previous) noexcept;

  /// Time that a request of `duration` takes which is sent at `now`, relative to the mean over all
  /// servers of the service; `last` is the last report of its server.
  [[nodiscard]] double Predict(const Sample& last, core::Duration duration,
                               core::TimePoint now) const noexcept;

  /// Time after which the correlation of two reports has fallen to 1/e.
  [[nodiscard]] core::Duration correlation_time() const noexcept;

  /// Bounds `value` to those that a sound server can state.
  [[nodiscard]] static double Bounded(double value) noexcept;

 private:
  std::uint64_t samples_ = 0;
  double mean_ = 1;
  std::uint64_t pairs_ = 0;     ///< Successive reports of one server.
  double covariance_ = 0;       ///< Of the pairs.
  double pair_variance_ = 0;    ///< Of the earlier reports of the pairs.
  double pair_distance_s_ = 0;  ///< Mean time between the reports of a pair.
};

}  // namespace vanilladeck::steering

#pragma once

#include <optional>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// Mean utilization of a group of servers, from the load reports in their responses.
///
/// In a large fleet each instance uses a server less than once a second, so that its load estimate
/// of a single server has mostly decayed. All responses of a group still give a current mean.
class Utilization {
 public:
  /// `sample` is (running + waiting) / slots of one server.
  void Add(double sample, core::TimePoint now) noexcept;

  /// None without enough recent samples.
  [[nodiscard]] std::optional<double> Mean(core::TimePoint now) const noexcept;

 private:
  [[nodiscard]] double Decay(core::TimePoint now) const noexcept;

  double sum_ = 0;
  double weight_ = 0;  ///< Sum of the decayed weights of the samples in `sum_`.
  core::TimePoint updated_;
};

}  // namespace vanilladeck::steering

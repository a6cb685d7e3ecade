#pragma once

#include <optional>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// Mean utilization of a group of servers, from the loads that they state in their answers.
///
/// A large fleet asks each server less than once a second, so that what an instance believes of a
/// single server has mostly faded. All answers of a group together still give a current mean.
class Utilization {
 public:
  /// `sample` is (running + waiting) / slots of one server.
  void Add(double sample, core::TimePoint now) noexcept;

  /// None without enough recent answers.
  [[nodiscard]] std::optional<double> Mean(core::TimePoint now) const noexcept;

 private:
  [[nodiscard]] double Decay(core::TimePoint now) const noexcept;

  double sum_ = 0;
  double weight_ = 0;  ///< Of the samples in `sum_`; each counts less as it ages.
  core::TimePoint updated_;
};

}  // namespace vanilladeck::steering

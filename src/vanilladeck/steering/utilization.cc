#include "vanilladeck/steering/utilization.h"

#include <algorithm>
#include <cmath>

namespace vanilladeck::steering {
namespace {

// Region shares move every 0.5 s; the mean must follow within two such steps.
constexpr core::Duration kTimeConstant = std::chrono::milliseconds(1000);
// Fewer samples describe single servers rather than the group.
constexpr double kMinSampleWeight = 3;

}  // namespace

double Utilization::Decay(core::TimePoint now) const noexcept {
  const core::Duration age = std::max(core::Duration::zero(), now - updated_);
  return std::exp(-std::chrono::duration<double>(age).count() /
                  std::chrono::duration<double>(kTimeConstant).count());
}

void Utilization::Add(double sample, core::TimePoint now) noexcept {
  const double decay = Decay(now);
  sum_ = sum_ * decay + sample;
  weight_ = weight_ * decay + 1;
  updated_ = now;
}

std::optional<double> Utilization::Mean(core::TimePoint now) const noexcept {
  if (weight_ * Decay(now) < kMinSampleWeight) return std::nullopt;
  return sum_ / weight_;
}

}  // namespace vanilladeck::steering

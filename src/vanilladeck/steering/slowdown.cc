#include "vanilladeck/steering/slowdown.h"

#include <algorithm>
#include <cmath>

namespace vanilladeck::steering {
namespace {

constexpr double kMinValue = 0.1;
constexpr double kMaxValue = 20;
// Weight of a new sample once there are many.
constexpr double kWeight = 0.005;
// Reports that are further apart hardly tell the correlation.
constexpr core::Duration kMaxPairDistance = std::chrono::seconds(2);
// Before so many pairs the assumed correlation time is used.
constexpr std::uint64_t kMinPairs = 30;
constexpr double kAssumedCorrelationS = 0.5;
constexpr double kMinCorrelationS = 0.05;
constexpr double kMaxCorrelationS = 10;
constexpr double kMinCorrelation = 0.01;
constexpr double kMaxCorrelation = 0.99;
// Bounds on the effect of a report.
constexpr double kMinPrediction = 0.25;
constexpr double kMaxPrediction = 8;

double Seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Exponential moving average that starts as the plain mean of the first of `n` samples.
void Average(double& average, double sample, std::uint64_t n) {
  average += std::max(kWeight, 1 / static_cast<double>(n)) * (sample - average);
}

}  // namespace

double SlowdownStatistics::Bounded(double value) noexcept {
  return std::clamp(value, kMinValue, kMaxValue);
}

void SlowdownStatistics::Add(const Sample& sample, const std::optional<Sample>& previous) noexcept {
  ++samples_;
  Average(mean_, sample.value, samples_);
  const double deviation = sample.value - mean_;
  if (!previous) return;
  const core::Duration distance = sample.at - previous->at;
  if (distance <= core::Duration::zero() || distance > kMaxPairDistance) return;
  ++pairs_;
  const double earlier = previous->value - mean_;
  Average(covariance_, earlier * deviation, pairs_);
  Average(pair_variance_, earlier * earlier, pairs_);
  Average(pair_distance_s_, Seconds(distance), pairs_);
}

core::Duration SlowdownStatistics::correlation_time() const noexcept {
  double seconds = kAssumedCorrelationS;
  if (pairs_ >= kMinPairs && pair_variance_ > 0) {
    const double correlation =
        std::clamp(covariance_ / pair_variance_, kMinCorrelation, kMaxCorrelation);
    seconds =
        std::clamp(-pair_distance_s_ / std::log(correlation), kMinCorrelationS, kMaxCorrelationS);
  }
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

double SlowdownStatistics::Predict(const Sample& last, core::Duration duration,
                                   core::TimePoint now) const noexcept {
  if (samples_ == 0) return 1;
  const double correlation_s = Seconds(correlation_time());
  const double age_s = std::max(0.0, Seconds(now - last.at));
  // Mean over the life of the request.
  const double life = std::max(1e-6, Seconds(duration) / correlation_s);
  const double weight = std::exp(-age_s / correlation_s) * (1 - std::exp(-life)) / life;
  const double predicted = mean_ + (last.value - mean_) * weight;
  return std::clamp(predicted / mean_, kMinPrediction, kMaxPrediction);
}

}  // namespace vanilladeck::steering

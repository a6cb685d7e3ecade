#include "vanilladeck/steering/server.h"

#include <algorithm>
#include <cmath>

namespace vanilladeck::steering {
namespace {

using std::chrono::milliseconds;

// A server in use reports its load in responses several times a second.
constexpr core::Duration kFreshness = milliseconds(500);
constexpr core::Duration kLoadHalfLife = milliseconds(700);
// Servers stay slow or failing for seconds; occasional requests detect recovery.
constexpr core::Duration kOutcomeHalfLife = milliseconds(2000);

double Decay(core::TimePoint updated, core::TimePoint now, core::Duration half_life) noexcept {
  const core::Duration age = now - updated - kFreshness;
  if (age <= core::Duration::zero()) return 1;
  return std::exp2(-std::chrono::duration<double>(age).count() /
                   std::chrono::duration<double>(half_life).count());
}

}  // namespace

double Server::Load(core::TimePoint now, double mean_load) const noexcept {
  const double confidence = LoadConfidence(now);
  return in_flight + others_load * confidence + mean_load * (1 - confidence);
}

double Server::LoadConfidence(core::TimePoint now) const noexcept {
  return Decay(others_load_at, now, kLoadHalfLife);
}

double Server::LatencyRatio(core::TimePoint now) const noexcept {
  return 1 + (latency_ratio - 1) * Decay(outcome_at, now, kOutcomeHalfLife);
}

double Server::FailureRate(core::TimePoint now) const noexcept {
  return failure_rate * Decay(outcome_at, now, kOutcomeHalfLife);
}

}  // namespace vanilladeck::steering

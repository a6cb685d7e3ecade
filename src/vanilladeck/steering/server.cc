#include "vanilladeck/steering/server.h"

#include <algorithm>
#include <cmath>

namespace vanilladeck::steering {
namespace {

using std::chrono::milliseconds;

// An instance hears from a server that it uses several times a second.
constexpr core::Duration kFreshness = milliseconds(500);
constexpr core::Duration kLoadHalfLife = milliseconds(700);
// Servers are slow or fail for seconds; a request now and then finds out whether they still are.
constexpr core::Duration kQualityHalfLife = milliseconds(2000);

double Fade(core::TimePoint learned, core::TimePoint now, core::Duration half_life) noexcept {
  const core::Duration age = now - learned - kFreshness;
  if (age <= core::Duration::zero()) return 1;
  return std::exp2(-std::chrono::duration<double>(age).count() /
                   std::chrono::duration<double>(half_life).count());
}

}  // namespace

double Server::Load(core::TimePoint now, double usual) const noexcept {
  const double known = LoadKnown(now);
  return in_flight + others * known + usual * (1 - known);
}

double Server::LoadKnown(core::TimePoint now) const noexcept {
  return Fade(others_at, now, kLoadHalfLife);
}

double Server::LatencyRatio(core::TimePoint now) const noexcept {
  return 1 + (latency_ratio - 1) * Fade(ended_at, now, kQualityHalfLife);
}

double Server::FailureRate(core::TimePoint now) const noexcept {
  return failure_rate * Fade(ended_at, now, kQualityHalfLife);
}

}  // namespace vanilladeck::steering

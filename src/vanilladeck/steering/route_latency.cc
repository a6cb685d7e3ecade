#include "vanilladeck/steering/route_latency.h"

#include <algorithm>
#include <utility>

namespace vanilladeck::steering {
namespace {

constexpr double kSampleWeight = 0.05;

}  // namespace

void RouteLatency::Add(core::Duration latency, bool comparable, core::TimePoint now) noexcept {
  const bool tried = std::exchange(trying_, false);
  if (!comparable && !tried) return;
  answered_at_ = now;
  if (!comparable) {
    mean_ = std::min(mean_.value_or(latency), latency);
  } else if (!mean_ || tried) {
    mean_ = latency;
  } else {
    const double change = kSampleWeight * static_cast<double>((latency - *mean_).count());
    *mean_ += core::Duration(static_cast<core::Duration::rep>(change));
  }
}

bool RouteLatency::MayTry(core::TimePoint now) const noexcept {
  return (!answered_at_ || now - *answered_at_ >= kMemory) &&
         (!tried_at_ || now - *tried_at_ >= kTrialInterval);
}

void RouteLatency::OnTried(core::TimePoint now) noexcept {
  tried_at_ = now;
  trying_ = true;
}

}  // namespace vanilladeck::steering

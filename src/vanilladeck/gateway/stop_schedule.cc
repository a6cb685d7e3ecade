#include "vanilladeck/gateway/stop_schedule.h"

#include <algorithm>

namespace vanilladeck::gateway {
namespace {

using std::chrono::milliseconds;

// New connections are accepted while lookup responses that name this instance are still valid, but
// not in the second half of the grace period.
constexpr core::Duration kListenTime = milliseconds(2800);
constexpr int kListenDivisor = 2;
// Clients that refresh their lookups have moved away by then.
constexpr core::Duration kIdleTime = milliseconds(1200);
constexpr int kIdleDivisor = 5;
constexpr core::Duration kMinIdle = milliseconds(500);
constexpr int kMinIdleDivisor = 12;
// The platform's rules accept that a request is cut off which was sent in the first 3 s of a stop
// and whose server is still at work in the last sixth of the grace period; none that was sent
// later.
constexpr core::Duration kEstimateTime = std::chrono::seconds(3);
constexpr int kEstimateDivisor = 2;
// Work of the services in use takes up to three times its mean.
constexpr int kLongestLatencyRatio = 3;
// Time for the delivery of the last responses, and the same again from there to the end of the
// grace period. With this divisor both lie in the last sixth.
constexpr core::Duration kExitMargin = milliseconds(250);
constexpr int kExitMarginDivisor = 16;

}  // namespace

StopSchedule::StopSchedule(core::TimePoint began, core::Duration grace) noexcept : began_(began) {
  grace = std::max(grace, core::Duration::zero());
  const core::Duration margin = std::min(kExitMargin, grace / kExitMarginDivisor);
  idle_from_ = began + std::min(kIdleTime, grace / kIdleDivisor);
  listen_until_ = began + std::min(kListenTime, grace / kListenDivisor);
  estimates_until_ = began + std::min(kEstimateTime, grace / kEstimateDivisor);
  answers_by_ = began + grace - 2 * margin;
  exit_at_ = began + grace - margin;
  min_idle_ = std::min(kMinIdle, grace / kMinIdleDivisor);
}

bool StopSchedule::MayPassOn(core::TimePoint now, core::TimePoint deadline,
                             core::Duration usual) const noexcept {
  if (deadline <= answers_by_) return true;
  return now < estimates_until_ && usual > core::Duration::zero() &&
         now + kLongestLatencyRatio * usual <= answers_by_;
}

core::Duration StopSchedule::MinIdle(core::TimePoint now) const noexcept {
  return now < answers_by_ ? min_idle_ : core::Duration::zero();
}

}  // namespace vanilladeck::gateway

#include "vanilladeck/steering/impl/sending_region_account.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanilladeck::steering::impl {
namespace {

constexpr core::Duration kRateWindow = std::chrono::seconds(1);
constexpr double kGrowthPerSecond = 1.5;
// A longer step means that no credits were requested; caches do not warm up meanwhile.
constexpr double kMaxGrowthStepS = 1.0;
// After this time without shifted traffic the receiver's caches count as cold again.
constexpr core::Duration kRampResetAfter = std::chrono::seconds(30);

std::uint32_t Remaining(std::uint32_t cap, std::uint32_t taken) {
  return cap - std::min(cap, taken);
}

}  // namespace

void SendingRegionAccount::Expire(core::TimePoint now) {
  while (!grants.empty() && (grants.front().expiry <= now || grants.front().count == 0)) {
    outstanding -= grants.front().count;
    grants.pop_front();
  }
  while (!admissions.empty() && admissions.front() + kRateWindow <= now) admissions.pop_front();
}

void SendingRegionAccount::Grow(core::TimePoint now, bool measured) {
  const double step = std::chrono::duration<double>(now - grown_at).count();
  grown_at = now;
  const bool cold = now - last_used > kRampResetAfter;
  const bool grow = limited_by_ramp && measured && !cold;
  limited_by_ramp = false;
  if (cold) ramp = 1;
  if (!grow) return;
  const double factor = std::pow(kGrowthPerSecond, std::clamp(step, 0.0, kMaxGrowthStepS));
  ramp = std::min(ramp * factor, std::max(1.0, rate_cap + 0.0));
}

std::uint32_t SendingRegionAccount::AvailableCredits() const noexcept {
  const auto used = static_cast<std::uint32_t>(admissions.size());
  const std::uint32_t ramp_cap = ramped ? static_cast<std::uint32_t>(ramp) : rate_cap;
  return std::min({Remaining(rate_cap, outstanding + used),
                   Remaining(inflight_cap, outstanding + in_flight),
                   Remaining(ramp_cap, outstanding + used)});
}

}  // namespace vanilladeck::steering::impl

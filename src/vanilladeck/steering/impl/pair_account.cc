#include "vanilladeck/steering/impl/pair_account.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanilladeck::steering::impl {
namespace {

constexpr core::Duration kRateWindow = std::chrono::seconds(1);
constexpr double kGrowthPerSecond = 1.5;
// Time beyond this passed without requests for credits; caches do not warm up meanwhile.
constexpr double kMaxGrowthStepS = 1.0;
// After this long without shifted traffic the receiver's caches count as cold again.
constexpr core::Duration kColdAfter = std::chrono::seconds(30);

std::uint32_t Left(std::uint32_t cap, std::uint32_t taken) { return cap - std::min(cap, taken); }

}  // namespace

void PairAccount::Expire(core::TimePoint now) {
  while (!grants.empty() && (grants.front().expiry <= now || grants.front().count == 0)) {
    outstanding -= grants.front().count;
    grants.pop_front();
  }
  while (!uses.empty() && uses.front() + kRateWindow <= now) uses.pop_front();
}

void PairAccount::Grow(core::TimePoint now, bool measured) {
  const double step = std::chrono::duration<double>(now - grown_at).count();
  grown_at = now;
  const bool cold = now - last_used > kColdAfter;
  const bool grow = limited_by_ramp && measured && !cold;
  limited_by_ramp = false;
  if (cold) ramp = 1;
  if (!grow) return;
  const double factor = std::pow(kGrowthPerSecond, std::clamp(step, 0.0, kMaxGrowthStepS));
  ramp = std::min(ramp * factor, std::max(1.0, rate_cap + 0.0));
}

std::uint32_t PairAccount::Room() const noexcept {
  const auto used = static_cast<std::uint32_t>(uses.size());
  const std::uint32_t warm = ramped ? static_cast<std::uint32_t>(ramp) : rate_cap;
  return std::min({Left(rate_cap, outstanding + used), Left(inflight_cap, outstanding + in_flight),
                   Left(warm, outstanding + used)});
}

}  // namespace vanilladeck::steering::impl

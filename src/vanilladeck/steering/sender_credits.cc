#include "vanilladeck/steering/sender_credits.h"

#include <algorithm>
#include <chrono>

namespace vanilladeck::steering {

core::Result<void, SenderCreditsError> SenderCredits::Add(const peer::CreditGrant& grant,
                                                          const std::string& service,
                                                          core::TimePoint asked_at,
                                                          core::TimePoint now) {
  const core::TimePoint expiry = asked_at + std::chrono::milliseconds(grant.ttl_ms);
  if (now >= expiry) return SenderCreditsError{SenderCreditsErrorCode::kExpired};
  if (grant.count > 0) credits_[{grant.granter, service}].push_back({grant.count, expiry});
  return core::success();
}

core::Result<CreditUse, SenderCreditsError> SenderCredits::Take(const core::InstanceId& receiver,
                                                                const std::string& service,
                                                                core::TimePoint now) {
  const auto it = credits_.find({receiver, service});
  if (it == credits_.end()) return SenderCreditsError{SenderCreditsErrorCode::kNoCredit};
  std::erase_if(it->second, [now](const Credits& entry) { return now >= entry.expiry; });
  if (it->second.empty()) {
    credits_.erase(it);
    return SenderCreditsError{SenderCreditsErrorCode::kNoCredit};
  }
  const auto first = std::ranges::min_element(it->second, {}, &Credits::expiry);
  const CreditUse use{receiver, first->expiry - now};
  if (--first->count == 0) it->second.erase(first);
  return use;
}

void SenderCredits::Drop(const core::InstanceId& receiver) {
  std::erase_if(credits_, [&receiver](const auto& it) { return it.first.first == receiver; });
}

std::uint32_t SenderCredits::Available(const core::InstanceId& receiver, const std::string& service,
                                       core::TimePoint now) const {
  const auto it = credits_.find({receiver, service});
  if (it == credits_.end()) return 0;
  std::uint32_t sum = 0;
  for (const Credits& entry : it->second) sum += now < entry.expiry ? entry.count : 0;
  return sum;
}

}  // namespace vanilladeck::steering

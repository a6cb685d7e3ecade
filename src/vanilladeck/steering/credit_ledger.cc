#include "vanilladeck/steering/credit_ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace vanilladeck::steering {
namespace {

constexpr std::uint32_t kNoCap = std::numeric_limits<std::uint32_t>::max() / 4;

/// Share of an integer cap for seat `seat` of `total`; the shares sum to `cap`.
std::uint32_t SeatCapShare(std::uint32_t cap, std::uint32_t seat, std::uint32_t total) {
  return cap / total + (seat < cap % total ? 1U : 0U);
}

}  // namespace

RegionSeats NumberSeats(const config::Deployment& deployment, std::string_view failure_domain,
                        const std::vector<std::uint32_t>& held) {
  RegionSeats seats;
  const auto own =
      std::ranges::find(deployment.failure_domains, failure_domain, &config::FailureDomain::name);
  if (own == deployment.failure_domains.end()) return seats;
  for (const config::FailureDomain& domain : deployment.failure_domains) {
    if (domain.region != own->region) continue;
    if (domain.name == failure_domain) {
      for (std::uint32_t seat : held) {
        if (seat < domain.seats) seats.held.push_back(seats.total + seat);
      }
    }
    seats.total += domain.seats;
  }
  return seats;
}

core::Result<CreditLedger, CreditLedgerError> CreditLedger::Create(
    const config::Deployment& deployment, std::string region, core::InstanceId self) {
  CreditLedger ledger(std::move(region), std::move(self));
  if (auto configured = ledger.Configure(deployment); !configured) return configured.error();
  return ledger;
}

core::Result<void, CreditLedgerError> CreditLedger::Configure(
    const config::Deployment& deployment) {
  const auto known = std::ranges::find(deployment.regions, region_, &config::Region::name);
  if (known == deployment.regions.end()) return CreditLedgerError{region_};
  caps_.clear();
  caps_[region_] = {kNoCap, kNoCap};
  for (const config::Link& link : deployment.links) {
    if (link.to != region_ || link.from == region_) continue;
    // Rounded down: a window of one second admits whole requests only.
    caps_[link.from] = {
        static_cast<std::uint32_t>(std::clamp(std::floor(link.shift_cap_rps), 0.0, kNoCap + 0.0)),
        std::min(link.shift_cap_inflight, kNoCap)};
  }
  ApplyCaps();
  return core::success();
}

void CreditLedger::SetSeats(const RegionSeats& seats, core::TimePoint valid_until) {
  seats_ = seats;
  valid_until_ = valid_until;
  ApplyCaps();
}

core::Result<peer::CreditGrant, CreditError> CreditLedger::Grant(const peer::CreditRequest& request,
                                                                 IdleSlots idle,
                                                                 core::TimePoint now) {
  now = LatestTime(now);
  const auto it = accounts_.find(request.from_region);
  if (it == accounts_.end()) {
    return CreditError{CreditRefusal::kUnknownRegion, request.from_region};
  }
  if (now >= valid_until_) return CreditError{CreditRefusal::kSeatExpired, request.from_region};
  impl::SendingRegionAccount& account = it->second;
  account.Expire(now);
  account.Grow(now, idle.measured);
  const std::uint32_t claimed = Outstanding(request.service, now);
  const std::uint32_t free = idle.count - std::min(idle.count, claimed);
  const std::uint32_t available = account.AvailableCredits();
  std::uint32_t held = 0;
  for (const auto& grant : account.grants) {
    if (grant.sender == request.sender && grant.service == request.service) held += grant.count;
  }
  const std::uint32_t wanted = request.wanted - std::min(request.wanted, held);
  account.limited_by_ramp = wanted > available && free > available;
  const auto lifetime =
      std::chrono::floor<std::chrono::milliseconds>(std::min(kCreditLifetime, valid_until_ - now));
  const std::uint32_t count = lifetime.count() == 0 ? 0 : std::min({wanted, free, available});
  const peer::CreditGrant grant{count, static_cast<std::uint32_t>(lifetime.count()), self_};
  if (count == 0) return grant;
  const impl::OutstandingGrant entry{request.sender, request.service, count, now + lifetime};
  // Grants are ordered by expiry; the expiry of a seat can shorten the lifetime of a later grant.
  const auto position =
      std::ranges::upper_bound(account.grants, entry.expiry, {}, &impl::OutstandingGrant::expiry);
  account.grants.insert(position, entry);
  account.outstanding += count;
  account.last_used = now;
  return grant;
}

core::Result<void, CreditError> CreditLedger::Admit(const core::InstanceId& sender,
                                                    const std::string& from_region,
                                                    const std::string& service,
                                                    core::TimePoint now) {
  now = LatestTime(now);
  const auto it = accounts_.find(from_region);
  if (it == accounts_.end()) return CreditError{CreditRefusal::kUnknownRegion, from_region};
  if (now >= valid_until_) return CreditError{CreditRefusal::kSeatExpired, from_region};
  impl::SendingRegionAccount& account = it->second;
  account.Expire(now);
  const auto grant = std::ranges::find_if(account.grants, [&](const auto& entry) {
    return entry.count > 0 && entry.sender == sender && entry.service == service;
  });
  if (grant == account.grants.end()) return CreditError{CreditRefusal::kNoCredit, from_region};
  --grant->count;
  --account.outstanding;
  account.admissions.push_back(now);
  ++account.in_flight;
  account.last_used = now;
  return core::success();
}

void CreditLedger::Finish(const std::string& from_region, core::TimePoint now) {
  (void)LatestTime(now);
  const auto it = accounts_.find(from_region);
  if (it != accounts_.end() && it->second.in_flight > 0) --it->second.in_flight;
}

void CreditLedger::OnShed(const std::string& from_region, core::TimePoint now) {
  (void)LatestTime(now);
  const auto it = accounts_.find(from_region);
  if (it != accounts_.end()) it->second.ramp = std::max(1.0, it->second.ramp / 2);
}

std::uint32_t CreditLedger::Outstanding(std::string_view service, core::TimePoint now) {
  now = LatestTime(now);
  std::uint32_t sum = 0;
  for (auto& [region, account] : accounts_) {
    account.Expire(now);
    for (const auto& grant : account.grants) {
      if (grant.service == service) sum += grant.count;
    }
  }
  return sum;
}

std::uint32_t CreditLedger::InFlight(const std::string& from_region) const {
  const auto it = accounts_.find(from_region);
  return it == accounts_.end() ? 0 : it->second.in_flight;
}

core::TimePoint CreditLedger::LatestTime(core::TimePoint now) {
  latest_ = std::max(latest_, now);
  return latest_;
}

void CreditLedger::ApplyCaps() {
  for (auto& [region, account] : accounts_) {
    account.rate_cap = 0;
    account.inflight_cap = 0;
  }
  for (const auto& [region, caps] : caps_) {
    impl::SendingRegionAccount& account = accounts_[region];
    for (std::uint32_t seat : seats_.held) {
      account.rate_cap += SeatCapShare(caps.rate, seat, seats_.total);
      account.inflight_cap += SeatCapShare(caps.inflight, seat, seats_.total);
    }
    account.ramped = region != region_;
  }
}

}  // namespace vanilladeck::steering

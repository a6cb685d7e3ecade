#include "vanilladeck/steering/sender_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::steering {
namespace {

// Age up to which a view is recent. Views in touch with the store or a reader are younger than a
// second; without a longer time a slow store would leave fresh servers idle.
constexpr core::Duration kMaxViewAge = std::chrono::seconds(3);
// Time for which recent views must have listed the own record before its share is used. Views of
// others may be `kMaxViewAge` old, and between two own views the record may have been away, unseen,
// for as long.
constexpr core::Duration kSettleTime = 2 * kMaxViewAge;
// An instance may use its share, and requests sent with it may be under way, for some time after
// its record has left the store: it notices this within `kMaxViewAge`.
constexpr core::Duration kMemberLinger = std::chrono::seconds(10);
// Weight of a link whose bandwidth is unknown, in Mbit/s; between the narrow and the wide links of
// the deployments in use (10 and 200).
constexpr double kUnknownLinkMbps = 100;
constexpr double kMaxLinkMbps = 1e6;
// Weight of an instance of the server's region, relative to one of another region. Requests leave
// their region only when it is overloaded.
constexpr std::uint64_t kOwnRegionFactor = 4;
constexpr std::size_t kMaxCached = 4096;

/// Integer, so that all instances compute the same quotients.
std::uint64_t Weight(const Sender& sender, const std::string& region) {
  const double link = sender.link_mbps > 0 ? sender.link_mbps : kUnknownLinkMbps;
  const auto weight = static_cast<std::uint64_t>(std::clamp(std::round(link), 1.0, kMaxLinkMbps));
  return sender.region == region ? weight * kOwnRegionFactor : weight;
}

}  // namespace

void SenderShares::Update(const std::map<std::string, Sender>& listed, const std::string& own,
                          core::TimePoint view_as_of, core::TimePoint now) {
  known_ = true;
  own_ = own;
  bool changed = false;
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    const auto record = listed.find(it->first);
    member.listed = record != listed.end();
    if (member.listed) {
      member.last_listed = now;
      changed = changed || !(member.sender == record->second);
      member.sender = record->second;
    }
    if (!member.listed && now - member.last_listed > kMemberLinger) {
      it = members_.erase(it);
      changed = true;
    } else {
      ++it;
    }
  }
  for (const auto& [name, sender] : listed) {
    changed = members_.try_emplace(name, Member{sender, true, now}).second || changed;
  }
  if (changed) cache_.clear();
  // The record may have been away unseen while no view was recent.
  const bool lapsed = now > valid_until_;
  if (listed.count(own) == 0) {
    valid_from_ = core::TimePoint::max();
  } else if (lapsed || valid_from_ == core::TimePoint::max()) {
    valid_from_ = now + kSettleTime;
  }
  valid_until_ = view_as_of + kMaxViewAge;
}

std::uint32_t SenderShares::Share(double limit, const std::string& id, const std::string& region,
                                  core::TimePoint now) const {
  if (limit < 1 || now < valid_from_ || now > valid_until_) return 0;
  const auto whole = static_cast<std::uint32_t>(limit);
  const auto it = cache_.find(id);
  if (it != cache_.end() && it->second.limit == whole) return it->second.share;
  if (cache_.size() >= kMaxCached) cache_.clear();
  const std::uint32_t share = Compute(whole, id, region);
  cache_[id] = {whole, share};
  return share;
}

std::uint32_t SenderShares::Compute(std::uint32_t limit, const std::string& id,
                                    const std::string& region) const {
  const auto own = members_.find(own_);
  if (own == members_.end()) return 0;
  const std::uint64_t seed = core::Hash64(id);
  const std::uint64_t own_weight = Weight(own->second.sender, region);
  const std::uint64_t own_hash = core::Hash64(own_, seed);
  for (std::uint32_t share = 0; share < limit; ++share) {
    // Quotients of others above own_weight / (share + 1); equal ones are ordered by a hash, which
    // gives the remainder for each server to other instances.
    std::uint64_t above = share;
    for (const auto& [name, member] : members_) {
      if (name == own_) continue;
      const std::uint64_t product = Weight(member.sender, region) * (share + 1);
      std::uint64_t quotients = product / own_weight;
      if (quotients > 0 && product % own_weight == 0) {
        const std::uint64_t hash = core::Hash64(name, seed);
        const bool first = hash != own_hash ? hash > own_hash : name < own_;
        if (!first) --quotients;
      }
      above += quotients;
      if (above >= limit) return share;
    }
  }
  return limit;
}

}  // namespace vanilladeck::steering

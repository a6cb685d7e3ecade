#include "vanilladeck/membership/view.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::membership {
namespace {

/// Keeps the initial cursor small enough that its increments do not overflow.
constexpr unsigned kCursorShift = 32;

/// A member that is gone is still sent heartbeats for this long, so that a healed partition is
/// detected.
constexpr core::Duration kGoneRetention = std::chrono::minutes(10);

/// Returns the relayed part of a member. It omits the configuration hash, which would take a third
/// of a heartbeat's bytes: instances offer only the version that they hold themselves.
Member Relayed(const Member& member) {
  Member relayed = member;
  relayed.config_hash.clear();
  return relayed;
}

/// Returns up to `limit` items in round-robin order, starting at `cursor`.
std::vector<std::string> Rotate(const std::vector<std::string>& items, std::size_t limit,
                                std::size_t cursor) {
  std::vector<std::string> taken;
  for (std::size_t i = 0; i < std::min(limit, items.size()); ++i) {
    taken.push_back(items[(cursor + i) % items.size()]);
  }
  return taken;
}

}  // namespace

View::View(std::string deployment, Member self, std::vector<std::string> seeds)
    : deployment_(std::move(deployment)), self_(std::move(self)), seeds_(std::move(seeds)) {
  // The offset by hash keeps instances from all calling the same target at once.
  target_cursor_ = core::Hash64(self_.id.address, self_.id.incarnation) >> kCursorShift;
}

bool View::IsInOwnDomain(const Member& member) const {
  return member.failure_domain == self_.failure_domain;
}

core::Duration View::FailureTimeout(const Member& member) const {
  // An instance receives about 2 * kFanout * relayed members per second. The selection is close to
  // random, so a live member is sometimes not relayed for several rounds; ten rounds without
  // progress are too unlikely to occur by chance at the size of the fleet.
  constexpr std::size_t kRounds = 10;
  const std::size_t per_second =
      2 * kFanout * (IsInOwnDomain(member) ? kRelayedOwnDomain : kRelayedOtherDomains);
  const std::size_t group =
      IsInOwnDomain(member) ? own_domain_count_ : members_.size() - own_domain_count_;
  return kMinFailureTimeout + std::chrono::milliseconds(1000 * kRounds * group / per_second);
}

bool View::IsLive(const Tracked& tracked, core::TimePoint now) const {
  return !tracked.gone && now - tracked.last_progress < FailureTimeout(tracked.member);
}

void View::MarkChanged(Tracked& tracked) const {
  // Gossip relayed a few times more than log2 of the fleet size reaches every instance with high
  // probability.
  tracked.remaining_relays = 6 + static_cast<std::uint32_t>(std::bit_width(members_.size()));
}

void View::AnnounceGone(Tracked& tracked) const {
  // Instances of other domains may have received later heartbeats than this one. The margin covers
  // all heartbeats that the member may have sent unseen by this instance before it failed.
  constexpr std::uint64_t kSequenceMargin = 64;
  tracked.member.sequence += kSequenceMargin;
  MarkChanged(tracked);
}

void View::AppendChanges(Heartbeat& heartbeat) {
  std::size_t added = 0;
  for (auto& [address, tracked] : members_) {
    if (tracked.remaining_relays == 0) continue;
    if (added++ == kRelayedChanges) return;
    --tracked.remaining_relays;
    heartbeat.relayed.push_back(Relayed(tracked.member));
    heartbeat.relayed.back().gone = tracked.gone;
  }
}

void View::AppendRelayed(Heartbeat& heartbeat, bool own_domain, std::size_t limit,
                         std::string& cursor, core::TimePoint now) const {
  if (members_.empty()) return;
  auto it = members_.upper_bound(cursor);
  std::size_t added = 0;
  for (std::size_t seen = 0; seen < members_.size() && added < limit; ++seen, ++it) {
    if (it == members_.end()) it = members_.begin();
    cursor = it->first;
    if (IsInOwnDomain(it->second.member) != own_domain || !IsLive(it->second, now)) continue;
    heartbeat.relayed.push_back(Relayed(it->second.member));
    ++added;
  }
}

Heartbeat View::MakeHeartbeat(core::TimePoint now) {
  ++self_.sequence;
  Heartbeat heartbeat{deployment_, self_, {}};
  AppendChanges(heartbeat);
  AppendRelayed(heartbeat, true, kRelayedOwnDomain, own_domain_cursor_, now);
  AppendRelayed(heartbeat, false, kRelayedOtherDomains, other_domains_cursor_, now);
  return heartbeat;
}

void View::Merge(const Member& member, core::TimePoint now) {
  if (member.id.address == self_.id.address) {
    const bool same = member.id.incarnation == self_.id.incarnation;
    if (!same && member.started_ms > self_.started_ms) superseded_ = true;
    // This instance was declared dead: its next heartbeat needs a higher sequence number than the
    // report to refute it.
    if (same && member.gone) self_.sequence = std::max(self_.sequence, member.sequence);
    return;
  }
  auto it = members_.find(member.id.address);
  if (it == members_.end()) {
    if (member.gone) return;
    it = members_.emplace(member.id.address, Tracked{member, now}).first;
    if (IsInOwnDomain(member)) ++own_domain_count_;
    MarkChanged(it->second);
    return;
  }
  Tracked& tracked = it->second;
  const Member& known = tracked.member;
  const bool same = known.id.incarnation == member.id.incarnation;
  if (member.gone) {
    if (same) MergeGone(tracked, member);
    return;
  }
  if (same && member.sequence <= known.sequence) return;
  if (!same && member.started_ms <= known.started_ms) return;
  if (!same && !tracked.gone) newly_gone_.push_back(known.id);
  if (IsInOwnDomain(known)) --own_domain_count_;
  if (IsInOwnDomain(member)) ++own_domain_count_;
  const bool changed = !same || tracked.gone || known.leaving != member.leaving;
  tracked = Tracked{member, now, false, tracked.remaining_relays};
  if (changed) MarkChanged(tracked);
}

void View::MergeGone(Tracked& tracked, const Member& member) {
  // A higher known sequence number refutes the report. Members of the own failure domain are judged
  // only by this instance's own failure detection.
  if (tracked.gone || IsInOwnDomain(member) || member.sequence < tracked.member.sequence) return;
  tracked.gone = true;
  tracked.member.sequence = member.sequence;
  newly_gone_.push_back(tracked.member.id);
  MarkChanged(tracked);
}

bool View::OnHeartbeat(const Heartbeat& heartbeat, core::TimePoint now) {
  if (heartbeat.deployment != deployment_) return false;
  Merge(heartbeat.self, now);
  for (const Member& it : heartbeat.relayed) Merge(it, now);
  auto sender = members_.find(heartbeat.self.id.address);
  if (sender != members_.end() && sender->second.gone) MarkChanged(sender->second);
  return true;
}

void View::OnInstanceList(const std::vector<store::ListedInstance>& instances) {
  listed_.clear();
  for (const auto& it : instances) listed_.emplace(it.address, it.failure_domain);
  has_list_ = true;
}

bool View::IsListed(const std::string& address) const { return listed_.contains(address); }

std::vector<std::string> View::ListedIn(const std::string& failure_domain) const {
  std::vector<std::string> addresses;
  for (const auto& [address, domain] : listed_) {
    if (domain == failure_domain) addresses.push_back(address);
  }
  return addresses;
}

std::vector<std::string> View::PickTargets(core::TimePoint now) {
  std::set<std::string> unknown_addresses(seeds_.begin(), seeds_.end());
  for (const auto& [address, domain] : listed_) unknown_addresses.insert(address);
  unknown_addresses.erase(self_.id.address);
  std::vector<std::string> own_domain;
  std::vector<std::string> other_domains;
  for (const auto& [address, tracked] : members_) {
    unknown_addresses.erase(address);
    if (now - tracked.last_progress > kGoneRetention) continue;
    (IsInOwnDomain(tracked.member) ? own_domain : other_domains).push_back(address);
  }
  other_domains.insert(other_domains.end(), unknown_addresses.begin(), unknown_addresses.end());
  ++target_cursor_;
  // One target outside the own failure domain connects the views of the domains; the others are in
  // the own domain.
  const std::size_t other_domains_share =
      std::max<std::size_t>(1, kFanout - std::min(kFanout, own_domain.size()));
  auto targets = Rotate(other_domains, other_domains_share, target_cursor_ * other_domains_share);
  const auto chosen = Rotate(own_domain, kFanout - std::min(kFanout, targets.size()),
                             target_cursor_ * (kFanout - 1));
  targets.insert(targets.end(), chosen.begin(), chosen.end());
  return targets;
}

std::vector<const Member*> View::Live(core::TimePoint now) const {
  std::vector<const Member*> live;
  for (const auto& [address, tracked] : members_) {
    if (IsLive(tracked, now)) live.push_back(&tracked.member);
  }
  return live;
}

std::vector<core::InstanceId> View::TakeGone(core::TimePoint now) {
  for (auto it = members_.begin(); it != members_.end();) {
    Tracked& tracked = it->second;
    if (!tracked.gone && !IsLive(tracked, now)) {
      tracked.gone = true;
      newly_gone_.push_back(tracked.member.id);
      // For a member of another failure domain it may be a partition that others do not see.
      if (IsInOwnDomain(tracked.member)) AnnounceGone(tracked);
    }
    if (now - tracked.last_progress > kGoneRetention) {
      if (IsInOwnDomain(tracked.member)) --own_domain_count_;
      it = members_.erase(it);
    } else {
      ++it;
    }
  }
  return std::exchange(newly_gone_, {});
}

}  // namespace vanilladeck::membership

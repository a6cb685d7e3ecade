#include "vanilladeck/membership/view.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::membership {
namespace {

/// Leaves room for the rotation to count on without overflow.
constexpr unsigned kCursorShift = 32;

/// A silent member is still sent heartbeats for this long, so that a healed partition is noticed.
constexpr core::Duration kForgetAfter = std::chrono::minutes(10);

/// What is relayed of a member. Versions are offered by their holders only, so the hash, which
/// would be a third of a heartbeat's bytes, is left out.
Member Relayed(const Member& member) {
  Member relayed = member;
  relayed.config_hash.clear();
  return relayed;
}

/// Takes up to `limit` items in rotation, starting at `cursor`, which moves on.
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
  // Instances that rotate in step would all call the same target at once.
  target_cursor_ = core::Hash64(self_.id.address, self_.id.incarnation) >> kCursorShift;
}

bool View::IsNear(const Member& member) const {
  return member.failure_domain == self_.failure_domain;
}

core::Duration View::SilenceLimit(const Member& member) const {
  // Every second an instance hears of about 2 * kFanout * relayed members. Which ones is as good as
  // random, so a member stays unmentioned for several rounds now and then: after ten rounds without
  // progress, chance is ruled out for the fleet's size.
  constexpr std::size_t kRounds = 10;
  const std::size_t per_second = 2 * kFanout * (IsNear(member) ? kRelayedNear : kRelayedFar);
  const std::size_t group = IsNear(member) ? near_count_ : members_.size() - near_count_;
  return kMinSilence + std::chrono::milliseconds(1000 * kRounds * group / per_second);
}

bool View::IsLive(const Tracked& tracked, core::TimePoint now) const {
  return !tracked.gone && now - tracked.last_progress < SilenceLimit(tracked.member);
}

void View::MarkChanged(Tracked& tracked) const {
  // A rumour told a few times more than log2 of the fleet reaches everyone with high probability.
  tracked.change_relays = 6 + static_cast<std::uint32_t>(std::bit_width(members_.size()));
}

void View::AnnounceGone(Tracked& tracked) const {
  // Distant instances may have heard of later heartbeats than this one. The margin covers all that
  // the member can have sent unheard before its silence began.
  constexpr std::uint64_t kSequenceMargin = 64;
  tracked.member.sequence += kSequenceMargin;
  MarkChanged(tracked);
}

void View::AppendChanges(Heartbeat& heartbeat) {
  std::size_t added = 0;
  for (auto& [address, tracked] : members_) {
    if (tracked.change_relays == 0) continue;
    if (added++ == kRelayedChanges) return;
    --tracked.change_relays;
    heartbeat.relayed.push_back(Relayed(tracked.member));
    heartbeat.relayed.back().gone = tracked.gone;
  }
}

void View::AppendRelayed(Heartbeat& heartbeat, bool near, std::size_t limit, std::string& cursor,
                         core::TimePoint now) const {
  if (members_.empty()) return;
  auto it = members_.upper_bound(cursor);
  std::size_t added = 0;
  for (std::size_t seen = 0; seen < members_.size() && added < limit; ++seen, ++it) {
    if (it == members_.end()) it = members_.begin();
    cursor = it->first;
    if (IsNear(it->second.member) != near || !IsLive(it->second, now)) continue;
    heartbeat.relayed.push_back(Relayed(it->second.member));
    ++added;
  }
}

Heartbeat View::MakeHeartbeat(core::TimePoint now) {
  ++self_.sequence;
  Heartbeat heartbeat{deployment_, self_, {}};
  AppendChanges(heartbeat);
  AppendRelayed(heartbeat, true, kRelayedNear, near_cursor_, now);
  AppendRelayed(heartbeat, false, kRelayedFar, far_cursor_, now);
  return heartbeat;
}

void View::Merge(const Member& member, core::TimePoint now) {
  if (member.id.address == self_.id.address) {
    const bool same = member.id.incarnation == self_.id.incarnation;
    if (!same && member.started_ms > self_.started_ms) superseded_ = true;
    // Taken for dead: the next heartbeat has to be later than the rumour to disprove it.
    if (same && member.gone) self_.sequence = std::max(self_.sequence, member.sequence);
    return;
  }
  auto it = members_.find(member.id.address);
  if (it == members_.end()) {
    if (member.gone) return;
    it = members_.emplace(member.id.address, Tracked{member, now}).first;
    if (IsNear(member)) ++near_count_;
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
  if (IsNear(known)) --near_count_;
  if (IsNear(member)) ++near_count_;
  const bool changed = !same || tracked.gone || known.leaving != member.leaving;
  tracked = Tracked{member, now, false, tracked.change_relays};
  if (changed) MarkChanged(tracked);
}

void View::MergeGone(Tracked& tracked, const Member& member) {
  // A later sequence number that was heard of disproves the rumour. For members of the own failure
  // domain only what this instance hears itself counts.
  if (tracked.gone || IsNear(member) || member.sequence < tracked.member.sequence) return;
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
  std::set<std::string> unknown(seeds_.begin(), seeds_.end());
  for (const auto& [address, domain] : listed_) unknown.insert(address);
  unknown.erase(self_.id.address);
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [address, tracked] : members_) {
    unknown.erase(address);
    if (now - tracked.last_progress > kForgetAfter) continue;
    (IsNear(tracked.member) ? near : far).push_back(address);
  }
  far.insert(far.end(), unknown.begin(), unknown.end());
  ++target_cursor_;
  // One target outside of the own failure domain joins the domains' views; the rest stay near.
  const std::size_t far_share = std::max<std::size_t>(1, kFanout - std::min(kFanout, near.size()));
  auto targets = Rotate(far, far_share, target_cursor_ * far_share);
  const auto chosen =
      Rotate(near, kFanout - std::min(kFanout, targets.size()), target_cursor_ * (kFanout - 1));
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
      // Silence of a member of another failure domain may be a partition that others don't see.
      if (IsNear(tracked.member)) AnnounceGone(tracked);
    }
    if (now - tracked.last_progress > kForgetAfter) {
      if (IsNear(tracked.member)) --near_count_;
      it = members_.erase(it);
    } else {
      ++it;
    }
  }
  return std::exchange(newly_gone_, {});
}

}  // namespace vanilladeck::membership

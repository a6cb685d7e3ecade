#include "vanilladeck/membership/store_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace vanilladeck::membership {
namespace {

// `Tick` is called several times a second; a longer gap means that the process did not run.
constexpr core::Duration kStallTime = std::chrono::milliseconds(500);
// Interval of checks as a multiple of the duration of a check.
constexpr int kCheckPauseFactor = 10;
// Wait of a watch that follows one that may have been cut short. An empty response to it states
// that nothing is missing, so it must come soon.
constexpr core::Duration kCatchUpWait = std::chrono::milliseconds(1);
// The grace period is longer by this time than the one in which servers write again; the rest is
// for reading what they wrote. Instances that ask a reader read later than the reader.
constexpr core::Duration kLastReadTime = std::chrono::milliseconds(200);
constexpr core::Duration kLastPeerReadTime = std::chrono::milliseconds(100);
// Shortest pause between reads at the end of the grace period.
constexpr core::Duration kLastReadPause = std::chrono::milliseconds(50);

}  // namespace

StoreFollower::StoreFollower(FollowerSettings settings, Sink sink)
    : settings_(std::move(settings)), sink_(std::move(sink)) {}

void StoreFollower::StartListing() noexcept {
  listing_ = true;
  catching_up_ = false;
  page_after_.clear();
  listing_position_ = {};
  listed_keys_.clear();
}

std::optional<store::VersionedCall> StoreFollower::Next(core::TimePoint now) {
  if (!started_) {
    started_ = true;
    last_success_ = now;
    last_heard_ = now;
  }
  if (in_flight_ || now < due_) return std::nullopt;
  in_flight_ = true;
  call_sent_ = now;
  // Changes after a position of an earlier era would be those of what the store has lost.
  const bool other_era = position_.era() != era_;
  if (!listing_ && (other_era || now - last_listing_ >= settings_.relist_interval)) StartListing();
  if (listing_) {
    if (page_after_.empty()) sent_position_ = position_;
    return store::ReadRange{"", page_after_, false};
  }
  if (catching_up_) {
    return store::WatchChanges{"", position_,
                               std::chrono::duration_cast<std::chrono::milliseconds>(kCatchUpWait)};
  }
  // A pause after changes shortens the wait, since other instances would take the time without an
  // answer for an outage.
  const core::Duration since_success = now - last_success_;
  const core::Duration wait =
      std::clamp<core::Duration>(settings_.poll_interval - since_success,
                                 settings_.poll_interval / 4, settings_.poll_interval);
  watch_sent_ = now;
  due_ = now + wait;
  return store::WatchChanges{"", position_,
                             std::chrono::duration_cast<std::chrono::milliseconds>(wait)};
}

void StoreFollower::OnEra(store::Era era, core::TimePoint now) {
  if (era == era_) return;
  if (era < era_) ForgetOrder();
  era_ = era;
  went_back_listings_ = 0;
  call_outdated_ = in_flight_;
  check_outdated_ = checking_;
  check_page_after_.clear();
  StartListing();
  due_ = now;
  if (known_positions_.empty()) {
    call_outdated_ = false;
    return;
  }
  era_began_ = now;
  // The first listing of a start is continued: only the store itself tells that it is complete.
  ask_peer_for_state_ = synced_once_;
  recovered_at_ = now;
  held_.clear();
  for (auto& [key, removal] : deferred_removals_) removal.at = now + settings_.removal_grace;
}

void StoreFollower::ForgetOrder() {
  for (auto& [key, position] : known_positions_) position = {};
  for (auto& [key, removal] : deferred_removals_) removal.position = {};
  tombstones_.clear();
  awaited_.clear();
  position_ = {};
  complete_position_ = {};
}

void StoreFollower::OnAnswer(const store::VersionedResult& result, core::TimePoint now) {
  in_flight_ = false;
  if (std::exchange(call_outdated_, false)) {
    if (result) NoteSuccess(now);
    due_ = now;
    return;
  }
  other_era_ = !result && result.error().code == store::CallErrorCode::kOtherEra;
  if (!result) {
    OnFailure(result.error(), now);
  } else if (const auto* page = std::get_if<store::RangePage>(&result.value())) {
    NoteSuccess(now);
    OnPage(*page, now);
  } else if (const auto* changes = std::get_if<store::Changes>(&result.value())) {
    NoteSuccess(now);
    OnChanges(*changes, now);
    if (!MayBeCutShort(*changes)) current_as_of_ = std::max(current_as_of_, AnswerTime(now));
  }
}

std::optional<store::VersionedCall> StoreFollower::NextCheck(core::TimePoint now) {
  if (settings_.check_prefix.empty() || listing_ || checking_) return std::nullopt;
  if (check_page_after_.empty()) {
    const core::Duration pause =
        std::max(settings_.check_interval, check_duration_ * kCheckPauseFactor);
    if (now - last_check_ < pause) return std::nullopt;
    check_began_ = now;
    last_check_ = now;
  }
  checking_ = true;
  return store::ReadRange{settings_.check_prefix, check_page_after_, true};
}

void StoreFollower::OnCheckAnswer(const store::VersionedResult& result, core::TimePoint now) {
  checking_ = false;
  if (std::exchange(check_outdated_, false)) {
    if (result) NoteReachable(now);
    return;
  }
  if (!result) {
    check_page_after_.clear();
    last_check_ = now;
    return;
  }
  NoteReachable(now);
  if (const auto* page = std::get_if<store::RangePage>(&result.value())) OnCheck(*page, now);
  check_duration_ = now - check_began_;
}

void StoreFollower::OnProgress(core::TimePoint now) {
  if (in_flight_) NoteReachable(now);
}

void StoreFollower::OnPeerHeardStore(core::TimePoint at) {
  if (started_ && at > last_heard_) NoteReachable(at);
}

void StoreFollower::NoteSuccess(core::TimePoint now) {
  failures_ = 0;
  last_success_ = now;
  NoteReachable(now);
}

void StoreFollower::NoteReachable(core::TimePoint now) {
  const bool was_overdue = now - last_heard_ >= settings_.outage_timeout;
  last_heard_ = std::max(last_heard_, now);
  if (!reachable_ || was_overdue) {
    recovered_at_ = now;
    if (!reachable_ && sink_.on_reachable) sink_.on_reachable(true);
    reachable_ = true;
  }
}

void StoreFollower::OnPage(const store::RangePage& page, core::TimePoint now) {
  source_ = ItemSource::kListing;
  if (page_after_.empty()) {
    listing_position_ = page.position;
    listed_as_of_ = AnswerTime(now);
    summary_ = ListingSummary{};
    summary_.known = sent_position_;
    summary_.position = page.position;
  }
  ++summary_.pages;
  summary_.items += page.items.size();
  const DropCounts dropped_before = dropped_;
  for (const store::Item& it : page.items) {
    listed_keys_.insert(it.key);
    ApplyItem(it, page.position);
  }
  for (std::size_t i = 0; i < dropped_.size(); ++i) {
    summary_.dropped[i] += dropped_[i] - dropped_before[i];
  }
  if (page.more && !page.items.empty()) {
    // Guards against an endless listing if pages do not advance.
    const bool advances = page.items.back().key > page_after_;
    due_ = advances ? now : now + settings_.retry_pause;
    if (advances) {
      page_after_ = page.items.back().key;
    } else {
      StartListing();
    }
    return;
  }
  const bool went_back =
      listing_position_.era() == sent_position_.era() && listing_position_ < sent_position_;
  went_back_listings_ = went_back ? went_back_listings_ + 1 : 0;
  if (went_back && !data_lost()) {
    // Nothing is removed before a second listing has confirmed it.
    StartListing();
    due_ = now;
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [key, position] : known_positions_) {
    if (listed_keys_.count(key) > 0) continue;
    if (position <= listing_position_) {
      missing.push_back(key);
    } else {
      ++summary_.kept;
    }
  }
  DropAbsentHeld("", listed_keys_, listing_position_, now);
  summary_.missing = missing.size();
  last_summary_ = summary_;
  for (const std::string& it : missing) RemoveOrDefer(it, listing_position_, now);
  // A stale listing must not move the position back.
  position_ = std::max(position_, listing_position_);
  complete_position_ = std::max(complete_position_, listing_position_);
  ForgetAwaited(listing_position_);
  listing_ = false;
  ask_peer_for_state_ = false;
  last_listing_ = now;
  last_check_ = now;
  due_ = now;
  synced_once_ = true;
  listed_once_ = true;
  current_as_of_ = std::max(current_as_of_, listed_as_of_);
  changes_may_be_lost_ = false;
  if (sink_.on_synced) sink_.on_synced();
}

bool StoreFollower::IsUsable(const PeerChanges& changes) const noexcept {
  // The state of an instance of an earlier version, which states no era, is better than none.
  const bool without_era = changes.position.era() == 0 && known_positions_.empty();
  if (changes.position.era() != era_ && !without_era) return false;
  return changes.full || position_.era() == era_ || known_positions_.empty();
}

void StoreFollower::OnPeerChanges(const PeerChanges& changes, core::Duration pause,
                                  core::TimePoint now) {
  in_flight_ = false;
  call_outdated_ = false;
  if (!IsUsable(changes)) {
    due_ = now + pause;
    return;
  }
  catching_up_ = false;
  other_era_ = false;
  if (std::exchange(ask_peer_for_state_, false)) listing_ = false;
  source_ = ItemSource::kPeer;
  const core::TimePoint answered = now - changes.age;
  if (changes.age < settings_.outage_timeout && answered > last_success_) NoteSuccess(answered);
  ApplyPeerState(changes, now);
  // The peer's own listings and checks arrive here as well.
  last_listing_ = now;
  if (changes.checked_prefix == settings_.check_prefix) last_check_ = now;
  due_ = DueInGrace(now + pause, kLastPeerReadTime, now);
}

void StoreFollower::OnFallbackChanges(const PeerChanges& changes, core::TimePoint now) {
  if (!IsUsable(changes) || (!synced_once_ && !changes.full)) return;
  source_ = listed_once_ ? ItemSource::kPeer : ItemSource::kSeed;
  const core::TimePoint answered = now - changes.age;
  // Before the first state, the time of the start stands in for that of an answer.
  if (!synced_once_) {
    last_success_ = std::min(last_success_, answered);
    last_heard_ = std::min(last_heard_, answered);
  }
  if (changes.age < settings_.outage_timeout && answered > last_success_) NoteSuccess(answered);
  ApplyPeerState(changes, now);
  synced_once_ = true;
}

std::map<std::string, core::Duration> StoreFollower::Kept(store::Position after,
                                                          core::TimePoint now) const {
  std::map<std::string, core::Duration> kept;
  for (const auto& [key, removal] : deferred_removals_) {
    if (removal.position > after) kept[key] = std::max(removal.at - now, core::Duration::zero());
  }
  return kept;
}

void StoreFollower::AddHeld(PeerChanges& changes) const {
  for (const auto& [key, item] : held_) changes.changes.push_back({item, false});
}

void StoreFollower::ApplyPeerState(const PeerChanges& changes, core::TimePoint now) {
  // An instance without a state also uses what the peer only keeps, and keeps it as well.
  const bool takes_kept = !synced_once_;
  auto kept = changes.kept;
  for (auto& [key, time] : kept) time = std::min(time, settings_.removal_grace);
  const auto is_kept = [&](const std::string& key, store::Position position) {
    // What the peer has from an earlier era was not in the copy.
    if (position.era() < changes.position.era()) kept.try_emplace(key, settings_.removal_grace);
    return kept.count(key) > 0;
  };
  std::set<std::string> present;
  std::vector<ItemReference> references;
  for (const ItemReference& it : changes.references) {
    const bool only_kept = is_kept(it.key, it.position);
    if (!only_kept) present.insert(it.key);
    if (!only_kept || takes_kept) references.push_back(it);
  }
  for (const store::Change& it : changes.changes) {
    const auto known = known_positions_.find(it.item.key);
    if (!it.removed) {
      const bool only_kept = is_kept(it.item.key, it.item.position);
      if (!only_kept) present.insert(it.item.key);
      if (!only_kept || takes_kept) ApplyItem(it.item, changes.position);
    } else if (known != known_positions_.end() && known->second <= it.item.position) {
      RemoveOrDefer(it.item.key, it.item.position, now);
    } else {
      DropHeld(it.item.key, it.item.position, now);
    }
  }
  if (takes_kept && !kept.empty()) {
    core::Duration longest{0};
    for (const auto& [key, time] : kept) longest = std::max(longest, time);
    BeginGrace(now + longest - settings_.removal_grace);
  } else if (!known_positions_.empty() && position_.era() < changes.position.era() &&
             IsInGrace(now)) {
    // What live servers write again arrives at the peer first.
    BeginGrace(now);
  }
  for (const auto& [key, time] : kept) {
    const auto known = known_positions_.find(key);
    if (known == known_positions_.end() || known->second > changes.position) continue;
    Defer(key, changes.position,
          IsInGrace(now) ? recovered_at_ + settings_.removal_grace : now + time);
  }
  // What is still present at the peer is in its references.
  ForgetAwaited(changes.position);
  Await(references);
  if (changes.full) {
    std::vector<std::string> missing;
    for (const auto& [key, position] : known_positions_) {
      const bool absent = present.count(key) == 0 && kept.count(key) == 0;
      if (absent && position <= changes.position) missing.push_back(key);
    }
    for (const std::string& it : missing) RemoveOrDefer(it, changes.position, now);
    DropAbsentHeld("", present, changes.position, now);
  }
  // Until an awaited item is known, the state is not complete, and a watch must start before it.
  store::Position complete = changes.position;
  for (const auto& [key, position] : awaited_) complete = std::min(complete, position.Previous());
  position_ = std::max(position_, complete);
  if (awaited_.empty()) {
    current_as_of_ = std::max(current_as_of_, AnswerTime(now) - changes.behind);
  }
}

void StoreFollower::Await(const std::vector<ItemReference>& references) {
  for (const ItemReference& it : references) {
    const auto known = known_positions_.find(it.key);
    const auto removed = tombstones_.find(it.key);
    if (known != known_positions_.end() && known->second >= it.position) continue;
    if (removed != tombstones_.end() && removed->second.position >= it.position) continue;
    if (WasRemoved(it.key, it.position)) continue;
    store::Position& awaited = awaited_[it.key];
    awaited = std::max(awaited, it.position);
  }
}

void StoreFollower::ForgetAwaited(store::Position up_to) {
  std::erase_if(awaited_, [up_to](const auto& it) { return it.second <= up_to; });
}

void StoreFollower::OnItemRead(const store::Item& item) {
  source_ = listed_once_ ? ItemSource::kPeer : ItemSource::kSeed;
  const auto awaited = awaited_.find(item.key);
  if (awaited != awaited_.end() && awaited->second <= item.position) awaited_.erase(awaited);
  ApplyItem(item, item.position);
}

void StoreFollower::OnPeerFailed(core::TimePoint now) {
  in_flight_ = false;
  call_outdated_ = false;
  due_ = now;
}

void StoreFollower::OnPeerBehind(core::Duration pause, core::TimePoint now) {
  OnPeerFailed(now);
  due_ = now + pause;
}

void StoreFollower::OnCheck(const store::RangePage& page, core::TimePoint now) {
  source_ = ItemSource::kCheck;
  if (check_page_after_.empty()) {
    checked_keys_.clear();
    check_position_ = page.position;
  }
  // Each page may be stale by itself.
  check_position_ = std::min(check_position_, page.position);
  for (const store::Item& it : page.items) {
    checked_keys_.insert(it.key);
    ApplyItem(it, page.position);
  }
  const bool advances = !page.items.empty() && page.items.back().key > check_page_after_;
  if (page.more) {
    check_page_after_ = advances ? page.items.back().key : std::string();
    return;
  }
  check_page_after_.clear();
  // An item counts as removed only if the read is at least as new.
  std::vector<std::string> missing;
  for (const auto& [key, position] : known_positions_) {
    const bool covered = key.rfind(settings_.check_prefix, 0) == 0 && position <= check_position_;
    if (covered && checked_keys_.count(key) == 0) missing.push_back(key);
  }
  for (const std::string& it : missing) RemoveOrDefer(it, check_position_, now);
  DropAbsentHeld(settings_.check_prefix, checked_keys_, check_position_, now);
}

void StoreFollower::OnChanges(const store::Changes& changes, core::TimePoint now) {
  source_ = ItemSource::kWatch;
  for (const store::Change& it : changes.changes) {
    if (it.removed) {
      DropHeld(it.item.key, it.item.position, now);
      const auto known = known_positions_.find(it.item.key);
      if (known != known_positions_.end() && known->second < it.item.position) {
        RemoveOrDefer(it.item.key, it.item.position, now);
      }
    } else {
      ApplyItem(it.item, changes.position);
    }
  }
  position_ = std::max(position_, changes.position);
  ForgetAwaited(changes.position);
  const bool caught_up = std::exchange(catching_up_, MayBeCutShort(changes));
  if (catching_up_) {
    due_ = now;
  } else if (caught_up || !changes.changes.empty() || now < due_) {
    due_ = DueInGrace(watch_sent_ + settings_.poll_interval, kLastReadTime, now);
  }
  if (changes_may_be_lost_ && now - last_listing_ >= settings_.min_listing_interval) {
    changes_may_be_lost_ = false;
    StartListing();
    due_ = now;
  }
}

bool StoreFollower::MayBeCutShort(const store::Changes& changes) const {
  if (changes.changes.size() >= settings_.cut_changes) return true;
  std::size_t bytes = 0;
  for (const store::Change& it : changes.changes) bytes += it.item.value.size();
  return bytes >= settings_.cut_bytes;
}

void StoreFollower::OnFailure(const store::CallError& error, core::TimePoint now) {
  if (error.code == store::CallErrorCode::kHistoryLost) {
    NoteSuccess(now);
    StartListing();
    // A store that keeps no history answers every watch with this error.
    due_ = std::max(now, last_listing_ + settings_.retry_pause);
    return;
  }
  changes_may_be_lost_ = changes_may_be_lost_ || error.code == store::CallErrorCode::kNoAnswer;
  if (listing_) StartListing();
  ++failures_;
  due_ = now + RetryPause();
}

core::Duration StoreFollower::RetryPause() const noexcept {
  core::Duration pause = settings_.retry_pause;
  for (std::uint32_t i = 1; i < failures_ && pause < settings_.max_retry_pause; ++i) pause *= 2;
  return std::min(pause, settings_.max_retry_pause);
}

bool StoreFollower::WasRemoved(const std::string& key, store::Position position) const {
  return position <= complete_position_ && known_positions_.count(key) == 0;
}

void StoreFollower::ApplyItem(const store::Item& item, store::Position read_at) {
  // Other sources than a listing may be behind the last one.
  if (source_ != ItemSource::kListing && WasRemoved(item.key, item.position)) {
    CountDrop(DropReason::kAbsent);
    return;
  }
  if (item.position.era() < position_.era()) {
    // A peer may still have it, since the copy lacks it.
    if (known_positions_.count(item.key) == 0) CountDrop(DropReason::kOlderEra);
    return;
  }
  const auto removed = tombstones_.find(item.key);
  if (removed != tombstones_.end()) {
    if (item.position <= removed->second.position) {
      CountDrop(DropReason::kRemoved);
      return;
    }
    if (IsBroughtBack(item, removed->second)) {
      held_[item.key] = item;
      CountDrop(DropReason::kHeld);
      return;
    }
    held_.erase(item.key);
    tombstones_.erase(removed);
  }
  const auto deferred = deferred_removals_.find(item.key);
  if (deferred != deferred_removals_.end()) {
    // A state from before the removal does not cancel it.
    if (std::max(item.position, read_at) < deferred->second.position) {
      CountDrop(DropReason::kRemoved);
      return;
    }
  }
  auto [known, added] = known_positions_.try_emplace(item.key, item.position);
  if (!added) {
    if (item.position < known->second) {
      CountDrop(DropReason::kOlder);
      return;
    }
    const bool same = item.position == known->second;
    known->second = item.position;
    if (same && deferred == deferred_removals_.end()) return;
  }
  // Only a watch shows all removals.
  may_have_been_absent_ = source_ != ItemSource::kWatch || deferred != deferred_removals_.end();
  if (deferred != deferred_removals_.end()) deferred_removals_.erase(deferred);
  const auto awaited = awaited_.find(item.key);
  if (awaited != awaited_.end() && awaited->second <= item.position) awaited_.erase(awaited);
  if (sink_.on_item) sink_.on_item(item);
}

bool StoreFollower::IsInGrace(core::TimePoint now) const noexcept {
  return now - recovered_at_ < settings_.removal_grace && recovered_at_ != core::TimePoint{};
}

void StoreFollower::BeginGrace(core::TimePoint now) {
  recovered_at_ = now;
  for (auto& [key, removal] : deferred_removals_) removal.at = now + settings_.removal_grace;
}

core::TimePoint StoreFollower::DueInGrace(core::TimePoint due, core::Duration before_end,
                                          core::TimePoint now) const noexcept {
  if (!IsInGrace(now)) return due;
  const core::TimePoint last_read = recovered_at_ + settings_.removal_grace - before_end;
  return std::min(due, std::max(now + kLastReadPause, last_read));
}

void StoreFollower::RemoveOrDefer(const std::string& key, store::Position position,
                                  core::TimePoint now) {
  if (IsInGrace(now)) {
    Defer(key, position, recovered_at_ + settings_.removal_grace);
  } else {
    ApplyRemoval(key, position, now);
  }
}

void StoreFollower::Defer(const std::string& key, store::Position position, core::TimePoint until) {
  const auto [it, added] = deferred_removals_.try_emplace(key, Removal{position, until, {}});
  if (!added) it->second.position = std::max(it->second.position, position);
}

void StoreFollower::ApplyRemoval(const std::string& key, store::Position position,
                                 core::TimePoint now) {
  const auto known = known_positions_.find(key);
  const store::Position last_write = known != known_positions_.end() ? known->second : position;
  known_positions_.erase(key);
  deferred_removals_.erase(key);
  tombstones_[key] = Removal{position, now, last_write};
  removal_position_ = position;
  if (sink_.on_removed) sink_.on_removed(key);
}

bool StoreFollower::IsBroughtBack(const store::Item& item, const Removal& removed) const noexcept {
  // A watch returns only what was written after the return. A listing may also contain that, which
  // is then held as well: the copy's revision is not known.
  if (source_ == ItemSource::kWatch || removed.position.era() >= item.position.era()) return false;
  // Of a write from before the copy, the number is that of the earlier era.
  return item.position.revision().number <= removed.last_write.revision().number;
}

void StoreFollower::ApplyHeld(core::TimePoint now) {
  if (held_.empty() || now - recovered_at_ < settings_.removal_grace) return;
  for (const auto& [key, item] : std::exchange(held_, {})) {
    tombstones_.erase(key);
    source_ = ItemSource::kListing;
    ApplyItem(item, item.position);
  }
}

void StoreFollower::DropHeld(const std::string& key, store::Position position,
                             core::TimePoint now) {
  const auto held = held_.find(key);
  if (held == held_.end() || held->second.position > position) return;
  held_.erase(held);
  // Instances that took the item over from the copy must learn of its removal.
  ApplyRemoval(key, position, now);
}

void StoreFollower::DropAbsentHeld(const std::string& prefix, const std::set<std::string>& present,
                                   store::Position position, core::TimePoint now) {
  std::vector<std::string> absent;
  for (const auto& [key, item] : held_) {
    if (key.rfind(prefix, 0) == 0 && present.count(key) == 0) absent.push_back(key);
  }
  for (const std::string& it : absent) DropHeld(it, position, now);
}

core::TimePoint StoreFollower::AnswerTime(core::TimePoint now) const noexcept {
  const bool stalled = call_sent_ < stalled_until_ || now - last_tick_ > kStallTime;
  return stalled ? call_sent_ : now;
}

void StoreFollower::Tick(core::TimePoint now) {
  if (now - last_tick_ > kStallTime) stalled_until_ = now;
  last_tick_ = now;
  if (started_ && reachable_ && now - last_heard_ >= settings_.outage_timeout) {
    reachable_ = false;
    if (sink_.on_reachable) sink_.on_reachable(false);
  }
  for (auto it = tombstones_.begin(); it != tombstones_.end();) {
    it =
        now - it->second.at > settings_.tombstone_retention ? tombstones_.erase(it) : std::next(it);
  }
  // No server can register again while the store is unreachable, so no removal is applied. Nor is
  // one after a failed call, since it is not known what was written, or while the store may be in
  // an era that is not confirmed yet.
  if (!reachable_ || failures_ > 0 || other_era_) return;
  for (auto it = deferred_removals_.begin(); it != deferred_removals_.end();) {
    if (now < it->second.at) {
      ++it;
      continue;
    }
    const auto [key, removal] = *it++;
    ApplyRemoval(key, removal.position, now);
  }
  ApplyHeld(now);
}

}  // namespace vanilladeck::membership

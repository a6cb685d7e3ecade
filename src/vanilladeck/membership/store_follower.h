#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::membership {

struct FollowerSettings {
  /// Time that a watch blocks waiting for changes. The next watch starts at once, or, if the last
  /// one returned changes, this long after that one began, so that a stream of changes costs no
  /// more calls than an idle store.
  core::Duration poll_interval = std::chrono::milliseconds(1000);
  /// The store returns a limited number of changes at a time, without saying that there are more. A
  /// response with this many changes, or with values of this many bytes, may have been cut short:
  /// the next watch follows at once, and until one returns less, changes may be missing.
  std::size_t cut_changes = 250;
  std::size_t cut_bytes = std::size_t{512} << 10U;
  /// Pause before a failed call is retried. It doubles with each further failure up to
  /// `max_retry_pause`, since in an outage all instances retry and each call has its price.
  core::Duration retry_pause = std::chrono::milliseconds(300);
  core::Duration max_retry_pause = std::chrono::milliseconds(1200);
  /// Entries that expired during an outage are kept this long after the store recovers, since live
  /// servers register again within 2 s.
  core::Duration removal_grace = std::chrono::milliseconds(2200);
  /// Interval of full listings, which bounds the effect of changes that a watch missed.
  core::Duration relist_interval = std::chrono::seconds(20);
  /// Minimum time between a listing and one that is started because a watch got no answer.
  core::Duration min_listing_interval = std::chrono::seconds(4);
  /// Items that are not rewritten periodically are checked this often by a cheap, possibly stale
  /// read, but at most for a tenth of the time if the read takes long.
  core::Duration check_interval = std::chrono::seconds(3);
  std::string check_prefix;  ///< Prefix of these items; empty disables the check.
  /// How long a removal overrides stale reads; peers and replicas lag by seconds.
  core::Duration tombstone_retention = std::chrono::seconds(120);
  /// Time after the store's return for which an instance that asks a reader waits for its listing.
  core::Duration peer_era_wait = std::chrono::milliseconds(1200);
  /// Time without an answer after which the store counts as unreachable.
  core::Duration outage_timeout = std::chrono::milliseconds(2500);
};

/// Where an item was read.
enum class ItemSource : std::uint8_t { kListing, kWatch, kCheck, kPeer, kSeed };

inline constexpr std::array<std::string_view, 5> kItemSourceNames{"listing", "watch", "check",
                                                                  "peer", "seed"};

/// Why an item that was read was not applied.
enum class DropReason : std::uint8_t {
  kOlder,     ///< A later write of the key is known.
  kRemoved,   ///< A later removal of the key is known.
  kAbsent,    ///< The key was absent from a later listing.
  kOlderEra,  ///< The state is of a later era than the item.
  kHeld,      ///< An older copy brought back what had been removed; applied after the grace period.
};

inline constexpr std::array<std::string_view, 5> kDropReasonNames{"older", "removed", "absent",
                                                                  "older-era", "held"};

using DropCounts = std::array<std::uint64_t, kDropReasonNames.size()>;

/// What a complete listing brought.
struct ListingSummary {
  store::Position known;     ///< Position of the state when the listing was sent.
  store::Position position;  ///< Position that the listing states.
  std::size_t pages = 0;
  std::size_t items = 0;
  std::size_t missing = 0;  ///< Known keys that the listing lacks.
  std::size_t kept = 0;     ///< Known keys that it lacks and whose position is after its own.
  DropCounts dropped{};     ///< Items, by `DropReason`.
};

/// Keeps up with all items of the store: a full listing, then watches for changes.
///
/// State machine without I/O: `Next` returns the call to make, `OnAnswer` takes its result.
/// Removals are deferred around an outage of the store.
///
/// When the store has returned from an older copy (`OnEra`), all of it is listed again, or taken
/// from a peer that has done so. What the copy lacks, or brings back, takes effect only after
/// `removal_grace`, in which servers and operators write again.
class StoreFollower {
 public:
  struct Sink {
    std::function<void(const store::Item&)> on_item;
    std::function<void(const std::string& key)> on_removed;
    std::function<void()> on_synced;                   ///< A complete listing was applied.
    std::function<void(bool reachable)> on_reachable;  ///< An outage began or ended.
  };

  StoreFollower(FollowerSettings settings, Sink sink);

  /// Returns the next call if one is due and none is in flight.
  [[nodiscard]] std::optional<store::VersionedCall> Next(core::TimePoint now);
  void OnAnswer(const store::VersionedResult& result, core::TimePoint now);

  /// Returns the next check if one is due and none is in flight. It is made beside the other calls,
  /// since its response may be large and takes the place of no change.
  [[nodiscard]] std::optional<store::VersionedCall> NextCheck(core::TimePoint now);
  void OnCheckAnswer(const store::VersionedResult& result, core::TimePoint now);

  /// The store is in another era than the known one. Answers to calls in flight do not count; those
  /// of another era must not be passed on to the follower any more. A lower era means that the
  /// known one was wrong: the state is kept as after a return, but its order is forgotten.
  void OnEra(store::Era era, core::TimePoint now);
  /// The store has lost data without stating another era: listings in a row were older than what
  /// was known when they were sent. Until `OnEra`.
  [[nodiscard]] bool data_lost() const noexcept {
    return went_back_listings_ >= kConfirmingListings;
  }
  [[nodiscard]] store::Era era() const noexcept { return era_; }

  /// True if `call`, returned by `Next`, reads what a peer can serve as well: changes, or the whole
  /// state after the store has returned from an older copy.
  [[nodiscard]] bool CanAskPeer(const store::VersionedCall& call) const noexcept {
    if (std::holds_alternative<store::WatchChanges>(call)) return true;
    return std::holds_alternative<store::ReadRange>(call) && ask_peer_for_state_ &&
           page_after_.empty();
  }
  /// True if a peer that is still in an older era may be asked again instead of the store: all
  /// instances learn of a new era at once, and readers need time to list the store.
  [[nodiscard]] bool AwaitsPeerEra(core::TimePoint now) const noexcept {
    return ask_peer_for_state_ && now - era_began_ < settings_.peer_era_wait;
  }
  /// Part of the store's response to the call in flight has arrived: the store is reachable,
  /// although the response may take long.
  void OnProgress(core::TimePoint now);

  /// A peer received part of a response of the store at `at`: the store is reachable, also if the
  /// peer's state is too old to be used.
  void OnPeerHeardStore(core::TimePoint at);

  /// True if the message can be applied in the current era.
  [[nodiscard]] bool IsUsable(const PeerChanges& changes) const noexcept;
  /// Applies changes relayed by a peer, in place of `OnAnswer`; the next call is due `pause` later.
  /// Changes of another era than `era()` are not applied, nor a delta unless the state is of it.
  void OnPeerChanges(const PeerChanges& changes, core::Duration pause, core::TimePoint now);
  /// Applies the state or changes of another instance that was asked because the store does not
  /// answer this one. The call to the store stays due.
  void OnFallbackChanges(const PeerChanges& changes, core::TimePoint now);
  /// Items that a peer referred to and that are not known yet, each with the position required.
  [[nodiscard]] const std::map<std::string, store::Position>& awaited() const noexcept {
    return awaited_;
  }
  /// Applies an item that was read from a peer.
  void OnItemRead(const store::Item& item);
  /// The peer did not answer or lags; the call is due again at once.
  void OnPeerFailed(core::TimePoint now);
  /// The peer does not know the new era yet; the call is due `pause` later.
  void OnPeerBehind(core::Duration pause, core::TimePoint now);

  /// Applies removals whose grace period has ended and detects outages; call several times a
  /// second.
  void Tick(core::TimePoint now);

  /// Time at which `Next` is due again if no call is in flight.
  [[nodiscard]] core::TimePoint next_due() const noexcept { return due_; }
  [[nodiscard]] bool synced() const noexcept { return synced_once_; }
  /// True if the store itself has been listed since the start.
  [[nodiscard]] bool listed() const noexcept { return listed_once_; }
  [[nodiscard]] bool reachable() const noexcept { return reachable_; }
  [[nodiscard]] core::TimePoint last_success() const noexcept { return last_success_; }
  /// Last sign of the store, also a part of a response, here or at a peer.
  [[nodiscard]] core::TimePoint last_heard() const noexcept { return last_heard_; }
  /// Of an older era than `era()` until the state is known after the store's return.
  [[nodiscard]] store::Position position() const noexcept { return position_; }
  [[nodiscard]] std::size_t known_items() const noexcept { return known_positions_.size(); }
  /// Items that are kept for the grace period although they were removed.
  [[nodiscard]] std::size_t deferred_removals() const noexcept { return deferred_removals_.size(); }
  /// Of these, the keys that were absent at a position after `after`, and the time that is left.
  [[nodiscard]] std::map<std::string, core::Duration> Kept(store::Position after,
                                                           core::TimePoint now) const;
  /// Items that a copy brought back and that are not applied before the grace period ends.
  [[nodiscard]] std::size_t held_items() const noexcept { return held_.size(); }
  /// Adds them to the whole state that another instance asked for. It judges itself whether they
  /// had been removed, and passes them on as well.
  void AddHeld(PeerChanges& changes) const;
  /// All changes acknowledged by the store before this time are known. The clock's epoch before the
  /// first listing or state.
  [[nodiscard]] core::TimePoint current_as_of() const noexcept { return current_as_of_; }
  /// Source of the item or removal that the sink is called with.
  [[nodiscard]] ItemSource source() const noexcept { return source_; }
  /// True if the key of the item that the sink is called with may have been absent since the last
  /// write that was known here. Others may know that and defer its removal, so that they need this
  /// write although it may only renew a report.
  [[nodiscard]] bool may_have_been_absent() const noexcept { return may_have_been_absent_; }
  /// Position at which the key was absent whose removal the sink is called with.
  [[nodiscard]] store::Position removal_position() const noexcept { return removal_position_; }
  /// The last complete listing.
  [[nodiscard]] const ListingSummary& listing() const noexcept { return last_summary_; }
  /// Items from all sources that were not applied, by `DropReason`. A repeated read of an item that
  /// is known does not count.
  [[nodiscard]] const DropCounts& dropped() const noexcept { return dropped_; }

 private:
  /// Listings in a row that must be older than the known state for data to count as lost.
  static constexpr int kConfirmingListings = 2;

  struct Removal {
    store::Position position;
    /// For `deferred_removals_`: when to apply it; for `tombstones_`: when it was applied.
    core::TimePoint at;
    store::Position last_write;  ///< Of the removed item, as far as known.
  };

  void OnPage(const store::RangePage& page, core::TimePoint now);
  void OnCheck(const store::RangePage& page, core::TimePoint now);
  void OnChanges(const store::Changes& changes, core::TimePoint now);
  [[nodiscard]] bool MayBeCutShort(const store::Changes& changes) const;
  void OnFailure(const store::CallError& error, core::TimePoint now);
  [[nodiscard]] core::Duration RetryPause() const noexcept;
  /// True if the item, read from a copy of the store, had been removed in an earlier era.
  [[nodiscard]] bool IsBroughtBack(const store::Item& item, const Removal& removed) const noexcept;
  /// Applies what the copy brought back, after the grace period.
  void ApplyHeld(core::TimePoint now);
  /// The key was absent at `position`: what the copy brought back before is not applied.
  void DropHeld(const std::string& key, store::Position position, core::TimePoint now);
  /// The same for all keys below `prefix` that are not in `present`.
  void DropAbsentHeld(const std::string& prefix, const std::set<std::string>& present,
                      store::Position position, core::TimePoint now);
  /// True if the item was removed after `position`, as a later listing showed. Tombstones do not
  /// tell this after a restart.
  [[nodiscard]] bool WasRemoved(const std::string& key, store::Position position) const;
  /// `read_at` is the position of the state that contains the item.
  void ApplyItem(const store::Item& item, store::Position read_at);
  /// True for `removal_grace` after the store has recovered or returned.
  [[nodiscard]] bool IsInGrace(core::TimePoint now) const noexcept;
  void BeginGrace(core::TimePoint now);
  /// `due`, or `before_end` before the end of the grace period if that is earlier.
  [[nodiscard]] core::TimePoint DueInGrace(core::TimePoint due, core::Duration before_end,
                                           core::TimePoint now) const noexcept;
  /// `position` is one at which the key was absent.
  void RemoveOrDefer(const std::string& key, store::Position position, core::TimePoint now);
  /// Removes the key at `until` unless it is written again.
  void Defer(const std::string& key, store::Position position, core::TimePoint until);
  void ApplyRemoval(const std::string& key, store::Position position, core::TimePoint now);
  void ApplyPeerState(const PeerChanges& changes, core::TimePoint now);
  /// Notes which of the items that a peer has are to be read.
  void Await(const std::vector<ItemReference>& references);
  /// Forgets awaited items of positions up to `up_to`, as of which the state is known.
  void ForgetAwaited(store::Position up_to);
  void NoteSuccess(core::TimePoint now);
  /// The store was heard of at `now`; ends an outage.
  void NoteReachable(core::TimePoint now);
  /// Time as of which the answer to the last call holds: now, or if the process has stalled since
  /// the call, during which the answer may have waited, the time of the call.
  [[nodiscard]] core::TimePoint AnswerTime(core::TimePoint now) const noexcept;
  void StartListing() noexcept;
  /// Any state that is read from now on is newer than the known one.
  void ForgetOrder();
  void CountDrop(DropReason reason) noexcept { ++dropped_[static_cast<std::size_t>(reason)]; }

  FollowerSettings settings_;
  Sink sink_;
  bool in_flight_ = false;
  store::Era era_ = 0;
  core::TimePoint era_began_;  ///< When `era_` became known, if a state was known before.
  /// The store has returned from a copy, and a peer may have listed it.
  bool ask_peer_for_state_ = false;
  bool call_outdated_ = false;   ///< The call in flight was sent before the era changed.
  bool check_outdated_ = false;  ///< The same for the check in flight.
  bool other_era_ = false;       ///< The store's last answer was not used for its era.
  std::uint32_t failures_ = 0;   ///< Consecutive failed calls.
  bool listing_ = true;
  bool synced_once_ = false;
  bool reachable_ = true;
  bool started_ = false;
  ItemSource source_ = ItemSource::kListing;
  bool may_have_been_absent_ = false;
  std::string page_after_;
  store::Position listing_position_;  ///< Of the first page; watches continue from it.
  store::Position sent_position_;     ///< Known when the listing's first page was asked for.
  int went_back_listings_ = 0;        ///< Listings in a row that were older than that.
  std::set<std::string> listed_keys_;
  ListingSummary summary_;  ///< Of the listing in progress.
  ListingSummary last_summary_;
  DropCounts dropped_{};
  std::map<std::string, store::Position> known_positions_;
  std::map<std::string, store::Item> held_;  ///< What a copy brought back, by key.
  /// Removals around an outage, not yet applied.
  std::map<std::string, Removal> deferred_removals_;
  std::map<std::string, Removal> tombstones_;  ///< Older items of these keys are ignored.
  std::map<std::string, store::Position> awaited_;
  store::Position position_;
  /// Of the last complete listing: keys that it did not contain were absent then.
  store::Position complete_position_;
  store::Position removal_position_;
  core::TimePoint due_;
  core::TimePoint watch_sent_;  ///< The first one of a series without a pause.
  /// The last watch may have been cut short; the next one must not wait for changes.
  bool catching_up_ = false;
  bool listed_once_ = false;
  /// A watch got no answer: the store may have compacted changes that it did not deliver.
  bool changes_may_be_lost_ = false;
  core::TimePoint call_sent_;
  core::TimePoint last_tick_;
  core::TimePoint stalled_until_;  ///< End of the last stall of the process.
  core::TimePoint listed_as_of_;   ///< For the listing in progress.
  core::TimePoint current_as_of_;
  core::TimePoint last_success_;
  core::TimePoint last_heard_;  ///< Last sign of the store, also a part of a response.
  core::TimePoint last_listing_;
  core::TimePoint last_check_;
  core::TimePoint check_began_;
  core::Duration check_duration_{0};  ///< Of the last check.
  bool checking_ = false;             ///< A page of a check is in flight.
  std::string check_page_after_;    ///< Last key of the check's previous page; empty at its start.
  store::Position check_position_;  ///< The oldest of the check's pages.
  std::set<std::string> checked_keys_;
  core::TimePoint recovered_at_;
};

}  // namespace vanilladeck::membership

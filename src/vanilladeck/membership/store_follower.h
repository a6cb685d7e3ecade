#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::membership {

struct FollowerSettings {
  /// Time that a watch waits for changes. The next one follows at once, or this long after the
  /// last one began if that found changes, so that a stream of changes costs as many calls as none.
  core::Duration poll_interval = std::chrono::milliseconds(1000);
  /// A failed call is repeated after this pause.
  core::Duration retry_pause = std::chrono::milliseconds(300);
  /// Entries that vanished during an outage are kept this long after the store's return, since
  /// servers that live register again within 2 s.
  core::Duration lapse_grace = std::chrono::milliseconds(2200);
  /// Everything is read again this often, which bounds the effect of changes that a watch missed.
  core::Duration relist_interval = std::chrono::seconds(20);
  core::Duration listing_pause = std::chrono::seconds(4);
  /// Items that nobody repeats are checked this often by a cheap read that may be stale.
  core::Duration check_interval = std::chrono::seconds(3);
  std::string check_prefix;  ///< Empty: no such check.
  /// How long a removal is remembered against older reads; peers and replicas lag by seconds.
  core::Duration removal_memory = std::chrono::seconds(120);
  /// Silence from the store that makes it count as unreachable.
  core::Duration outage_after = std::chrono::milliseconds(2500);
};

/// Follows all items of the store: a listing, then reads of changes.
///
/// Pure state machine: `Next` gives the call to make, `OnAnswer` takes the result. Removals are
/// held back around an outage of the store.
class StoreFollower {
 public:
  struct Sink {
    std::function<void(const store::Item&)> on_item;
    std::function<void(const std::string& key)> on_removed;
    std::function<void()> on_synced;                   ///< A complete listing was taken over.
    std::function<void(bool reachable)> on_reachable;  ///< Outage begins or ends.
  };

  StoreFollower(FollowerSettings settings, Sink sink);

  /// The next call, if one is due and none is in flight.
  [[nodiscard]] std::optional<store::VersionedCall> Next(core::TimePoint now);
  void OnAnswer(const store::VersionedResult& result, core::TimePoint now);

  /// True if the call that `Next` gave reads changes, which a peer may answer as well.
  [[nodiscard]] static bool CanAskPeer(const store::VersionedCall& call) noexcept {
    return std::holds_alternative<store::WatchChanges>(call);
  }
  /// Takes over what a peer passed on, in place of `OnAnswer`; the next call is due `pause` later.
  void OnPeerChanges(const PeerChanges& changes, core::Duration pause, core::TimePoint now);
  /// Takes over the state of another instance while the store has not answered since the start. The
  /// listing stays due.
  void OnSeedState(const PeerChanges& changes, core::TimePoint now);
  /// The peer did not answer or is behind; the call is due again at once.
  void OnPeerFailed(core::TimePoint now);

  /// Applies removals whose grace has ended and notices an outage; call several times a second.
  void Tick(core::TimePoint now);

  /// When `Next` is due again, if nothing is in flight.
  [[nodiscard]] core::TimePoint next_due() const noexcept { return due_; }
  [[nodiscard]] bool synced() const noexcept { return synced_once_; }
  /// The store itself was listed since the start.
  [[nodiscard]] bool listed() const noexcept { return listed_once_; }
  [[nodiscard]] bool reachable() const noexcept { return reachable_; }
  [[nodiscard]] core::TimePoint last_success() const noexcept { return last_success_; }
  [[nodiscard]] store::Revision revision() const noexcept { return revision_; }

 private:
  void OnPage(const store::RangePage& page, core::TimePoint now);
  void OnCheck(const store::RangePage& page, core::TimePoint now);
  void OnChanges(const store::Changes& changes, core::TimePoint now);
  void OnFailure(const store::CallError& error, core::TimePoint now);
  void Take(const store::Item& item);
  /// `revision` is one at which the key was absent.
  void Remove(const std::string& key, store::Revision revision, core::TimePoint now);
  void Drop(const std::string& key, store::Revision revision, core::TimePoint now);
  void TakePeerState(const PeerChanges& changes, core::TimePoint now);
  void NoteSuccess(core::TimePoint now);
  void StartListing() noexcept;

  FollowerSettings settings_;
  Sink sink_;
  bool in_flight_ = false;
  bool listing_ = true;
  bool synced_once_ = false;
  bool reachable_ = true;
  bool started_ = false;
  std::string page_after_;
  store::Revision listing_revision_ = 0;  ///< Of the first page; changes continue from there.
  std::set<std::string> listed_;
  std::map<std::string, store::Revision> known_;
  struct Removal {
    store::Revision revision = 0;
    core::TimePoint at;  ///< For `lapsed_`: when it is applied; for `removed_`: when it was.
  };
  std::map<std::string, Removal> lapsed_;   ///< Removed around an outage, not yet applied.
  std::map<std::string, Removal> removed_;  ///< Older items of these keys must not come back.
  store::Revision revision_ = 0;
  core::TimePoint due_;
  core::TimePoint watch_sent_;
  bool listed_once_ = false;
  /// A watch ended without an answer: the store may have dropped changes that it did not send.
  bool doubtful_ = false;
  core::TimePoint last_success_;
  core::TimePoint last_listing_;
  core::TimePoint last_check_;
  bool checking_ = false;  ///< The call in flight is a check.
  core::TimePoint recovered_at_;
};

}  // namespace vanilladeck::membership

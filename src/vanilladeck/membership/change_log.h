#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::membership {

/// Position up to which a requesting instance has received changes.
struct PeerPosition {
  std::string epoch;  ///< Of the log read last; empty if it has read none.
  std::uint64_t log_position = 0;
  /// Up to which the instance has all changes of the store.
  store::Position position;
  /// False for an instance of an earlier version. The era of `position` is then the one of the log
  /// that it asks, though the revision may be of an earlier era.
  bool states_era = true;
};

/// An item that is present and whose value is not part of a message.
struct ItemReference {
  std::string key;
  store::Position position;
};

/// Changes that one instance relays to others, so that they need not read the store.
struct PeerChanges {
  std::string epoch;               ///< Identifies the log; its positions are valid only within it.
  std::uint64_t log_position = 0;  ///< To continue from in the next request.
  bool full = false;               ///< `changes` is a full snapshot, not a delta.
  store::Position position;        ///< Up to which all changes of the store are included.
  core::Duration age{0};           ///< Time since the store last answered the sender.
  core::Duration behind{0};        ///< Time for which the sender may have missed changes.
  /// Time since any part of a response of the store reached the sender; less than `age` while a
  /// large response arrives.
  core::Duration unheard{0};
  /// The sender takes its changes from another instance. Instances that disagree about the readers
  /// could ask each other in a circle.
  bool relayed = false;
  std::vector<store::Change> changes;
  /// Items with large values, which are read separately by those that lack them, so that they delay
  /// no change, and all items with `checked_prefix`.
  std::vector<ItemReference> references;
  /// Keys that are absent from the store, and the time for which the sender keeps them yet.
  std::map<std::string, core::Duration> kept;
  core::Duration grace_left{0};  ///< Until the end of the sender's grace period.
  /// Limits in requests per second that backend servers stated to other instances, by id.
  std::map<std::string, double> server_limits;
  /// Prefix of the items that the sender checks with the store; empty if it does not.
  std::string checked_prefix;
  /// Of the policy in force at the sender; 0 if there is none, if the request stated the same
  /// version, or if the sender is of an earlier version.
  std::uint64_t policy_version = 0;
};

[[nodiscard]] std::string EncodePeerChanges(const PeerChanges& changes);
/// Returns nullopt if `text` is malformed.
[[nodiscard]] std::optional<PeerChanges> DecodePeerChanges(const std::string& text);

/// Items known to this instance, each with the log position of its last relayed change.
///
/// Most writes only renew a server's report; they are stored but not relayed.
class ChangeLog {
 public:
  /// Items with `checked_prefix` are checked with the store; unless it is empty, all messages refer
  /// to them, and deltas by store position repeat their latest changes.
  explicit ChangeLog(std::string epoch, std::string checked_prefix = {})
      : epoch_(std::move(epoch)), checked_prefix_(std::move(checked_prefix)) {}

  /// `relay` is false for a change that other instances do not need. The first write of an era is
  /// relayed in any case: others may defer the removal of what an older copy of the store lacked.
  /// `applied_at` is the position up to which all other changes were applied here, which is later
  /// than that of the item if it was held back.
  void Put(const store::Item& item, bool relay, core::TimePoint now,
           store::Position applied_at = {});
  /// `position` is one at which the key was absent; `applied_at` is the position up to which all
  /// other changes were applied here, which is later if the removal was deferred.
  void Remove(const std::string& key, store::Position position, store::Position applied_at,
              core::TimePoint now);
  /// Records that the log is complete as of `position`. Within an era, later calls are ignored; a
  /// later era begins the log anew.
  void OnListed(store::Position position) noexcept;
  /// The order of positions begins anew: the store's era fell. Until the next call of `OnListed`,
  /// of any position, instances get nothing; then all of them get a full snapshot.
  void Restart(core::TimePoint now);

  /// Values of more bytes are only referred to.
  static constexpr std::size_t kMaxInlineBytes = 16384;

  /// Returns the item if it is present; valid until the next change.
  [[nodiscard]] const store::Item* Find(const std::string& key) const;

  /// Returns the changes after `known`: a delta by log position, a delta by store position if the
  /// instance read another log before, or a full snapshot if neither can be served. A delta by
  /// store position repeats some changes, since the other log may have missed them.
  ///
  /// An instance of an earlier era gets a full snapshot, since it may know items that the store
  /// has lost and that this log never had; one of a later era gets nothing and keeps its position.
  /// One that states no era gets no delta by store position unless this log has none either.
  [[nodiscard]] PeerChanges Since(const PeerPosition& known, core::TimePoint now) const;

 private:
  struct Entry {
    store::Item item;  ///< Of a removed key, the position is that of the removal.
    std::uint64_t log_position = 0;
    /// Store position of the last relayed change, for a removal the one at which it was applied
    /// here; the item may have been renewed since.
    store::Position changed_at;
    /// Until then the last change is part of all deltas by store position.
    core::TimePoint repeat_until;
    bool removed = false;
    core::TimePoint removed_at;
  };

  void Prune(core::TimePoint now);
  [[nodiscard]] bool IsChecked(const std::string& key) const;

  std::string epoch_;
  std::string checked_prefix_;
  std::map<std::string, Entry> entries_;
  std::uint64_t log_position_ = 1;
  std::uint64_t oldest_log_position_ = 1;  ///< Removals up to this position may have been pruned.
  /// Removals up to this position may be unknown or pruned; nullopt before the first listing.
  std::optional<store::Position> complete_since_;
  store::Era newest_era_ = 0;  ///< Of all items.
  /// Positions that other instances hold may be of an order that was given up then.
  std::optional<core::TimePoint> restarted_at_;
  bool restarting_ = false;  ///< Since `Restart`, the state is not yet known in the new order.
};

}  // namespace vanilladeck::membership

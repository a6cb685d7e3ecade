#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::membership {

/// How far an instance that asks for changes has got.
struct PeerPosition {
  std::string epoch;  ///< Of the log read last; empty: none.
  std::uint64_t position = 0;
  /// Of the store: the instance holds everything up to it. 0: it holds nothing.
  store::Revision revision = 0;
};

/// Changes that one instance passes on to others, so that they need not read the store.
struct PeerChanges {
  std::string epoch;             ///< Names the log; positions of another log mean nothing here.
  std::uint64_t position = 0;    ///< Continue from here.
  bool full = false;             ///< `changes` is the whole state, not a difference.
  store::Revision revision = 0;  ///< Of the store; everything up to it is contained.
  core::Duration age{0};         ///< Since the store last answered the sender.
  std::vector<store::Change> changes;
};

[[nodiscard]] std::string EncodePeerChanges(const PeerChanges& changes);
/// None when the text is not such a message.
[[nodiscard]] std::optional<PeerChanges> DecodePeerChanges(const std::string& text);

/// The items as this instance knows them, with the position of each one's last change that matters.
///
/// Most writes only renew a server's report; they are kept but not passed on.
class ChangeLog {
 public:
  explicit ChangeLog(std::string epoch) : epoch_(std::move(epoch)) {}

  /// `matters` is false for a change that others need not know.
  void Put(const store::Item& item, bool matters);
  /// `revision` is the store's when the removal took effect here.
  void Remove(const std::string& key, store::Revision revision, core::TimePoint now);
  /// The log holds everything that the store held at `revision`; only the first call counts.
  void OnListed(store::Revision revision) noexcept;

  /// What an instance lacks: the difference by position in this log, or by the store's revision if
  /// it read another log before, or the whole state if neither is known.
  [[nodiscard]] PeerChanges Since(const PeerPosition& known) const;

 private:
  struct Entry {
    store::Item item;
    std::uint64_t position = 0;
    /// Of the last change that matters; the item itself may have been renewed since.
    store::Revision revision = 0;
    bool removed = false;
    core::TimePoint removed_at;
  };

  void Prune(core::TimePoint now);

  std::string epoch_;
  std::map<std::string, Entry> entries_;
  std::uint64_t position_ = 1;
  std::uint64_t oldest_ = 1;  ///< Removals up to this position may be forgotten.
  /// Removals up to this revision may be unknown or forgotten; none before the first listing.
  std::optional<store::Revision> complete_from_;
};

}  // namespace vanilladeck::membership

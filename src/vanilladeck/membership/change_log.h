#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::membership {

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
  void Remove(const std::string& key, core::TimePoint now);

  /// What changed after `position` of the log `epoch`; the whole state if that is unknown.
  [[nodiscard]] PeerChanges Since(const std::string& epoch, std::uint64_t position) const;

 private:
  struct Entry {
    store::Item item;
    std::uint64_t position = 0;
    bool removed = false;
    core::TimePoint removed_at;
  };

  void Prune(core::TimePoint now);

  std::string epoch_;
  std::map<std::string, Entry> entries_;
  std::uint64_t position_ = 1;
  std::uint64_t oldest_ = 1;  ///< Removals before this position are forgotten.
};

}  // namespace vanilladeck::membership

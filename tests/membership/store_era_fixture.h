#pragma once

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/positions.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/membership/store_follower.h"

/// An instance that follows a store which returns from older copies of its data: revisions go back,
/// the era rises by one.
namespace vanilladeck::membership::testing {

using store::testing::Rev;

using namespace std::chrono_literals;
using store::VersionedAnswer;
using store::VersionedResult;

inline constexpr core::TimePoint kBegan(100s);

/// A follower and what it has applied.
struct Instance {
  Instance()
      : follower(Settings(),
                 {[this](const store::Item& item) {
                    present.insert(item.key);
                    // Most writes only renew a report.
                    log.Put(item, follower.may_have_been_absent(), now, follower.position());
                  },
                  [this](const std::string& key) {
                    present.erase(key);
                    removed.insert(key);
                    log.Remove(key, follower.removal_position(), follower.position(), now);
                  },
                  [this] { log.OnListed(follower.position()); }, nullptr}) {}

  static FollowerSettings Settings() {
    FollowerSettings settings;
    settings.check_prefix = "op/";
    return settings;
  }

  void Advance(core::Duration time) {
    for (const auto until = now + time; now < until; now += 100ms) follower.Tick(now);
    follower.Tick(now);
  }
  /// Advances until a call is due and returns it.
  store::VersionedCall NextCall() {
    for (int i = 0; i < 100; ++i) {
      if (auto call = follower.Next(now)) return *call;
      Advance(100ms);
    }
    FAIL("no call is due");
    return store::ReadRange{};
  }
  void Answer(VersionedAnswer answer) { follower.OnAnswer(VersionedResult(answer), now); }
  /// Takes the listing or watch that is due for a listing with these items.
  void List(const std::vector<store::Item>& items, store::Position position) {
    for (int i = 0; std::holds_alternative<store::WatchChanges>(NextCall()) && i < 100; ++i) {
      Answer(store::Changes{{}, follower.position()});
    }
    Answer(store::RangePage{items, false, position});
  }
  void Watch(const std::vector<store::Change>& changes, store::Position position) {
    REQUIRE(std::holds_alternative<store::WatchChanges>(NextCall()));
    Answer(store::Changes{changes, position});
  }
  /// The state, or the changes since `known`, for another instance.
  [[nodiscard]] PeerChanges StateFor(const PeerPosition& known) const {
    PeerChanges changes = log.Since(known, now);
    changes.position = follower.position();
    changes.kept = follower.Kept(changes.full ? store::Position() : known.position, now);
    if (changes.full) follower.AddHeld(changes);
    changes.grace_left = follower.GraceLeft(now);
    return changes;
  }
  /// Takes the state of `reader` in place of a call to the store.
  void Ask(const Instance& reader) {
    (void)NextCall();
    const PeerChanges changes = reader.StateFor({"", 0, follower.position()});
    REQUIRE(follower.IsUsable(changes));
    follower.OnPeerChanges(changes, 400ms, now);
    if (changes.full) log.OnListed(follower.position());
  }

  core::TimePoint now = kBegan;
  std::set<std::string> present;
  std::set<std::string> removed;
  ChangeLog log{"log", "op/"};
  StoreFollower follower;
};

inline store::Change Write(const std::string& key, store::Position position) {
  return {{key, "", position}, false};
}

inline store::Change Removal(const std::string& key, store::Position position) {
  return {{key, "", position}, true};
}

inline PeerChanges FromPeer(store::Position position, bool full,
                            std::vector<store::Change> changes) {
  PeerChanges message;
  message.epoch = "peer";
  message.full = full;
  message.position = position;
  message.changes = std::move(changes);
  return message;
}

/// An instance that knew `key`, which was removed and which a copy of the store brought back.
struct BroughtBack : Instance {
  explicit BroughtBack(std::string key = "op/a") : key(std::move(key)) {
    follower.OnEra(1, now);
    List({{this->key, "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}}, Rev(20, 1));
    Watch({Removal(this->key, Rev(21, 1))}, Rev(21, 1));
    follower.OnEra(2, now);
    List({{this->key, "", Rev(5, 2)}, {"servers/z", "", Rev(6, 2)}}, Rev(10, 2));
    REQUIRE(follower.held_items() == 1);
    removed.clear();
  }
  std::string key;
};

}  // namespace vanilladeck::membership::testing

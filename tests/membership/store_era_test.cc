#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/positions.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/membership/store_follower.h"

/// A store that returns from an older copy of its data: revisions go back, the era rises by one.
namespace vanilladeck::membership {
namespace {

using store::testing::Rev;

using namespace std::chrono_literals;
using store::VersionedAnswer;
using store::VersionedResult;

const core::TimePoint kBegan(100s);

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

store::Change Write(const std::string& key, store::Position position) {
  return {{key, "", position}, false};
}

store::Change Removal(const std::string& key, store::Position position) {
  return {{key, "", position}, true};
}

PeerChanges FromPeer(store::Position position, bool full, std::vector<store::Change> changes) {
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

// Guards against items that are applied at the end of the grace period although they have been
// removed again meanwhile.
TEST_CASE("an item that a copy brought back and that is removed again is not applied") {
  BroughtBack it;
  SECTION("as a watch shows") { it.Watch({Removal("op/a", Rev(11, 2))}, Rev(11, 2)); }
  SECTION("as another instance relays") {
    (void)it.NextCall();
    it.follower.OnPeerChanges(FromPeer(Rev(11, 2), false, {Removal("op/a", Rev(11, 2))}), 400ms,
                              it.now);
  }
  SECTION("as the state of another instance shows") {
    (void)it.NextCall();
    it.follower.OnPeerChanges(FromPeer(Rev(11, 2), true, {Write("servers/z", Rev(6, 2))}), 400ms,
                              it.now);
  }
  SECTION("as a check shows") {
    it.Advance(1100ms);
    it.follower.OnEra(3, it.now);
    (void)it.NextCall();
    it.follower.OnPeerChanges(
        FromPeer(Rev(10, 3), true, {Write("op/a", Rev(5, 3)), Write("servers/z", Rev(6, 3))}),
        400ms, it.now);
    REQUIRE(it.follower.held_items() == 1);
    it.Advance(1900ms);
    REQUIRE(it.follower.NextCheck(it.now));
    const store::RangePage none{{}, false, Rev(11, 3)};
    it.follower.OnCheckAnswer(VersionedResult(VersionedAnswer(none)), it.now);
  }
  SECTION("as a listing shows") {
    (void)it.NextCall();
    it.follower.OnAnswer(VersionedResult(store::CallError{store::CallErrorCode::kHistoryLost, ""}),
                         it.now);
    it.List({{"servers/z", "", Rev(6, 2)}}, Rev(11, 2));
  }
  CHECK(it.follower.held_items() == 0);
  // Instances that took the item over from the copy learn of the removal.
  CHECK(it.removed.count("op/a") == 1);
  it.Advance(3s);
  CHECK(it.present.count("op/a") == 0);
}

// Guards against an entry that stays after its server has ended: the reader kept it for the grace
// period, and the instance that had asked it read the store itself before the reader removed it.
TEST_CASE("what a reader only keeps is not present for an instance that asks it") {
  Instance reader;
  Instance asker;
  for (Instance* it : {&reader, &asker}) {
    it->follower.OnEra(1, it->now);
    it->List({{"op/a", "", Rev(4, 1)}, {"servers/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}},
             Rev(20, 1));
    it->follower.OnEra(2, it->now);
  }
  reader.List({{"servers/z", "", Rev(6, 2)}}, Rev(10, 2));
  REQUIRE(reader.follower.deferred_removals() == 2);
  asker.Ask(reader);
  CHECK(asker.follower.position() == Rev(10, 2));
  CHECK(asker.follower.deferred_removals() == 2);
  SECTION("which removes it after its own grace period") {
    asker.Advance(2100ms);
    CHECK(asker.present.size() == 3);
    asker.Advance(200ms);
    CHECK(asker.present == std::set<std::string>{"servers/z"});
  }
  SECTION("which keeps it if the server writes again") {
    asker.Watch({Write("servers/a", Rev(11, 2))}, Rev(11, 2));
    asker.Advance(3s);
    CHECK(asker.present == std::set<std::string>{"servers/a", "servers/z"});
  }
}

// Guards against an instance that starts during the grace period and has an entry for good, or not
// at all, that is only kept at the instance whose state it takes.
TEST_CASE("an instance that starts in the grace period applies it to what others keep") {
  Instance reader;
  reader.follower.OnEra(1, reader.now);
  reader.List({{"servers/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}}, Rev(20, 1));
  reader.follower.OnEra(2, reader.now);
  reader.List({{"servers/z", "", Rev(6, 2)}}, Rev(10, 2));
  Instance started;
  started.follower.OnEra(2, started.now);
  (void)started.NextCall();
  started.follower.OnFallbackChanges(reader.StateFor({}), started.now);
  CHECK(started.present == std::set<std::string>{"servers/a", "servers/z"});
  started.Answer(store::RangePage{{{"servers/z", "", Rev(6, 2)}}, false, Rev(10, 2)});
  started.Advance(2100ms);
  CHECK(started.present == std::set<std::string>{"servers/a", "servers/z"});
  started.Advance(200ms);
  CHECK(started.present == std::set<std::string>{"servers/z"});
}

// Guards against the removal of a live server that had written again in time: after a watch with
// changes, the next one came only after the end of the grace period.
TEST_CASE("the state is read once more before the grace period ends") {
  Instance it;
  it.follower.OnEra(1, it.now);
  it.List({{"servers/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}}, Rev(20, 1));
  it.follower.OnEra(2, it.now);
  it.List({{"servers/z", "", Rev(6, 2)}}, Rev(10, 2));
  it.Advance(400ms);
  SECTION("from the store") {
    // The watches of an instance that others write to are about a second apart.
    it.Watch({Write("servers/z", Rev(11, 2))}, Rev(11, 2));
    it.Watch({Write("servers/z", Rev(12, 2))}, Rev(12, 2));
    REQUIRE(it.now == kBegan + 1400ms);
    // Servers write again within 2 s.
    it.Watch({Write("servers/a", Rev(13, 2))}, Rev(13, 2));
  }
  SECTION("from another instance") {
    it.Advance(1500ms);
    (void)it.NextCall();
    it.follower.OnPeerChanges(FromPeer(Rev(11, 2), false, {}), 400ms, it.now);
    (void)it.NextCall();
    it.follower.OnPeerChanges(FromPeer(Rev(12, 2), false, {Write("servers/a", Rev(12, 2))}), 400ms,
                              it.now);
  }
  it.Advance(3s);
  CHECK(it.removed.empty());
}

// Guards against an instance that learns of the era before its reader does, and removes a live
// server before the reader knows that it has written again.
TEST_CASE("the grace period of an instance that asks a reader begins with its state") {
  Instance reader;
  Instance asker;
  for (Instance* it : {&reader, &asker}) {
    it->follower.OnEra(1, it->now);
    it->List({{"servers/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}}, Rev(20, 1));
  }
  asker.follower.OnEra(2, asker.now);
  reader.Advance(800ms);
  asker.Advance(800ms);
  reader.follower.OnEra(2, reader.now);
  reader.List({{"servers/z", "", Rev(6, 2)}}, Rev(10, 2));
  asker.Ask(reader);
  asker.Advance(2100ms);
  CHECK(asker.removed.empty());
  asker.Advance(200ms);
  CHECK(asker.removed == std::set<std::string>{"servers/a"});
}

// Guards against an entry that stays although its server has ended: only the reader had noticed an
// outage and kept the entry, and the instance that had asked it read the store itself after that,
// from a revision beyond the removal.
TEST_CASE("what a reader keeps after an outage is not kept for longer by others") {
  Instance reader;
  Instance asker;
  for (Instance* it : {&reader, &asker}) {
    it->List({{"servers/a", "", Rev(5)}, {"servers/z", "", Rev(6)}}, Rev(20));
  }
  reader.now += 3s;
  asker.now += 3s;
  asker.follower.OnPeerHeardStore(asker.now - 1s);
  reader.Watch({Removal("servers/a", Rev(21))}, Rev(21));
  REQUIRE(reader.follower.deferred_removals() == 1);
  reader.Advance(1s);
  asker.Advance(1s);
  SECTION("if they ask for changes") {
    (void)asker.NextCall();
    PeerChanges changes = FromPeer(Rev(21), false, {});
    changes.kept = reader.follower.Kept(Rev(20), reader.now);
    asker.follower.OnPeerChanges(changes, 400ms, asker.now);
  }
  SECTION("if they ask for the whole state") {
    (void)asker.NextCall();
    PeerChanges changes = reader.StateFor({});
    REQUIRE(changes.full);
    asker.follower.OnPeerChanges(changes, 400ms, asker.now);
  }
  CHECK(asker.removed.empty());
  asker.Advance(1100ms);
  CHECK(asker.removed.empty());
  asker.Advance(200ms);
  CHECK(asker.removed == std::set<std::string>{"servers/a"});
}

// Guards against a state of a peer that ends the removal of an entry which the peer itself keeps.
TEST_CASE("a kept entry in a later state of another instance does not end a deferred removal") {
  Instance peer;
  Instance it;
  for (Instance* instance : {&peer, &it}) {
    instance->List({{"servers/a", "", Rev(5)}, {"servers/z", "", Rev(6)}}, Rev(20));
    instance->now += 3s;
    instance->Watch({Removal("servers/a", Rev(21))}, Rev(21));
  }
  peer.Watch({Write("servers/z", Rev(22))}, Rev(22));
  (void)it.NextCall();
  it.follower.OnPeerChanges(peer.StateFor({}), 400ms, it.now);
  CHECK(it.follower.position() == Rev(22));
  it.Advance(3s);
  CHECK(it.removed == std::set<std::string>{"servers/a"});
}

// Guards against messages whose list of kept entries is lost or malformed.
TEST_CASE("a message states what the sender keeps") {
  PeerChanges message = FromPeer(Rev(10, 2), true, {});
  message.kept = {{"servers/a", 1800ms}};
  const auto decoded = DecodePeerChanges(EncodePeerChanges(message));
  REQUIRE(decoded);
  CHECK(decoded->kept == message.kept);
  std::string text = EncodePeerChanges(message);
  text.replace(text.find("1800"), 4, "-800");
  CHECK_FALSE(DecodePeerChanges(text));
}

// Guards against an instance that removes a live server for good: it had deferred the removal, and
// its reader passed on no write after that, since for the reader the write only renewed the report.
TEST_CASE("a write after an absence is relayed though it only renews a report") {
  Instance reader;
  Instance asker;
  for (Instance* it : {&reader, &asker}) {
    it->List({{"servers/a", "", Rev(5)}, {"servers/z", "", Rev(6)}}, Rev(20));
    it->now += 3s;
  }
  asker.Watch({Removal("servers/a", Rev(21))}, Rev(21));
  REQUIRE(asker.follower.deferred_removals() == 1);
  SECTION("which the reader saw") {
    reader.Watch({Removal("servers/a", Rev(21)), Write("servers/a", Rev(22))}, Rev(22));
  }
  SECTION("which fell between two reads of the reader") {
    (void)reader.NextCall();
    reader.follower.OnAnswer(
        VersionedResult(store::CallError{store::CallErrorCode::kHistoryLost, ""}), reader.now);
    reader.List({{"servers/a", "", Rev(22)}, {"servers/z", "", Rev(6)}}, Rev(22));
  }
  asker.Ask(reader);
  asker.Advance(3s);
  CHECK(asker.removed.empty());
}

// Guards against instances that never apply what is in the store: a peer that holds an item as well
// does not pass it on, so that its state lacks the item.
TEST_CASE("an item that a peer holds is not absent") {
  BroughtBack it;
  BroughtBack peer;
  (void)it.NextCall();
  const auto changes = DecodePeerChanges(EncodePeerChanges(peer.StateFor({})));
  REQUIRE(changes);
  REQUIRE(changes->full);
  it.follower.OnPeerChanges(*changes, 400ms, it.now);
  CHECK(it.follower.held_items() == 1);
  it.Advance(3s);
  CHECK(it.present.count("op/a") == 1);
}

// Guards against the removal of a live server while the store's answers are not used, since they
// are of an era that is not confirmed yet, or cannot be read.
TEST_CASE("no removal is applied after a failed call before one succeeds") {
  Instance it;
  it.follower.OnEra(1, it.now);
  it.List({{"servers/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}}, Rev(20, 1));
  it.follower.OnEra(2, it.now);
  it.List({{"servers/z", "", Rev(6, 2)}}, Rev(10, 2));
  it.Advance(1900ms);
  (void)it.NextCall();
  it.follower.OnAnswer(VersionedResult(store::CallError{store::CallErrorCode::kOtherEra, ""}),
                       it.now);
  SECTION("at all") {}
  SECTION("here, not of an instance that knows no more") {
    it.follower.OnFallbackChanges(FromPeer(Rev(10, 2), false, {}), it.now);
  }
  it.Advance(500ms);
  CHECK(it.removed.empty());
  SECTION("and the store has returned once more") {
    it.follower.OnEra(4, it.now);
    it.List({{"servers/a", "", Rev(12, 4)}, {"servers/z", "", Rev(6, 4)}}, Rev(13, 4));
    it.Advance(3s);
    CHECK(it.removed.empty());
  }
  SECTION("and the store has not returned") {
    it.Watch({}, Rev(11, 2));
    it.Advance(100ms);
    CHECK(it.removed == std::set<std::string>{"servers/a"});
  }
}

// Guards against a state that lacks an item of the store since a peer of the sender held it.
TEST_CASE("an item that a peer of the peer holds is not absent") {
  BroughtBack holds;
  Instance peer;
  Instance it;
  for (Instance* instance : {&peer, &it}) {
    instance->follower.OnEra(1, instance->now);
    instance->List({{"op/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}}, Rev(20, 1));
    instance->follower.OnEra(2, instance->now);
  }
  peer.Ask(holds);
  it.Ask(peer);
  it.Advance(3s);
  CHECK(it.present.count("op/a") == 1);
}

}  // namespace
}  // namespace vanilladeck::membership

#include "membership/store_era_fixture.h"

/// What instances that ask others for changes do after a return or an outage of the store.
namespace vanilladeck::membership::testing {
namespace {

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
    asker.Advance(400ms);
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
  asker.Advance(400ms);
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
  message.grace_left = 1900ms;
  const auto decoded = DecodePeerChanges(EncodePeerChanges(message));
  REQUIRE(decoded);
  CHECK(decoded->kept == message.kept);
  CHECK(decoded->grace_left == message.grace_left);
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

// Guards against the removal of a live server by an instance that took the state from one reader
// and then asks another one, whose grace period began later and which reads the server's write
// later.
TEST_CASE("the grace period of an instance lasts as long as that of the reader it asks") {
  Instance early;
  Instance late;
  Instance asker;
  for (Instance* it : {&early, &late, &asker}) {
    it->follower.OnEra(1, it->now);
    it->List({{"servers/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}}, Rev(20, 1));
    if (it == &late) it->Advance(800ms);
    it->follower.OnEra(2, it->now);
    it->List({{"servers/z", "", Rev(6, 2)}}, Rev(10, 2));
  }
  asker.Ask(early);
  asker.Advance(late.now - asker.now);
  asker.Ask(late);
  REQUIRE(asker.now - kBegan < 1500ms);
  late.Advance(kBegan + 2200ms - late.now);
  late.Watch({Write("servers/a", Rev(11, 2))}, Rev(11, 2));
  asker.Advance(kBegan + 2500ms - asker.now);
  asker.Ask(late);
  asker.Advance(3s);
  CHECK(asker.removed.empty());
}

}  // namespace
}  // namespace vanilladeck::membership::testing

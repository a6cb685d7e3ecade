#include "membership/store_era_fixture.h"

/// What an instance that reads the store itself does after a return.
namespace vanilladeck::membership::testing {
namespace {

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

// Guards against a report or an evacuation that becomes known 2.2 s late: the number of a new write
// can be below that of the removed item, since revisions go back.
TEST_CASE("a write after the return is not held like what the copy brought back") {
  Instance it;
  it.follower.OnEra(1, it.now);
  it.List({{"op/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}}, Rev(20, 1));
  it.Watch({Write("op/a", Rev(90, 1))}, Rev(90, 1));
  it.Watch({Removal("op/a", Rev(91, 1))}, Rev(91, 1));
  it.follower.OnEra(2, it.now);
  SECTION("if it was written after the listing began") {
    (void)it.NextCall();
    it.Answer(store::RangePage{{{"alpha", "", Rev(6, 2)}}, true, Rev(10, 2)});
    (void)it.NextCall();
    it.Answer(store::RangePage{{{"op/a", "", Rev(11, 2)}}, false, Rev(11, 2)});
  }
  SECTION("if it was written after the first state of a peer") {
    (void)it.NextCall();
    it.follower.OnPeerChanges(FromPeer(Rev(10, 2), true, {Write("servers/z", Rev(6, 2))}), 400ms,
                              it.now);
    (void)it.NextCall();
    it.follower.OnPeerChanges(FromPeer(Rev(11, 2), false, {Write("op/a", Rev(11, 2))}), 400ms,
                              it.now);
  }
  SECTION("if it replaces what the copy brought back") {
    (void)it.NextCall();
    it.Answer(store::RangePage{{{"op/a", "", Rev(5, 2)}}, true, Rev(12, 2)});
    REQUIRE(it.follower.held_items() == 1);
    (void)it.NextCall();
    // The listing begins anew; it is stated to be no later than the last one.
    it.follower.OnAnswer(VersionedResult(store::CallError{store::CallErrorCode::kRefused, ""}),
                         it.now);
    it.List({{"op/a", "", Rev(11, 2)}}, Rev(12, 2));
  }
  CHECK(it.follower.held_items() == 0);
  CHECK(it.present.count("op/a") == 1);
}

// Guards against an item that is held for longer than the grace period.
TEST_CASE("a write between the return and the first state is known after the grace period") {
  BroughtBack it;
  it.Advance(2200ms);
  CHECK(it.present.count("op/a") == 1);
  CHECK(it.now - kBegan <= 2300ms);
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

// Guards against an entry that lives on without end while the store returns again and again, and
// against one that is dropped in the grace period of the first return.
TEST_CASE("a second return in the grace period begins it anew") {
  Instance it;
  it.follower.OnEra(1, it.now);
  it.List({{"op/a", "", Rev(4, 1)}, {"servers/a", "", Rev(5, 1)}, {"servers/z", "", Rev(6, 1)}},
          Rev(20, 1));
  it.Watch({Removal("op/a", Rev(21, 1))}, Rev(21, 1));
  it.removed.clear();
  it.follower.OnEra(2, it.now);
  it.List({{"op/a", "", Rev(4, 2)}, {"servers/z", "", Rev(6, 2)}}, Rev(10, 2));
  it.Advance(1s);
  REQUIRE(it.follower.held_items() == 1);
  it.follower.OnEra(3, it.now);
  const auto second = it.now;
  SECTION("for what neither copy has") {
    it.List({{"servers/z", "", Rev(6, 3)}}, Rev(9, 3));
    it.Advance(second + 2100ms - it.now);
    CHECK(it.removed.empty());
    it.Advance(200ms);
    CHECK(it.removed == std::set<std::string>{"servers/a"});
    CHECK(it.present == std::set<std::string>{"servers/z"});
  }
  SECTION("for what the second copy has") {
    it.List({{"op/a", "", Rev(4, 3)}, {"servers/a", "", Rev(5, 3)}, {"servers/z", "", Rev(6, 3)}},
            Rev(9, 3));
    CHECK(it.follower.deferred_removals() == 0);
    it.Advance(second + 2100ms - it.now);
    CHECK(it.present.count("op/a") == 0);
    it.Advance(200ms);
    CHECK(it.present == std::set<std::string>{"op/a", "servers/a", "servers/z"});
  }
}

}  // namespace
}  // namespace vanilladeck::membership::testing

#include <catch2/catch.hpp>
#include <limits>

#include "vanilladeck/store/era_tracker.h"

namespace vanilladeck::store {
namespace {

// Guards against an instance that uses no response of the store any more, since one damaged message
// of another instance stated an era far above the store's.
TEST_CASE("a jump of the era that an instance states must be confirmed") {
  EraTracker tracker;
  REQUIRE(tracker.OnResponse(Era{3}, 0).usable);
  CHECK_FALSE(tracker.OnPeer(4096));
  CHECK(tracker.OnResponse(Era{3}, 3).usable);
  CHECK_FALSE(tracker.OnPeer(4096));
  CHECK(tracker.era() == 3);
  SECTION("by another message") {
    CHECK_FALSE(tracker.OnPeer(6));
    CHECK(tracker.OnPeer(6));
    CHECK(tracker.era() == 6);
  }
  SECTION("by the store") {
    CHECK_FALSE(tracker.OnPeer(6));
    CHECK(tracker.OnResponse(Era{6}, 3).usable);
  }
  SECTION("unless it is the next one") { CHECK(tracker.OnPeer(4)); }
}

// Guards against an instance that uses no response of the store any more, since its known era is
// too high, and against two halves of a fleet that raise and lower each other's era.
TEST_CASE("a fall of the era must be confirmed by the store and is not undone by other instances") {
  EraTracker tracker;
  REQUIRE(tracker.OnResponse(Era{3}, 0).usable);
  REQUIRE(tracker.OnPeer(4));
  CHECK_FALSE(tracker.OnResponse(Era{3}, 3).usable);
  CHECK_FALSE(tracker.OnResponse(Era{3}, 4).usable);
  CHECK(tracker.era() == 4);
  const auto fell = tracker.OnResponse(Era{3}, 4);
  CHECK(fell.usable);
  CHECK(fell.changed);
  CHECK(tracker.era() == 3);
  CHECK_FALSE(tracker.OnPeer(4));
  CHECK(tracker.OnResponse(Era{4}, 3).changed);
  CHECK(tracker.OnPeer(5));
}

// Guards against an era that goes down and up again: two pages of a read that may be seconds old
// were read before the store's return.
TEST_CASE("reads that may be stale do not lower the era") {
  EraTracker tracker;
  REQUIRE(tracker.OnResponse(Era{5}, 0).usable);
  REQUIRE(tracker.OnResponse(Era{6}, 5).changed);
  for (int i = 0; i < 3; ++i) {
    const auto judgement = tracker.OnResponse(Era{5}, 6, true);
    CHECK(judgement.finding == EraFinding::kFell);
    CHECK_FALSE(judgement.usable);
  }
  CHECK_FALSE(tracker.OnResponse(Era{5}, 6).changed);
  CHECK(tracker.era() == 6);
}

// Guards against an era from a damaged message after which no higher one can follow.
TEST_CASE("an impossible era is not believed") {
  EraTracker tracker;
  constexpr Era kImpossible = std::numeric_limits<Era>::max();
  CHECK_FALSE(tracker.OnPeer(kImpossible));
  CHECK(tracker.OnResponse(kImpossible, 0).finding == EraFinding::kUnreadable);
  CHECK(tracker.era() == 0);
}

// Guards against a fall of the era that two responses on different connections seem to confirm,
// while a third one states the known era.
TEST_CASE("a response of the known era ends the doubt about it") {
  EraTracker tracker;
  REQUIRE(tracker.OnResponse(Era{4}, 0).usable);
  CHECK_FALSE(tracker.OnResponse(Era{3}, 4).usable);
  CHECK(tracker.OnResponse(Era{4}, 4).usable);
  CHECK_FALSE(tracker.OnResponse(Era{3}, 4).usable);
  CHECK(tracker.era() == 4);
}

// Guards against instances that count other returns than those which the store states.
TEST_CASE("lost data raises the era only if the store states none") {
  EraTracker tracker;
  REQUIRE(tracker.OnResponse(NoEra{}, 0).usable);
  CHECK(tracker.OnDataLost());
  CHECK(tracker.era() == 1);
  // Of the call that was under way it is not known which data the response tells of.
  CHECK_FALSE(tracker.OnResponse(NoEra{}, 0).usable);
  CHECK(tracker.OnResponse(NoEra{}, 1).usable);
  CHECK(tracker.OnResponse(Era{1}, 1).usable);
  CHECK_FALSE(tracker.OnDataLost());
}

// Guards against state that is dropped as older for ever: the store stops stating its era before it
// returns from a copy.
TEST_CASE("lost data raises the era if the store states none any more") {
  EraTracker tracker;
  REQUIRE(tracker.OnResponse(Era{4}, 0).usable);
  CHECK_FALSE(tracker.OnDataLost());
  REQUIRE(tracker.OnResponse(NoEra{}, 4).usable);
  CHECK(tracker.OnDataLost());
  CHECK(tracker.era() == 5);
  CHECK(tracker.OnResponse(Era{5}, 5).usable);
}

}  // namespace
}  // namespace vanilladeck::store

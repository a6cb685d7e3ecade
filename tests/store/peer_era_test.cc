#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace vanilladeck::store

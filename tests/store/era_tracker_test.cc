#include "vanilladeck/store/era_tracker.h"

#include <catch2/catch.hpp>

namespace vanilladeck::store {
namespace {

// Guards against responses of a lost history that are used after the store has returned.
TEST_CASE("the next era counts at once, and late responses of the earlier one do not") {
  EraTracker tracker;
  const auto first = tracker.OnResponse(Era{3}, 0);
  CHECK(first.finding == EraFinding::kFirst);
  CHECK((first.usable && first.changed));
  const auto same = tracker.OnResponse(Era{3}, 3);
  CHECK(same.finding == EraFinding::kSame);
  CHECK((same.usable && !same.changed));
  const auto next = tracker.OnResponse(Era{4}, 3);
  CHECK(next.finding == EraFinding::kNext);
  CHECK((next.usable && next.changed));
  const auto late = tracker.OnResponse(Era{3}, 3);
  CHECK(late.finding == EraFinding::kOlder);
  CHECK_FALSE((late.usable || late.changed));
  CHECK(tracker.era() == 4);
}

// Guards against a state that is given up for one damaged or stray response.
TEST_CASE("a jump of the era must be confirmed by the next response") {
  EraTracker tracker;
  (void)tracker.OnResponse(Era{3}, 0);
  CHECK(tracker.OnResponse(Era{9}, 3).finding == EraFinding::kJump);
  CHECK(tracker.era() == 3);
  SECTION("with the same era") {
    CHECK(tracker.OnResponse(Era{9}, 3).changed);
    CHECK(tracker.era() == 9);
  }
  SECTION("not with another one") {
    CHECK_FALSE(tracker.OnResponse(Era{8}, 3).changed);
    CHECK(tracker.era() == 3);
  }
  SECTION("not after one of the known era") {
    CHECK(tracker.OnResponse(Era{3}, 3).usable);
    CHECK_FALSE(tracker.OnResponse(Era{9}, 3).usable);
  }
}

// Guards against responses of either era that are used because they state none.
TEST_CASE("a response without a readable era counts only if none has changed since its call") {
  EraTracker tracker;
  (void)tracker.OnResponse(Era{3}, 0);
  CHECK(tracker.OnResponse(NoEra{}, 3).usable);
  CHECK(tracker.OnResponse(UnreadableEra{"x"}, 3).finding == EraFinding::kUnreadable);
  (void)tracker.OnResponse(Era{4}, 3);
  CHECK_FALSE(tracker.OnResponse(NoEra{}, 3).usable);
  CHECK_FALSE(tracker.OnResponse(UnreadableEra{"x"}, 3).usable);
  CHECK(tracker.OnResponse(NoEra{}, 4).usable);
  CHECK(tracker.era() == 4);
}

}  // namespace
}  // namespace vanilladeck::store

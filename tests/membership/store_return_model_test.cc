#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "membership/model_fleet.h"

namespace vanilladeck::testing {

// Guards against policies, reports of leaving and removals that are lost, late or undone, and
// against instances that disagree, when the store returns from an older copy.
TEST_CASE("instances follow a store that returns from older copies", "[membership]") {
  REQUIRE(rc::check("what the store acknowledged is known in time", [] {
    const auto schedule = *StoreScheduleGen();
    const auto violation = ModelFleet(schedule).Run();
    if (!violation.empty()) RC_FAIL(violation);
  }));
}

// Guards against faults that a hundred schedules do not always show, such as items that are never
// applied after the grace period. Schedules do not depend on a seed from outside.
TEST_CASE("instances follow such a store in many fixed schedules", "[membership]") {
  constexpr std::uint64_t kSchedules = 1000;
  for (std::uint64_t i = 0; i < kSchedules; ++i) {
    const auto schedule = StoreScheduleGen()(rc::Random(i), rc::kNominalSize).value();
    const auto violation = ModelFleet(schedule).Run();
    INFO(violation << "; " << schedule);
    REQUIRE(violation.empty());
  }
}

}  // namespace vanilladeck::testing

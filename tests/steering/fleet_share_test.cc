#include "vanilladeck/steering/fleet_share.h"

#include <catch2/catch.hpp>

namespace vanilladeck::steering {
namespace {

using namespace std::chrono_literals;

// Guards against limits that every instance would use up on its own.
TEST_CASE("whole units of a limit add up to it over any fleet") {
  for (std::uint32_t instances = 1; instances <= 40; ++instances) {
    for (const double limit : {1.0, 7.9, 18.2, 330.0}) {
      std::uint32_t sum = 0;
      for (std::uint32_t rank = 0; rank < instances; ++rank) {
        FleetShare share;
        share.SetFleet(instances, rank);
        sum += share.Units(limit, "server-1");
      }
      CHECK(sum == static_cast<std::uint32_t>(limit));
    }
  }
}

// Guards against a cold server that is overloaded when a region returns: its instances know only
// the rest of the fleet at first and would take a larger part beside the others' own (FAILBACK on
// trempelog-grown, deploy/days/growing-fleet.toml --vary --seed 236229291425).
TEST_CASE("instances that do not know the whole fleet yet add nothing to a limit's sum") {
  constexpr std::uint32_t kKnown = 47;
  constexpr std::uint32_t kFleet = 71;
  constexpr double kLimit = 12.2;
  for (int server = 0; server < 50; ++server) {
    const std::string subject = "server-" + std::to_string(server);
    std::uint32_t sum = 0;
    for (std::uint32_t rank = 0; rank < kFleet; ++rank) {
      FleetShare share;
      const bool young = rank >= kKnown;
      share.SetFleet(young ? kKnown + 1 : kFleet, young ? kKnown : rank, !young);
      sum += share.Units(kLimit, subject);
    }
    CHECK(sum <= kLimit);
  }
}

// Guards against retries that multiply the load on servers which already fail.
TEST_CASE("repeats stay within the ratio and the allowance of any window") {
  RetryWindow window(10s);
  const core::TimePoint start(100s);
  std::uint32_t granted = 0;
  for (int i = 0; i < 100; ++i) {
    window.OnFirstAttempt(start + i * 10ms);
    if (window.TryRetry(0.2, 5, start + i * 10ms)) ++granted;
  }
  CHECK(granted <= 25);
  CHECK(granted >= 20);
  // The window slides: nothing is left of the first sends, the allowance remains.
  CHECK(window.TryRetry(0.2, 5, start + 30s));
}

}  // namespace
}  // namespace vanilladeck::steering

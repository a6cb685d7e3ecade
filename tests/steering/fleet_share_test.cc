#include "vanilladeck/steering/fleet_share.h"

#include <catch2/catch.hpp>

namespace vanilladeck::steering {
namespace {

using namespace std::chrono_literals;

// Guards against instances that together exceed a limit or leave part of it unused.
TEST_CASE("integer shares of a limit sum to it for any number of instances") {
  for (std::uint32_t instances = 1; instances <= 40; ++instances) {
    for (const double limit : {1.0, 7.9, 18.2, 330.0}) {
      std::uint32_t sum = 0;
      for (std::uint32_t rank = 0; rank < instances; ++rank) {
        FleetShare share;
        share.SetFleet(instances, rank);
        sum += share.IntegerShare(limit, "server-1");
      }
      CHECK(sum == static_cast<std::uint32_t>(limit));
    }
  }
}

// Guards against overload of a cold server when a region returns: its instances know only part of
// the fleet at first, so that their shares would be too large beside those of the others (FAILBACK
// on trempelog-grown, deploy/days/growing-fleet.toml --vary --seed 236229291425).
TEST_CASE("instances without a complete view of the fleet have no share of a limit") {
  constexpr std::uint32_t kKnown = 47;
  constexpr std::uint32_t kFleet = 71;
  constexpr double kLimit = 12.2;
  for (int server = 0; server < 50; ++server) {
    const std::string subject = "server-" + std::to_string(server);
    std::uint32_t sum = 0;
    for (std::uint32_t rank = 0; rank < kFleet; ++rank) {
      FleetShare share;
      const bool recent = rank >= kKnown;
      share.SetFleet(recent ? kKnown + 1 : kFleet, recent ? kKnown : rank, !recent);
      sum += share.IntegerShare(kLimit, subject);
    }
    CHECK(sum <= kLimit);
  }
}

// Guards against retries that multiply the load on failing servers.
TEST_CASE("retries stay within the ratio and the allowance of any window") {
  RetryWindow window(10s);
  const core::TimePoint start(100s);
  std::uint32_t granted = 0;
  for (int i = 0; i < 100; ++i) {
    window.OnFirstAttempt(start + i * 10ms);
    if (window.TryRetry(0.2, 5, start + i * 10ms)) ++granted;
  }
  CHECK(granted <= 25);
  CHECK(granted >= 20);
  // The first attempts have left the window; the allowance remains.
  CHECK(window.TryRetry(0.2, 5, start + 30s));
}

}  // namespace
}  // namespace vanilladeck::steering

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "process/fleet_checks.h"
#include "process/fleet_faults.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)

namespace {

/// A number from the environment, for runs by hand.
int Setting(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

/// Runs a fleet with random faults, and checks the rules over the whole run and that all gateways
/// agree in the end.
void Soak(std::uint32_t seed, std::size_t gateways, milliseconds time, bool states_era = true) {
  // Requests of all clients together stay within what the test process can answer beside others.
  constexpr std::size_t kClients = 15;
  FleetOptions options;
  options.gateways = gateways;
  // With two regions, instances of both read the store and relay changes.
  if (gateways > 3) options.regions = 1 + seed % 2;
  options.clients_per_gateway = std::max<std::size_t>(2, kClients / gateways);
  options.seed = seed;
  options.store.states_era = states_era;
  Fleet fleet(options);
  FleetFaults faults(fleet, seed);
  faults.RunFor(time);
  const bool settled = faults.Settle();
  // From then on all gateways are in touch, and what was acknowledged before is in force.
  fleet.RunFor(Fleet::kContactTime + Fleet::kConfigBound);
  const auto calm = Clock::now();
  fleet.SendPolicy();
  REQUIRE(fleet.records().versions.back().acknowledged);
  fleet.RunFor(Fleet::kConfigBound);
  const auto in_force = Clock::now();
  constexpr milliseconds kWatched{2000};
  fleet.RunFor(kWatched);

  const FleetRecords& records = fleet.records();
  const Breaches breaches = FindBreaches(records);
  INFO("seed " << seed << ", " << gateways << " gateways, " << records.requests.size()
               << " requests, largest delay of the test process " << records.largest_delay.count()
               << " ms\n"
               << breaches.Text() << faults.log());
  CHECK(settled);
  CHECK(breaches.config.empty());
  CHECK(breaches.downgrade.empty());
  CHECK(breaches.drain.empty());
  CHECK(breaches.lost.empty());
  CHECK(breaches.twice.empty());
  CHECK(breaches.refused.empty());
  CHECK(breaches.denied.empty());
  CHECK(fleet.FailedRequests(calm) == 0);
  CHECK(fleet.GatewaysWithoutRecord().empty());
  const auto unused = fleet.UnusedServersSince(calm);
  INFO("unused " << (unused.empty() ? "" : unused.front()));
  CHECK(unused.empty());
  bool agree = unused.empty() && settled && fleet.FailedRequests(calm) == 0 &&
               fleet.GatewaysWithoutRecord().empty();
  for (std::size_t i = 0; i < gateways; ++i) {
    INFO("gateway " << i + 1);
    const auto moved = fleet.MovedSince(in_force, i);
    CHECK(moved.requests > 0);
    CHECK(moved.other_service == 0);
    CHECK(fleet.Readiness(i) == 200);
    CHECK_FALSE(fleet.HasEnded(i));
    agree = agree && moved.requests > 0 && moved.other_service == 0;
  }
  std::cout << "soak seed " << seed << ", " << gateways << " gateways, era " << fleet.store().era()
            << ", " << records.requests.size() << " requests, " << breaches.judged << " in touch, "
            << breaches.early.size() << " early, largest delay " << records.largest_delay.count()
            << " ms: " << (breaches.None() && agree ? "passed" : "FAILED") << std::endl;
  if (breaches.None() && breaches.early.empty() && agree) return;
  fleet.KeepLogs("soak-" + std::to_string(seed));
  if (!breaches.early.empty()) std::cout << breaches.Text() << faults.log() << std::endl;
}

}  // namespace

// Guards against promises that break when returns of the store from copies overlap with stops,
// kills and pauses of gateways, policies, servers that leave and join, and cuts from the store.
TEST_CASE("a fleet under random faults keeps its promises while the store returns from copies",
          "[process][soak]") {
  const auto seed = static_cast<std::uint32_t>(GENERATE(1, 2));
  constexpr milliseconds kTime{16'000};
  Soak(seed, 3, kTime);
}

// Guards against the same with other seeds, more gateways and longer runs, by hand: set
// VANILLADECK_SOAK_SEED, VANILLADECK_SOAK_GATEWAYS, VANILLADECK_SOAK_SECONDS, and
// VANILLADECK_SOAK_ERA to 0 for a store that states none.
TEST_CASE("a fleet under random faults of a given seed", "[.][soak-by-hand]") {
  Soak(static_cast<std::uint32_t>(Setting("VANILLADECK_SOAK_SEED", 1)),
       static_cast<std::size_t>(Setting("VANILLADECK_SOAK_GATEWAYS", 3)),
       std::chrono::seconds(Setting("VANILLADECK_SOAK_SECONDS", 20)),
       Setting("VANILLADECK_SOAK_ERA", 1) != 0);
}

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>

#include "config/cluster.h"

using vanilladeck::config::testing::Cluster;
using vanilladeck::config::testing::Variant;

namespace {

std::set<std::string> Run(const std::vector<std::uint32_t>& schedule, Variant variant) {
  Cluster cluster(variant);
  for (auto code : schedule) cluster.Step(code);
  cluster.RunToCompletion();
  return cluster.Violations();
}

std::vector<std::uint32_t> RandomSchedule(unsigned seed) {
  constexpr std::size_t kSteps = 200;
  std::mt19937 random(seed);
  std::vector<std::uint32_t> schedule(kSteps);
  for (auto& code : schedule) code = static_cast<std::uint32_t>(random());
  return schedule;
}

/// First seed whose schedule makes the variant violate the invariant; 0 if none does.
unsigned FirstSeedWithViolation(Variant variant, const std::string& violation) {
  constexpr unsigned kMaxSchedules = 500;
  for (unsigned seed = 1; seed <= kMaxSchedules; ++seed) {
    if (Run(RandomSchedule(seed), variant).contains(violation)) return seed;
  }
  return 0;
}

}  // namespace

// Guards against two changes accepted as one version, accepted changes that are lost or reported as
// failed, replicas whose version decreases and replicas that do not converge, under lost replies,
// delayed writes, outages and restored backups of the store.
TEST_CASE("publishers and replicas keep their invariants on generated schedules", "[config]") {
  REQUIRE(rc::check("configuration schedules", [] {
    const auto schedule = *rc::gen::container<std::vector<std::uint32_t>>(
        *rc::gen::inRange<std::size_t>(0, 300), rc::gen::arbitrary<std::uint32_t>());
    const auto violations = Run(schedule, Variant::kCorrect);
    for (const auto& violation : violations) RC_LOG() << violation << '\n';
    RC_ASSERT(violations.empty());
  }));
  constexpr unsigned kSchedules = 3000;
  std::size_t accepted = 0;
  for (unsigned seed = 1; seed <= kSchedules; ++seed) {
    Cluster cluster(Variant::kCorrect);
    for (auto code : RandomSchedule(seed)) cluster.Step(code);
    cluster.RunToCompletion();
    CAPTURE(seed, cluster.Violations());
    REQUIRE(cluster.Violations().empty());
    accepted += cluster.AcceptedCount();
  }
  // Guards against schedules in which no change is accepted, which would check nothing.
  REQUIRE(accepted > kSchedules);
}

// Guards against checks that cannot fail: each injected bug must be detected.
TEST_CASE("schedules detect injected bugs", "[config]") {
  REQUIRE(FirstSeedWithViolation(Variant::kBlindRetry, "two changes accepted as one version") > 0);
  REQUIRE(FirstSeedWithViolation(Variant::kBlindRetry, "accepted change was lost") > 0);
  REQUIRE(FirstSeedWithViolation(Variant::kAcceptLowerVersion, "a replica's version decreased") >
          0);
}

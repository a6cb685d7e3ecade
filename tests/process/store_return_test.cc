#include "process/store_return_fixture.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)
using vanilladeck::standins::MetadataStore;

// Guards against gateways that take a policy, or a server's leaving, for outdated because the store
// gives it a revision below the lost ones after its return (CONFIG, DRAIN).
TEST_CASE("a policy and a leaving after the store's return from a copy are known in time",
          "[process]") {
  Fleet fleet({});
  WriteWhatIsLost(fleet);
  LoseStoreAndWait(fleet);
  fleet.RunFor(kAfterReturn);
  CheckPolicyAndLeaving(fleet, 0);
  CheckFleet(fleet);
}

// Guards against gateways that use servers again because the copy has them as ready (DRAIN).
TEST_CASE("a server that left before the store's loss gets nothing after its return", "[process]") {
  Fleet fleet({});
  fleet.RunFor(kBeforeWrites + kCopyAge);
  fleet.server(0).Drain();
  fleet.server(1).Drain();
  fleet.server(2).Remove();
  fleet.RunFor(Fleet::kDrainBound + milliseconds(500));
  fleet.server(1).End();
  fleet.RunFor(milliseconds(500));
  const auto lost = Clock::now();
  LoseStoreAndWait(fleet);
  REQUIRE(fleet.store().data().Find(fleet.server(1).Key()) != nullptr);
  fleet.RunFor(kRest);
  for (const std::size_t server : {0, 1, 2}) {
    INFO("server " << server);
    CHECK(RunsAfter(fleet.records(), server, lost) == 0);
  }
  CheckFleet(fleet);
}

// Guards against gateways whose records, and leases, are lost with the store's last seconds: other
// instances would not name them in lookups.
TEST_CASE("gateways write their records again after the store's return", "[process]") {
  Fleet fleet({});
  fleet.RunFor(kBeforeWrites);
  // The copy is older than the gateways.
  const auto age = std::chrono::duration_cast<milliseconds>(
      Clock::now() - fleet.records().gateways[0][0].started + milliseconds(50));
  LoseStoreAndWait(fleet, age);
  REQUIRE(fleet.GatewaysWithoutRecord().size() == fleet.gateway_count());
  CHECK(fleet.RunUntil(Fleet::kRewriteTime, [&] { return fleet.GatewaysWithoutRecord().empty(); }));
  fleet.RunFor(kRest);
  CheckFleet(fleet);
}

// Guards against gateways that break promises because no watch succeeds, although the store loses
// nothing.
TEST_CASE("a store that answers each watch with 410 and loses nothing breaks no rule",
          "[process]") {
  Fleet fleet({});
  fleet.store().behavior.keeps_history = false;
  WriteWhatIsLost(fleet);
  CheckPolicyAndLeaving(fleet, 0);
  CheckFleet(fleet);
}

// Guards against gateways that take the second return for the first one, or give up what they keep
// for the first return.
TEST_CASE("two returns of the store within a second lose no promise", "[process]") {
  Fleet fleet({});
  WriteWhatIsLost(fleet);
  LoseStoreAndWait(fleet);
  fleet.RunFor(milliseconds(1000));
  // The second copy is from between the first loss and the return.
  const milliseconds second_age = GENERATE(milliseconds(500), milliseconds(4000));
  LoseStoreAndWait(fleet, second_age);
  fleet.RunFor(kAfterReturn);
  CheckPolicyAndLeaving(fleet, 1);
  CheckFleet(fleet);
}

// Guards against a gateway that learns of the return, and of what is written after it, only from
// the store itself.
TEST_CASE("a gateway that the store refuses after its return learns of it from others",
          "[process]") {
  Fleet fleet({});
  WriteWhatIsLost(fleet);
  fleet.store().SetAccess(0, MetadataStore::Access::kRefused);
  LoseStoreAndWait(fleet);
  fleet.RunFor(kAfterReturn);
  CheckPolicyAndLeaving(fleet, 0);
  fleet.store().SetAccess(0, MetadataStore::Access::kServed);
  fleet.RunFor(kAfterReturn);
  CheckFleet(fleet);
}

namespace {

constexpr std::size_t kStarted = 2;  // The gateway that starts after the return.

FleetOptions LateOperator() {
  FleetOptions options;
  options.operator_pause = Fleet::kRewriteTime;
  return options;
}

/// A policy and the leaving of server 0 are lost, and a gateway starts with nothing but the copy.
/// Returns when it was started.
Clock::time_point StartAfterReturn(Fleet& fleet) {
  fleet.RunFor(kBeforeWrites + kCopyAge);
  fleet.SendPolicy();
  fleet.server(0).Drain();
  fleet.RunFor(Fleet::kDrainBound);
  fleet.server(0).End();
  fleet.RunFor(milliseconds(500));
  fleet.Kill(kStarted);
  LoseStoreAndWait(fleet);
  REQUIRE(fleet.HasEnded(kStarted));
  const auto started = Clock::now();
  fleet.StartGateway(kStarted);
  fleet.RunFor(kRest);
  return started;
}

}  // namespace

// Guards against an instance that knows nothing but the copy, and puts the copy's policy in force
// although other instances know a newer one.
TEST_CASE("a gateway that starts after the store's return takes the policy of others",
          "[process]") {
  Fleet fleet(LateOperator());
  const auto started = StartAfterReturn(fleet);
  const auto moved = fleet.MovedSince(started, kStarted);
  CHECK(moved.requests > 0);
  CHECK(moved.other_service == 0);
  CHECK(fleet.Readiness(kStarted) == 200);
}

// Guards against an instance that knows nothing but the copy, and uses a server that the copy has
// as ready although other instances know that it has left.
TEST_CASE("a gateway that starts after the store's return uses no server that others know left",
          "[process]") {
  Fleet fleet(LateOperator());
  const auto started = StartAfterReturn(fleet);
  CHECK(RunsAfter(fleet.records(), 0, started) == 0);
  const Breaches breaches = FindBreaches(fleet.records());
  INFO(breaches.Text());
  CHECK(breaches.None());
  if (!breaches.None()) fleet.KeepLogs("start-after-return");
}

// Guards against lookups that send clients to a stopped gateway since the copy has its record.
TEST_CASE("lookups name no gateway that stopped before the store's loss", "[process]") {
  constexpr std::size_t kStopped = 2;
  Fleet fleet({});
  fleet.RunFor(kBeforeWrites + kCopyAge);
  REQUIRE(fleet.LookupNames(0, kStopped));
  fleet.Terminate(kStopped);
  REQUIRE(fleet.RunUntil(Fleet::kStopGrace, [&] { return fleet.HasEnded(kStopped); }));
  // The copy is from before the signal.
  const auto age = std::chrono::duration_cast<milliseconds>(
      Clock::now() - *fleet.records().gateways[kStopped].back().terminated + milliseconds(100));
  LoseStoreAndWait(fleet, age);
  REQUIRE(fleet.GatewaysWithoutRecord().empty());
  std::size_t answers = 0;
  std::size_t named = 0;
  (void)fleet.RunUntil(kRest, [&] {
    for (const std::size_t asked : {0, 1}) {
      answers += fleet.LookupNames(asked, asked);
      named += fleet.LookupNames(asked, kStopped);
    }
    return false;
  });
  CHECK(answers > 0);
  CHECK(named == 0);
}

#include <catch2/catch.hpp>

#include "process/fleet.h"
#include "process/fleet_checks.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)
using vanilladeck::standins::MetadataStore;

namespace {

// The drill of the incident's first runs: silent for 1 s, back from a copy 6 s old.
constexpr milliseconds kSilence{1000};
constexpr milliseconds kCopyAge{6000};
// From the start of traffic to the first writes that are lost.
constexpr milliseconds kBeforeWrites{3000};
// When the operator or a server acts after the return: what was lost is written again by then.
constexpr milliseconds kAfterReturn = Fleet::kRewriteTime;
// Until the end of a run after what it examines, longer than the bounds.
constexpr milliseconds kRest{6000};
// Writes before the loss, far more than there are until the end of a run.
constexpr int kWrites = 100;

/// Lets the store's revision rise by writes of an operator that change nothing, within 4 s.
void RaiseRevision(Fleet& fleet) {
  constexpr milliseconds kPause{35};
  constexpr const char* kKey = "op/evacuate/no-such-zone";
  for (int i = 0; i < kWrites; ++i) {
    REQUIRE(fleet.store().Put(kKey, std::to_string(i)));
    fleet.RunFor(kPause);
  }
  REQUIRE(fleet.store().Remove(kKey));
}

void LoseStoreAndWait(Fleet& fleet, milliseconds age = kCopyAge) {
  const auto era = fleet.store().era();
  fleet.LoseStore(kSilence, age);
  REQUIRE(fleet.RunUntil(2 * kSilence, [&] { return fleet.store().era() > era; }));
}

/// Sends a policy and lets a server report that it leaves. Checks that the policy is in force at
/// each gateway within its bound, and that the server gets no request later than its own.
void CheckPolicyAndLeaving(Fleet& fleet, std::size_t leaving_server) {
  constexpr std::size_t kLeastRequests = 50;
  fleet.SendPolicy();
  fleet.server(leaving_server).Drain();
  const FleetRecords& records = fleet.records();
  REQUIRE(records.versions.back().acknowledged);
  REQUIRE(records.servers[leaving_server].back().leaving_acknowledged);
  const auto in_force = *records.versions.back().acknowledged + Fleet::kConfigBound;
  const auto left = *records.servers[leaving_server].back().leaving_acknowledged;
  fleet.RunFor(kRest);
  for (std::size_t i = 0; i < fleet.gateway_count(); ++i) {
    const auto moved = fleet.MovedSince(in_force, i);
    INFO("gateway " << i + 1 << ", requests by an older policy " << moved.other_service << " of "
                    << moved.requests);
    CHECK(moved.requests > kLeastRequests);
    CHECK(moved.other_service == 0);
  }
  CHECK(RunsAfter(records, leaving_server, left + Fleet::kDrainBound) == 0);
}

/// Checks the rules over the whole run, and that all gateways serve.
void CheckFleet(Fleet& fleet) {
  CHECK(fleet.GatewaysWithoutRecord().empty());
  for (std::size_t i = 0; i < fleet.gateway_count(); ++i) {
    CHECK_FALSE(fleet.HasEnded(i));
    CHECK(fleet.Readiness(i) == 200);
  }
  const Breaches breaches = FindBreaches(fleet.records());
  INFO(breaches.Text() << "largest delay of the test process "
                       << fleet.records().largest_delay.count() << " ms");
  CHECK(breaches.None());
  // Nothing but the store was impaired, which excuses no failed request.
  CHECK(fleet.FailedRequests() == 0);
}

/// A policy and the entries of two servers are among what is lost.
void WriteWhatIsLost(Fleet& fleet) {
  fleet.RunFor(kBeforeWrites);
  RaiseRevision(fleet);
  fleet.SendPolicy();
  fleet.server(0).ChangeSlots();
  fleet.server(1).ChangeSlots();
  // Gateways ask for changes each second.
  constexpr milliseconds kUntilKnown{1500};
  fleet.RunFor(kUntilKnown);
}

}  // namespace

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

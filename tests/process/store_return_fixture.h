#pragma once

#include <catch2/catch.hpp>

#include "process/fleet.h"
#include "process/fleet_checks.h"

namespace vanilladeck::process {

// The drill of the incident's first runs: silent for 1 s, back from a copy 6 s old.
inline constexpr milliseconds kSilence{1000};
inline constexpr milliseconds kCopyAge{6000};
// From the start of traffic to the first writes that are lost.
inline constexpr milliseconds kBeforeWrites{3000};
// When the operator or a server acts after the return: what was lost is written again by then.
inline constexpr milliseconds kAfterReturn = Fleet::kRewriteTime;
// Until the end of a run after what it examines, longer than the bounds.
inline constexpr milliseconds kRest{6000};
// Writes before the loss, far more than there are until the end of a run.
inline constexpr int kWrites = 100;

/// Lets the store's revision rise by writes of an operator that change nothing, within 4 s.
inline void RaiseRevision(Fleet& fleet) {
  constexpr milliseconds kPause{35};
  constexpr const char* kKey = "op/evacuate/no-such-zone";
  for (int i = 0; i < kWrites; ++i) {
    REQUIRE(fleet.store().Put(kKey, std::to_string(i)));
    fleet.RunFor(kPause);
  }
  REQUIRE(fleet.store().Remove(kKey));
}

inline void LoseStoreAndWait(Fleet& fleet, milliseconds age = kCopyAge) {
  const auto era = fleet.store().era();
  fleet.LoseStore(kSilence, age);
  REQUIRE(fleet.RunUntil(2 * kSilence, [&] { return fleet.store().era() > era; }));
}

/// Sends a policy and lets a server report that it leaves. Checks that the policy is in force at
/// each gateway within its bound, and that the server gets no request later than its own.
inline void CheckPolicyAndLeaving(Fleet& fleet, std::size_t leaving_server) {
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
inline void CheckFleet(Fleet& fleet) {
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
inline void WriteWhatIsLost(Fleet& fleet) {
  fleet.RunFor(kBeforeWrites);
  RaiseRevision(fleet);
  fleet.SendPolicy();
  fleet.server(0).ChangeSlots();
  fleet.server(1).ChangeSlots();
  // Gateways ask for changes each second.
  constexpr milliseconds kUntilKnown{1500};
  fleet.RunFor(kUntilKnown);
}

}  // namespace vanilladeck::process

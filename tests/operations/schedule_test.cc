#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <iostream>

#include "operations/simulated_domain.h"

namespace vanilladeck::testing {
namespace {

constexpr int kActiveMs = 25'000;

const std::vector<FaultKind> all_fault_kinds{FaultKind::kKill,       FaultKind::kPause,
                                             FaultKind::kStoreDown,  FaultKind::kStoreSlow,
                                             FaultKind::kStoreLossy, FaultKind::kLoseReplies};

rc::Gen<Fault> FaultGen(const std::vector<FaultKind>& kinds) {
  return rc::gen::build<Fault>(rc::gen::set(&Fault::kind, rc::gen::elementOf(kinds)),
                               rc::gen::set(&Fault::node, rc::gen::inRange<std::size_t>(0, 3)),
                               rc::gen::set(&Fault::at_ms, rc::gen::inRange(0, kActiveMs)),
                               rc::gen::set(&Fault::for_ms, rc::gen::inRange(50, 9'000)));
}

struct Schedule {
  std::uint64_t seed = 0;
  std::vector<Fault> faults;
};

std::ostream& operator<<(std::ostream& out, const Schedule& schedule) {
  constexpr std::array<const char*, 6> kNames{"kill",       "pause",       "store down",
                                              "store slow", "store lossy", "lose replies"};
  out << "seed " << schedule.seed;
  for (const auto& fault : schedule.faults) {
    out << "; " << kNames.at(static_cast<std::size_t>(fault.kind)) << " node " << fault.node
        << " at " << fault.at_ms << " ms for " << fault.for_ms << " ms";
  }
  return out;
}

rc::Gen<Schedule> ScheduleGen(const std::vector<FaultKind>& kinds = all_fault_kinds) {
  return rc::gen::build<Schedule>(
      rc::gen::set(&Schedule::seed, rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())),
      rc::gen::set(&Schedule::faults, rc::gen::container<std::vector<Fault>>(FaultGen(kinds))));
}

std::string RunSchedule(const Schedule& schedule, Variant variant, bool leases) {
  SimulatedDomain domain(schedule.seed, 3, variant, leases);
  domain.Run(8'000);
  domain.Inject(schedule.faults);
  domain.StartClients(40, 160, kActiveMs);
  domain.Run(kActiveMs);
  return domain.CheckInvariants();
}

/// Runs generated schedules against a broken variant; returns the number that reported a violation.
int CountViolations(Variant variant, bool leases, const std::vector<FaultKind>& kinds) {
  constexpr int kSchedules = 200;
  int reports = 0;
  for (int i = 0; i < kSchedules; ++i) {
    const auto schedule =
        ScheduleGen(kinds)(rc::Random(static_cast<std::uint64_t>(i)), rc::kNominalSize).value();
    const auto report = RunSchedule(schedule, variant, leases);
    if (!report.empty() && reports++ == 0) std::cout << "first violation: " << report << '\n';
  }
  std::cout << reports << " of " << kSchedules << " schedules reported a violation\n";
  return reports;
}

}  // namespace

// Guards against running an operation twice, running one that was reported as not run, losing a
// confirmed one, and keys that remain in progress forever.
TEST_CASE("operations run at most once under generated faults", "[operations]") {
  REQUIRE(rc::check("at most one run per key, confirmed answers kept", [] {
    const auto schedule = *ScheduleGen();
    const auto report = RunSchedule(schedule, Variant::kCorrect, true);
    if (!report.empty()) RC_FAIL(report);
  }));
}

// Guards against safety that depends on leases: an owner that is never told that it was replaced
// must be stopped by the log.
TEST_CASE("log fences former owners without leases", "[operations]") {
  REQUIRE(rc::check("at most one run per key without leases", [] {
    const auto schedule = *ScheduleGen();
    const auto report = RunSchedule(schedule, Variant::kCorrect, false);
    if (!report.empty()) RC_FAIL(report);
  }));
}

// Guards against an invariant check that misses a run before its claim is durable.
TEST_CASE("invariant check reports a run before the claim is durable", "[operations]") {
  REQUIRE(CountViolations(Variant::kGrantBeforeDurable, true, all_fault_kinds) > 0);
}

// Guards against an invariant check that misses a lost write that is repeated at another SEQ.
TEST_CASE("invariant check reports a blind repeat at the next SEQ", "[operations]") {
  REQUIRE(CountViolations(Variant::kBlindRepeatAtNextSeq, false,
                          {FaultKind::kPause, FaultKind::kStoreLossy}) > 0);
}

}  // namespace vanilladeck::testing

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <iostream>

#include "operations/world.h"

namespace vanilladeck::testing {
namespace {

constexpr int kActiveMs = 25'000;

const std::vector<FaultKind> all_kinds{FaultKind::kKill,       FaultKind::kPause,
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

rc::Gen<Schedule> ScheduleGen(const std::vector<FaultKind>& kinds = all_kinds) {
  return rc::gen::build<Schedule>(
      rc::gen::set(&Schedule::seed, rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())),
      rc::gen::set(&Schedule::faults, rc::gen::container<std::vector<Fault>>(FaultGen(kinds))));
}

std::string RunSchedule(const Schedule& schedule, Variant variant, bool leases) {
  World world(schedule.seed, 3, variant, leases);
  world.Run(8'000);
  world.Inject(schedule.faults);
  world.StartClients(40, 160, kActiveMs);
  world.Run(kActiveMs);
  return world.Judge();
}

/// Runs generated schedules against a broken variant; returns how many reported a fault.
int CountReports(Variant variant, bool leases, const std::vector<FaultKind>& kinds) {
  constexpr int kSchedules = 200;
  int reports = 0;
  for (int i = 0; i < kSchedules; ++i) {
    const auto schedule =
        ScheduleGen(kinds)(rc::Random(static_cast<std::uint64_t>(i)), rc::kNominalSize).value();
    const auto report = RunSchedule(schedule, variant, leases);
    if (!report.empty() && reports++ == 0) std::cout << "first report: " << report << '\n';
  }
  std::cout << reports << " of " << kSchedules << " schedules reported a fault\n";
  return reports;
}

}  // namespace

// Guards against running an operation twice, running one that was answered not-run, losing a
// confirmed one, and keys that stay in progress for good.
TEST_CASE("operations run at most once under generated faults", "[operations]") {
  REQUIRE(rc::check("at most one run per key, confirmed answers kept", [] {
    const auto schedule = *ScheduleGen();
    const auto report = RunSchedule(schedule, Variant::kCorrect, true);
    if (!report.empty()) RC_FAIL(report);
  }));
}

// Guards against safety that rests on leases: an owner that never learns that it was replaced must
// be stopped by the log.
TEST_CASE("log fences former owners without leases", "[operations]") {
  REQUIRE(rc::check("at most one run per key without leases", [] {
    const auto schedule = *ScheduleGen();
    const auto report = RunSchedule(schedule, Variant::kCorrect, false);
    if (!report.empty()) RC_FAIL(report);
  }));
}

// Guards against a judge that would not notice a run before its claim is durable.
TEST_CASE("judge reports a run before the claim is durable", "[operations]") {
  REQUIRE(CountReports(Variant::kGrantBeforeDurable, true, all_kinds) > 0);
}

// Guards against a judge that would not notice a lost write repeated at another SEQ.
TEST_CASE("judge reports a blind repeat at the next SEQ", "[operations]") {
  REQUIRE(CountReports(Variant::kBlindRepeatAtNextSeq, false,
                       {FaultKind::kPause, FaultKind::kStoreLossy}) > 0);
}

}  // namespace vanilladeck::testing

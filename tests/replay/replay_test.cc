#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "vanilladeck/replay/generator.h"
#include "vanilladeck/replay/report.h"
#include "vanilladeck/replay/simulation.h"
#include "vanilladeck/replay/trace.h"

using namespace vanilladeck::replay;  // NOLINT(google-build-using-namespace): tests of it

namespace {

std::filesystem::path TraceDirectory() {
  return std::filesystem::path(VANILLADECK_SOURCE_DIR) / "tests/traces";
}

Trace LoadTrace(const std::string& name) {
  std::ifstream in(TraceDirectory() / (name + ".jsonl"));
  REQUIRE(in);
  auto trace = ReadTrace(in);
  if (!trace) FAIL(name << ":" << trace.error().line << ": " << trace.error().problem);
  return trace.value();
}

std::vector<std::string> ViolationsOf(const std::string& name, const SimulationOptions& options) {
  const Trace trace = LoadTrace(name);
  return FindViolations(trace, Replay(trace, options).value());
}

bool Contains(const std::vector<std::string>& violations, const std::string& what) {
  return std::ranges::any_of(violations, [&](const auto& it) { return it.starts_with(what); });
}

}  // namespace

// Guards against changes to the decision modules that violate the expectations of a stored trace.
TEST_CASE("stored traces meet their expectations", "[replay]") {
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(TraceDirectory())) {
    ++count;
    const std::string name = file.path().stem().string();
    for (const std::string& it : ViolationsOf(name, {})) FAIL_CHECK(name << ": " << it);
  }
  REQUIRE(count == StandardTraces().size());
}

// Guards against floods that only one scheduler handles.
TEST_CASE("floods meet their expectations with every scheduler", "[replay]") {
  using vanilladeck::config::SchedulerKind;
  for (const char* name : {"flood_bulk", "flood_urgent", "measurements_stop"}) {
    for (auto kind :
         {SchedulerKind::kStrict, SchedulerKind::kWeightedFair, SchedulerKind::kDeadline}) {
      SimulationOptions options;
      options.scheduler = kind;
      for (const std::string& violation : ViolationsOf(name, options)) {
        FAIL_CHECK(name << " with scheduler " << static_cast<int>(kind) << ": " << violation);
      }
    }
  }
}

// Guards against checks that cannot fail: every rule that is broken on purpose must be reported.
TEST_CASE("broken variants are reported as violations", "[replay]") {
  SimulationOptions strict;
  strict.scheduler = vanilladeck::config::SchedulerKind::kStrict;
  strict.without_floors = true;
  CHECK(Contains(ViolationsOf("flood_urgent", strict), "share of bulk"));
  SimulationOptions fcfs;
  fcfs.fcfs_baseline = true;
  CHECK(Contains(ViolationsOf("flood_bulk", fcfs), "urgent p99"));
  CHECK(Contains(ViolationsOf("flood_bulk", fcfs), "share of normal"));
  SimulationOptions seats;
  seats.without_seats = true;
  CHECK(Contains(ViolationsOf("measurements_stop", seats), "starts on a full server"));
  SimulationOptions credits;
  credits.without_credits = true;
  CHECK(Contains(ViolationsOf("region_lost", credits), "shifted requests per second east to west"));
  CHECK(Contains(ViolationsOf("cold_shift", credits), "shifted requests in flight east to west"));
  SimulationOptions leaving;
  leaving.ignore_leaving = true;
  CHECK(Contains(ViolationsOf("planned_drain", leaving), "last start on a leaving server"));
}

// Guards against traces that read back differently, and against truncated traces that are accepted.
TEST_CASE("traces round-trip and parse errors name the line", "[replay]") {
  const Trace trace = StandardTraces().front();
  std::stringstream text;
  WriteTrace(trace, text);
  const std::string first = text.str();
  std::ostringstream second;
  WriteTrace(ReadTrace(text).value(), second);
  REQUIRE(first == second.str());
  for (const char* row :
       {"[1,9,0,5]", "[1,0,3,5]", "[1,0", "{\"at_ms\":1,\"incident\":\"rain\"}"}) {
    std::istringstream broken(first.substr(0, first.find('\n') + 1) + row);
    REQUIRE(ReadTrace(broken).error().line == 2);
  }
}

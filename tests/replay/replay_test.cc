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

std::filesystem::path Folder() {
  return std::filesystem::path(VANILLADECK_SOURCE_DIR) / "tests/traces";
}

Trace Read(const std::string& name) {
  std::ifstream in(Folder() / (name + ".jsonl"));
  REQUIRE(in);
  auto trace = ReadTrace(in);
  if (!trace) FAIL(name << ":" << trace.error().line << ": " << trace.error().problem);
  return trace.value();
}

std::vector<std::string> FaultsOf(const std::string& name, const SimulationOptions& options) {
  const Trace trace = Read(name);
  return Faults(trace, Replay(trace, options).value());
}

bool Reported(const std::vector<std::string>& faults, const std::string& what) {
  return std::ranges::any_of(faults, [&](const auto& it) { return it.starts_with(what); });
}

}  // namespace

// Guards against changes of the decision modules that break an outcome stated for a recorded trace.
TEST_CASE("recorded traces meet their stated outcomes", "[replay]") {
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(Folder())) {
    ++count;
    const std::string name = file.path().stem().string();
    for (const std::string& fault : FaultsOf(name, {})) FAIL_CHECK(name << ": " << fault);
  }
  REQUIRE(count == StandardTraces().size());
}

// Guards against floods that only one scheduler withstands.
TEST_CASE("floods meet their outcomes with every scheduler", "[replay]") {
  using vanilladeck::config::SchedulerKind;
  for (const char* name : {"flood_bulk", "flood_urgent", "measurements_stop"}) {
    for (auto kind :
         {SchedulerKind::kStrict, SchedulerKind::kWeightedFair, SchedulerKind::kDeadline}) {
      SimulationOptions options;
      options.scheduler = kind;
      for (const std::string& fault : FaultsOf(name, options)) {
        FAIL_CHECK(name << " with scheduler " << static_cast<int>(kind) << ": " << fault);
      }
    }
  }
}

// Guards against checks that cannot fail: each rule broken on purpose must be reported.
TEST_CASE("broken variants are reported as faults", "[replay]") {
  SimulationOptions strict;
  strict.scheduler = vanilladeck::config::SchedulerKind::kStrict;
  strict.without_floors = true;
  CHECK(Reported(FaultsOf("flood_urgent", strict), "share of bulk"));
  SimulationOptions first_come;
  first_come.first_come = true;
  CHECK(Reported(FaultsOf("flood_bulk", first_come), "urgent p99"));
  CHECK(Reported(FaultsOf("flood_bulk", first_come), "share of normal"));
  SimulationOptions seats;
  seats.without_seats = true;
  CHECK(Reported(FaultsOf("measurements_stop", seats), "starts on a full server"));
  SimulationOptions credits;
  credits.without_credits = true;
  CHECK(Reported(FaultsOf("region_lost", credits), "shifted requests per second east to west"));
  CHECK(Reported(FaultsOf("cold_shift", credits), "shifted requests in flight east to west"));
  SimulationOptions leaving;
  leaving.ignore_leaving = true;
  CHECK(Reported(FaultsOf("planned_drain", leaving), "last start on a leaving server"));
}

// Guards against a trace that is read differently from what was written, or silently cut.
TEST_CASE("traces survive writing and reading, errors name the line", "[replay]") {
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

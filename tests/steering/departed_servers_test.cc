#include "vanilladeck/steering/departed_servers.h"

#include <catch2/catch.hpp>

namespace vanilladeck::steering {
namespace {

using namespace std::chrono_literals;
using Verdict = DepartedServers::Verdict;

struct Fixture {
  /// The server of `report` leaves the list in era 1.
  void Remove(bool draining = false) {
    Server server;
    server.report = report;
    server.draining = draining;
    departed.OnRemoved(server, 1, now);
  }
  Verdict Report(std::int64_t born_ms, std::int64_t sequence, store::Era era) {
    ServerReport it = report;
    it.born_ms = born_ms;
    it.sequence = sequence;
    return departed.OnReport(it, era, now);
  }

  DepartedServers departed;
  ServerReport report{"i-1", 100, "pictures", "127.0.0.1:1", "east-a", 1, {}, 5, {}};
  core::TimePoint now{100s};
};

// Guards against requests to a server that left, after a copy of the store lists it again.
TEST_CASE("a report of a departed server that is not newer is outdated in a later era") {
  Fixture f;
  f.Remove();
  CHECK(f.Report(100, 4, 2) == Verdict::kOutdated);
  CHECK(f.Report(100, 5, 2) == Verdict::kOutdated);
  CHECK(f.Report(99, 6, 2) == Verdict::kOutdated);
  // Judging an outdated report does not end the memory.
  CHECK(f.Report(100, 5, 3) == Verdict::kOutdated);
}

// Guards against a live server that gets no requests because its entry was missing for a while.
TEST_CASE("a newer report of a departed server is used") {
  Fixture f;
  f.Remove();
  SECTION("a higher sequence") { CHECK(f.Report(100, 6, 2) == Verdict::kNew); }
  SECTION("a later start") { CHECK(f.Report(101, 1, 2) == Verdict::kNew); }
  SECTION("the same era") { CHECK(f.Report(100, 5, 1) == Verdict::kNew); }
  CHECK(f.departed.size() == 0);
}

// Guards against requests to a server that had reported that it leaves.
TEST_CASE("a departed server that was draining stays draining in its lifetime") {
  Fixture f;
  f.Remove(true);
  SECTION("a higher sequence") { CHECK(f.Report(100, 6, 2) == Verdict::kLeaving); }
  SECTION("a later start") { CHECK(f.Report(101, 6, 2) == Verdict::kNew); }
  SECTION("the same era") { CHECK(f.Report(100, 6, 1) == Verdict::kNew); }
}

// Guards against a restarted server without a start time that is taken for its predecessor.
TEST_CASE("without a start time the place tells the lifetimes of a departed server apart") {
  Fixture f;
  f.report.born_ms = 0;
  f.Remove();
  CHECK(f.Report(0, 5, 2) == Verdict::kOutdated);
  f.report.address = "127.0.0.1:2";
  CHECK(f.Report(0, 1, 2) == Verdict::kNew);
}

// Guards against a memory that grows without bound, or that excludes a server for ever.
TEST_CASE("departed servers are forgotten") {
  Fixture f;
  SECTION("after some time") {
    f.Remove();
    f.now += DepartedServers::kMemory + 1ms;
    CHECK(f.Report(100, 5, 2) == Verdict::kNew);
  }
  SECTION("the oldest first") {
    f.Remove();
    f.now += 1s;
    for (std::size_t i = 0; i < DepartedServers::kMaxServers; ++i) {
      f.report.id = "s-" + std::to_string(i);
      f.Remove();
    }
    CHECK(f.departed.size() == DepartedServers::kMaxServers);
    CHECK(f.departed.Find("i-1") == nullptr);
    CHECK(f.departed.Find("s-0") != nullptr);
  }
}

}  // namespace
}  // namespace vanilladeck::steering

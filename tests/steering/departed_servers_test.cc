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

DepartedServers::Departure Stated(std::int64_t born_ms, std::int64_t sequence) {
  DepartedServers::Departure it;
  it.server = "i-1";
  it.service = "pictures";
  it.address = "127.0.0.1:1";
  it.failure_domain = "east-a";
  it.born_ms = born_ms;
  it.sequence = sequence;
  it.era = 1;
  it.at = core::TimePoint{100s};
  return it;
}

// Guards against requests to a server whose leaving only another instance has read.
TEST_CASE("reports are judged by what another instance stated") {
  Fixture f;
  f.departed.OnStated(Stated(100, 5), f.now);
  SECTION("not newer") { CHECK(f.Report(100, 5, 2) == Verdict::kOutdated); }
  SECTION("an earlier lifetime") { CHECK(f.Report(99, 6, 2) == Verdict::kOutdated); }
  SECTION("newer") { CHECK(f.Report(100, 6, 2) == Verdict::kNew); }
  SECTION("another lifetime") { CHECK(f.Report(101, 1, 2) == Verdict::kNew); }
  SECTION("of the era of the removal") { CHECK(f.Report(100, 5, 1) == Verdict::kNew); }
  SECTION("after it is forgotten") {
    f.now += DepartedServers::kMemory + 1ms;
    CHECK(f.Report(100, 5, 2) == Verdict::kNew);
  }
}

// Guards against a server that leaves and is not listed as such, or that counts as gone before it
// has left.
TEST_CASE("a server that another instance lists as draining is draining in its lifetime") {
  Fixture f;
  auto stated = Stated(100, 5);
  stated.draining = true;
  stated.listed = true;
  stated.era = 0;
  f.departed.OnStated(stated, f.now);
  SECTION("a report that is not newer") { CHECK(f.Report(100, 4, 1) == Verdict::kLeaving); }
  SECTION("a newer report") { CHECK(f.Report(100, 6, 1) == Verdict::kLeaving); }
  SECTION("a later start") { CHECK(f.Report(101, 1, 1) == Verdict::kNew); }
}

// Guards against an instance that hears of a departure last from one that knows less of it.
TEST_CASE("of two statements about a server the one with the later report counts") {
  const bool reversed = GENERATE(false, true);
  Fixture f;
  auto draining = Stated(100, 5);
  draining.draining = true;
  draining.listed = true;
  std::vector<DepartedServers::Departure> statements;
  SECTION("a later report") { statements = {Stated(100, 4), Stated(100, 5)}; }
  SECTION("a later start") { statements = {Stated(99, 9), Stated(100, 5)}; }
  SECTION("it has left after it was draining") { statements = {draining, Stated(100, 5)}; }
  SECTION("another lifetime without a start time") {
    // Their order is not known: the first statement counts.
    statements = {Stated(0, 7), Stated(0, 8)};
    statements[1].address = "127.0.0.1:2";
    for (const auto& it : statements) f.departed.OnStated(it, f.now);
    CHECK(f.departed.Find("i-1")->sequence == 7);
    return;
  }
  if (reversed) std::swap(statements[0], statements[1]);
  for (const auto& it : statements) f.departed.OnStated(it, f.now);
  CHECK(f.departed.Find("i-1")->born_ms == 100);
  CHECK(f.departed.Find("i-1")->sequence == 5);
  CHECK_FALSE(f.departed.Find("i-1")->listed);
}

// Guards against messages that grow with the number of departures, or that state those of which the
// store itself tells.
TEST_CASE("the newest departures of earlier eras are stated") {
  Fixture f;
  for (int i = 0; i < 4; ++i) {
    f.report.id = "i-" + std::to_string(i);
    f.Remove();
    f.now += 1s;
  }
  CHECK(f.departed.Before(1, 9, f.now).empty());
  CHECK(f.departed.Before(2, 9, f.now).size() == 4);
  const auto newest = f.departed.Before(2, 2, f.now);
  REQUIRE(newest.size() == 2);
  CHECK(newest[0].server == "i-3");
  CHECK(newest[1].server == "i-2");
  CHECK(f.departed.Before(2, 9, f.now + DepartedServers::kMemory).empty());
}

}  // namespace
}  // namespace vanilladeck::steering

#include "vanilladeck/admission/server_pool.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "vanilladeck/admission/seat_share.h"

using namespace vanilladeck::admission;  // NOLINT(google-build-using-namespace): tests of it
using std::chrono::milliseconds;
using std::chrono::seconds;
using vanilladeck::config::Place;
using vanilladeck::core::Duration;
using vanilladeck::core::TimePoint;

namespace {

TimePoint At(Duration since_start) { return TimePoint(std::chrono::hours(1) + since_start); }

constexpr std::uint32_t kSlots = 6;

Place MakePlace() { return {"east-a", 3, kSlots, 30}; }

std::vector<ListedServer> Servers(int count) {
  std::vector<ListedServer> servers;
  servers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) servers.push_back({"10.0.0." + std::to_string(i) + ":80"});
  return servers;
}

ServerPool Make(std::vector<std::uint32_t> seats, std::uint32_t seat_count, int servers) {
  ServerPool pool = ServerPool::Create(MakePlace(), seat_count).value();
  pool.SetSeats(std::move(seats), At(seconds(1000)));
  pool.SetServers(Servers(servers), At({}));
  return pool;
}

/// Starts requests until the pool refuses.
std::vector<std::string> Fill(ServerPool& pool, TimePoint now) {
  std::vector<std::string> picks;
  while (auto pick = pool.Pick(now)) picks.push_back(pick.value());
  return picks;
}

}  // namespace

// Guards against shares of a server's slots that overlap or leave slots unassigned.
TEST_CASE("seat shares sum to the slots of each server", "[admission]") {
  REQUIRE(rc::check("sum of seat shares", [] {
    const auto total = *rc::gen::inRange<std::uint32_t>(0, 400);
    const auto seats = *rc::gen::inRange<std::uint32_t>(1, 20);
    const auto address = *rc::gen::arbitrary<std::string>();
    std::uint32_t sum = 0;
    for (std::uint32_t seat = 0; seat < seats; ++seat) {
      const std::uint32_t share = SeatShare(total, address, seat, seats);
      RC_ASSERT(share <= total / seats + 1);
      sum += share;
    }
    RC_ASSERT(sum == total);
  }));
}

// Guards against overload of a server by instances with different lists, for any load reports.
TEST_CASE("instances together never exceed the slots of a server", "[admission]") {
  REQUIRE(rc::check("slots under any schedule", [] {
    const auto seats = *rc::gen::inRange<std::uint32_t>(1, 5);
    std::vector<ServerPool> pools;
    std::mt19937 random(*rc::gen::inRange(1U, 1000U));
    for (std::uint32_t seat = 0; seat < seats; ++seat) {
      pools.push_back(Make({seat}, seats, 0));
      auto servers = Servers(4);
      std::ranges::shuffle(servers, random);
      pools.back().SetServers(servers, At({}));
    }
    std::map<std::string, std::uint32_t> running;
    std::vector<std::multiset<std::string>> own(seats);
    Duration now{0};
    for (int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 12))) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      const auto k = static_cast<std::size_t>(*rc::gen::inRange<std::uint32_t>(0, seats));
      const std::string server = "10.0.0." + std::to_string(*rc::gen::inRange(0, 4)) + ":80";
      if (step < 6) {
        const auto pick = pools[k].Pick(At(now));
        if (!pick) continue;
        RC_ASSERT(++running[pick.value()] <= kSlots);
        own[k].insert(pick.value());
      } else if (step < 9 && !own[k].empty()) {
        const std::string ended = *own[k].begin();
        own[k].erase(own[k].begin());
        --running[ended];
        pools[k].OnFinished(ended, static_cast<FinishKind>(*rc::gen::inRange(0, 6)), At(now));
      } else if (step == 9) {
        pools[k].OnLoadReport(server, *rc::gen::inRange(0U, 9U), At(now));
      } else if (step == 10) {
        pools[k].SetServers(Servers(*rc::gen::inRange(0, 5)), At(now));
      } else {
        pools[k].OnHealth(server, static_cast<HealthState>(*rc::gen::inRange(0, 3)), At(now));
        pools[k].Tick(At(now));
      }
      RC_ASSERT(pools[k].InFlight() == own[k].size());
    }
  }));
}

// Guards against load reports that make a busy server look idle.
TEST_CASE("missing, repeated and impossible reports never lower the load", "[admission]") {
  ServerPool pool = Make({0, 1}, 2, 1);
  const std::string server = "10.0.0.0:80";
  pool.OnLoadReport(server, 4, At({}));
  REQUIRE(Fill(pool, At({})).size() == 2);
  pool.OnLoadReport(server, 0, At(milliseconds(500)));
  REQUIRE_FALSE(pool.Pick(At(milliseconds(500))));
  pool.OnLoadReport(server, 5, At(milliseconds(600)));  // Two own requests, three of others.
  REQUIRE(Fill(pool, At(milliseconds(600))).size() == 1);
  pool.OnLoadReport(server, 5, At(milliseconds(1100)));
  REQUIRE_FALSE(pool.Pick(At(milliseconds(1100))));
  REQUIRE_FALSE(pool.Pick(At(seconds(100))));
  REQUIRE(pool.Measured(At(seconds(3))));
  REQUIRE_FALSE(pool.Measured(At(seconds(4))));
  pool.OnLoadReport(server, 4, At(seconds(100)));
  REQUIRE(pool.FreeSlots(At(seconds(100))) == 2);
}

// Guards against a limit that falls with every report that was taken before own requests ended.
TEST_CASE("a delayed report does not count ended own requests as others'", "[admission]") {
  ServerPool pool = Make({0}, 2, 1);
  REQUIRE(Fill(pool, At({})).size() == 3);
  for (int i = 0; i < 2; ++i) pool.OnFinished("10.0.0.0:80", FinishKind::kCancelled, At({}));
  pool.OnLoadReport("10.0.0.0:80", 6, At({}));  // Then three own and three of the other seat.
  REQUIRE(Fill(pool, At({})).size() == 2);
}

// Guards against a faulty load endpoint that takes a working server out of use, and against
// ignoring the report when the server sheds.
TEST_CASE("successful requests override a report of a full server until it sheds", "[admission]") {
  ServerPool pool = Make({0}, 2, 1);
  const std::string server = "10.0.0.0:80";
  pool.OnLoadReport(server, 6, At({}));
  REQUIRE(pool.UsableSlots() == 1);
  for (int i = 0; i < 8; ++i) {
    REQUIRE(pool.Pick(At({})));
    pool.OnFinished(server, FinishKind::kSuccess, At({}));
    pool.OnLoadReport(server, 6, At({}));
  }
  REQUIRE(pool.UsableSlots() == 3);
  REQUIRE(pool.Pick(At({})));
  pool.OnFinished(server, FinishKind::kShed, At({}));
  REQUIRE(pool.UsableSlots() == 1);
}

// Guards against dispatch by an instance whose seat expired while it was paused.
TEST_CASE("no dispatch after the seats expired", "[admission]") {
  ServerPool pool = Make({0}, 2, 2);
  pool.SetSeats({0}, At(seconds(3)));
  REQUIRE(pool.Pick(At(seconds(2))));
  REQUIRE(pool.Pick(At(seconds(3))).error().code == PickErrorCode::kSeatExpired);
  REQUIRE(pool.FreeSlots(At(seconds(3))) == 0);
}

// Guards against requests to a leaving server after a late "healthy" response or an old list.
TEST_CASE("leaving is sticky until a new process answers", "[admission]") {
  ServerPool pool = Make({0}, 1, 2);
  const std::string server = "10.0.0.0:80";
  const std::vector<ListedServer> without{{"10.0.0.1:80"}};
  while (pool.InFlight(server) == 0) REQUIRE(pool.Pick(At({})));
  pool.OnLeaving(server);
  pool.SetServers(Servers(2), At(seconds(1)));
  pool.OnHealth(server, HealthState::kHealthy, At(seconds(1)));
  for (const auto& pick : Fill(pool, At(seconds(1)))) REQUIRE(pick != server);
  REQUIRE_FALSE(pool.Drained(server));
  pool.OnFinished(server, FinishKind::kSuccess, At(seconds(2)));
  REQUIRE(pool.Drained(server));
  using Picks = std::vector<std::string>;
  SECTION("restarted at the same address while listed") {
    REQUIRE(pool.ProbesDue(At(seconds(3))).size() == 1);
    pool.OnHealth(server, HealthState::kUnreachable, At(seconds(3)));
    pool.OnHealth(server, HealthState::kHealthy, At(seconds(4)));
    REQUIRE(Fill(pool, At(seconds(4))) == Picks{server});  // Cold: one at a time.
  }
  SECTION("listed again after it was removed") {
    pool.SetServers(without, At(seconds(3)));
    REQUIRE(pool.Addresses() == Picks{"10.0.0.1:80"});
    pool.SetServers(Servers(2), At(seconds(4)));
    REQUIRE_FALSE(pool.Pick(At(seconds(4))));
    pool.OnHealth(server, HealthState::kHealthy, At(seconds(5)));
    REQUIRE(Fill(pool, At(seconds(5))) == Picks{server});
  }
}

// Guards against an outage of a service when the platform's list is empty by mistake.
TEST_CASE("an empty list keeps the known servers", "[admission]") {
  ServerPool pool = Make({0}, 1, 2);
  pool.SetServers({}, At(seconds(1)));
  REQUIRE(pool.UsableSlots() == 2 * kSlots);
}

// Guards against full load on a server with cold caches.
TEST_CASE("the limit of a new server grows by half per second", "[admission]") {
  ServerPool pool = Make({0}, 1, 1);
  pool.SetServers(Servers(2), At({}));
  REQUIRE(pool.UsableSlots() == 6 + 1);
  double allowed = 1;
  for (int second = 1; second <= 6; ++second) {
    pool.Tick(At(seconds(10 * second)));  // Long steps count as one second.
    REQUIRE(pool.UsableSlots() == 6 + std::min(6U, static_cast<std::uint32_t>(allowed)));
    for (const auto& server : Fill(pool, At(seconds(10 * second)))) {
      pool.OnFinished(server, FinishKind::kSuccess, At(seconds(10 * second)));
    }
    allowed *= 1.5;
  }
}

// Guards against requests to a server that fails all of them, and against ejecting all servers when
// requests fail everywhere.
TEST_CASE("failing servers are ejected, probed and start cold", "[admission]") {
  ServerPool pool = Make({0}, 1, 2);
  const std::string server = "10.0.0.0:80";
  const auto fail = [&pool](FinishKind kind) {
    for (int i = 0; i < 40; ++i) {
      if (const auto pick = pool.Pick(At({}))) pool.OnFinished(pick.value(), kind, At({}));
    }
  };
  fail(FinishKind::kTimeout);
  REQUIRE(pool.UsableSlots() == 6);
  REQUIRE(pool.ProbesDue(At(milliseconds(499))).empty());
  const auto due = pool.ProbesDue(At(milliseconds(500)));
  REQUIRE(due.size() == 1);
  pool.OnHealth(due[0], HealthState::kHealthy, At(milliseconds(500)));
  REQUIRE(pool.UsableSlots() == 6 + 1);
  fail(FinishKind::kConnect);
  REQUIRE(pool.Pick(At({})).error().code == PickErrorCode::kNoServer);
}

// Guards against sending all requests to one server, and a retry to the server that just failed.
TEST_CASE("picks spread over the servers and avoid the one named", "[admission]") {
  ServerPool pool = Make({0}, 1, 3);
  std::map<std::string, int> counts;
  for (int i = 0; i < 9; ++i) ++counts[pool.Pick(At({})).value()];
  for (const auto& [server, count] : counts) REQUIRE(count == 3);
  REQUIRE(counts.size() == 3);
  for (int i = 0; i < 6; ++i) REQUIRE(pool.Pick(At({}), "10.0.0.1:80").value() != "10.0.0.1:80");
  REQUIRE(pool.Pick(At({}), "10.0.0.1:80").error().code == PickErrorCode::kNoSlot);
  REQUIRE(pool.ConnectionShare("10.0.0.1:80") == 30);
}

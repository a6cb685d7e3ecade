#include "vanilladeck/steering/server_picker.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "steering/picker_fixture.h"

namespace vanilladeck::steering {
namespace {

using testing::PickerFixture;
using namespace std::chrono_literals;

// Guards against cache misses: without a fixed order each server would get every object.
TEST_CASE("an object stays on its server while that has free slots") {
  PickerFixture f;
  f.Add("east-a", 10);
  for (int i = 0; i < 50; ++i) {
    const std::string object = std::to_string(i);
    const std::string first = f.ChosenId(object);
    REQUIRE_FALSE(first.empty());
    for (int k = 0; k < 5; ++k) CHECK(f.ChosenId(object) == first);
  }
}

// Guards against self-sustaining overload: a busy region spread every object over all servers,
// which then had none of them cached and held their slots three times as long.
TEST_CASE("in a busy region an object is served by its three preferred servers only") {
  PickerFixture f;
  f.Add("east-a", 10);
  std::map<std::string, std::set<std::string>> servers_of;
  std::uint32_t seed = 1;
  for (int round = 0; round < 400; ++round) {
    for (const std::string& id : f.servers.Ids()) {
      // The load of every server varies by round between 80% and 280% of its slots.
      seed = seed * 1664525U + 1013904223U;
      f.SetLoad(id, 7 + static_cast<double>(seed >> 16U) * 18 / 65536);
    }
    for (int i = 0; i < 20; ++i) {
      const std::string object = std::to_string(i);
      const std::string id = f.ChosenId(object);
      if (!id.empty()) servers_of[object].insert(id);
    }
  }
  for (const auto& [object, ids] : servers_of) CHECK(ids.size() <= 3);
}

// Guards against servers that evict objects before they are requested again: the two servers of a
// small region cannot cache every object of its callers three times.
TEST_CASE("with few servers for many objects each object has one preferred server") {
  PickerFixture f;
  f.Add("east-a", 2);
  constexpr int kObjects = 80;
  for (int i = 0; i < kObjects; ++i) (void)f.ChosenId(std::to_string(i));
  std::uint32_t seed = 1;
  std::map<std::string, std::set<std::string>> servers_of;
  for (int round = 0; round < 100; ++round) {
    for (const std::string& id : f.servers.Ids()) {
      seed = seed * 1664525U + 1013904223U;
      f.SetLoad(id, 7 + static_cast<double>(seed >> 16U) * 18 / 65536);
    }
    for (int i = 0; i < kObjects; ++i) {
      const std::string object = std::to_string(i);
      const std::string id = f.ChosenId(object);
      if (!id.empty()) servers_of[object].insert(id);
    }
  }
  for (const auto& [object, ids] : servers_of) CHECK(ids.size() == 1);
}

// Guards against refusals while servers are idle: the limit to preferred servers applies only to
// servers without spare slots.
TEST_CASE("an object leaves its full preferred servers for one with spare slots") {
  PickerFixture f;
  f.Add("east-a", 10);
  std::set<std::string> preferred;
  for (int i = 0; i < 3; ++i) {
    const std::string id = f.ChosenId("17");
    preferred.insert(id);
    f.SetLoad(id, 40);
  }
  REQUIRE(preferred.size() == 3);
  const std::string next = f.ChosenId("17");
  CHECK_FALSE(next.empty());
  CHECK(preferred.count(next) == 0);
}

// Guards against overload of a newly started server: its rate limit holds for the sum over all
// instances.
TEST_CASE("all instances together keep the rate limit of a cold server") {
  constexpr std::uint32_t kInstances = 9;
  std::size_t sent = 0;
  for (std::uint32_t rank = 0; rank < kInstances; ++rank) {
    PickerFixture f;
    f.fleet.SetFleet(kInstances, rank);
    ServerReport report = f.Report("east-a0", "east-a");
    report.cold_left = 3s;
    (void)f.servers.OnReport(report, f.now);
    for (int i = 0; i < 50; ++i) {
      auto choice = f.Choose(std::to_string(i));
      if (auto* pick = std::get_if<Pick>(&choice)) {
        f.servers.OnSent(*pick->server, f.now);
        ++sent;
      }
    }
  }
  CHECK(sent > 0);
  CHECK(sent <= 8 * 1.5 + 5);
}

// Guards against moves of many requests to another region when the own one is full: they would miss
// the caches there, and operators cap the share of requests that change their region.
TEST_CASE("a sudden overload moves few requests to another region at once") {
  PickerFixture f;
  f.Add("east-a", 4);
  f.Add("west-a", 4);
  for (const std::string& id : f.servers.Ids()) f.SetLoad(id, 2);
  (void)f.ChosenId("0");
  for (const std::string& id : f.servers.Ids()) {
    if (id[0] == 'e') f.SetLoad(id, 40);
  }
  int remote = 0;
  constexpr int kRequests = 500;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = f.ChosenId(std::to_string(i % 60));
    if (!id.empty() && id[0] == 'w') ++remote;
  }
  CHECK(remote <= kRequests * 0.15);
}

// Guards against refusals while another region has servers: the overflow limit applies only to
// overload.
TEST_CASE("a region without any server uses the other region at once") {
  PickerFixture f;
  f.Add("west-a", 4);
  for (int i = 0; i < 20; ++i) CHECK_FALSE(f.ChosenId(std::to_string(i)).empty());
}

// Guards against requests outside the regions that an operator allows.
TEST_CASE("allowed regions apply even when their servers are full") {
  PickerFixture f;
  f.Add("east-a", 2);
  f.Add("west-a", 2);
  f.route.allowed_regions = {"west"};
  for (int i = 0; i < 20; ++i) {
    const std::string id = f.ChosenId(std::to_string(i));
    REQUIRE_FALSE(id.empty());
    CHECK(id[0] == 'w');
  }
  for (const std::string& id : f.servers.Ids()) {
    if (id[0] == 'w') f.SetLoad(id, 90);
  }
  for (int i = 0; i < 20; ++i) CHECK(f.ChosenId(std::to_string(i)).empty());
}

// Guards against less urgent requests that fill the queues needed by more urgent ones.
TEST_CASE("a less urgent rank stops queueing first") {
  PickerFixture f;
  f.Add("east-a", 1);
  f.SetLoad("east-a0", 14);
  f.route.priority = 2;
  CHECK(f.ChosenId("1").empty());
  f.route.priority = 1;
  CHECK_FALSE(f.ChosenId("1").empty());
}

TEST_CASE("a server that was already tried is not chosen again") {
  PickerFixture f;
  f.Add("east-a", 2);
  const std::string first = f.ChosenId("5");
  const std::vector<std::string> tried{first};
  auto choice = f.Choose("5", &tried);
  REQUIRE(std::holds_alternative<Pick>(choice));
  CHECK(std::get<Pick>(choice).server->report.id != first);
}

// Guards against a full region that is taken for empty: with 71 instances each one uses a server
// less than once a second, and its load estimate has decayed by then. On trempelog-grown, mix, seed
// 733035484353, a region with a tenth of the servers took back a third of the requests.
TEST_CASE("a full region loses share although each server is used rarely") {
  PickerFixture f;
  f.Add("east-a", 30);
  f.Add("west-a", 100);
  (void)f.Choose("x");
  const double before = f.picker.RegionShare("catalogue", "east");
  const std::vector<std::string> ids = f.servers.Ids();
  for (int step = 0; step < 300; ++step) {
    // Each server responds once in 3 s.
    for (std::size_t i = 0; i < ids.size(); ++i) {
      if (i % 30 != static_cast<std::size_t>(step % 30)) continue;
      const auto server = f.servers.Find(ids[i]);
      f.servers.OnSent(*server, f.now);
      const ServerLoad load = server->region == "east" ? ServerLoad{9, 3, 9} : ServerLoad{3, 0, 9};
      f.servers.OnEnd(*server, AttemptEnd::kAnswered, load, 300ms, 300ms, f.now);
    }
    f.now += 100ms;
    f.picker.UpdateSplits(f.now);
  }
  CHECK(f.picker.RegionShare("catalogue", "east") < before - 0.2);
}

// Guards against overload that a large fleet does not detect: with 59 instances
// (kawabata-deck-grown, scale-2) the load estimate of each server had decayed before the next
// request, servers refused 13,700 requests, and most responses came after their objective.
TEST_CASE("an instance that uses each server rarely detects a full service") {
  PickerFixture f;
  f.Add("east-a", 60);
  const std::vector<std::string> ids = f.servers.Ids();
  const auto respond = [&f](const std::string& id, const ServerLoad& load) {
    const auto server = f.servers.Find(id);
    f.servers.OnSent(*server, f.now);
    f.servers.OnEnd(*server, AttemptEnd::kAnswered, load, 300ms, 300ms, f.now);
  };
  for (std::size_t step = 0; step < 30; ++step) {
    respond(ids[2 * step], {9, 11, 9});
    respond(ids[2 * step + 1], {9, 11, 9});
    f.now += 100ms;
  }
  const auto admitted = [&f](std::uint32_t priority) {
    f.route.priority = priority;
    int n = 0;
    for (int i = 0; i < 100; ++i) n += f.ChosenId(std::to_string(i)).empty() ? 0 : 1;
    return n;
  };
  CHECK(admitted(2) == 0);
  CHECK(admitted(1) == 0);
  CHECK(admitted(0) == 100);
  // Once the servers have free slots again, all requests are admitted within two seconds.
  for (std::size_t step = 0; step < 20; ++step) {
    respond(ids[step], {4, 0, 9});
    f.now += 100ms;
  }
  CHECK(admitted(2) == 100);
}

// Guards against a service that gets no more requests because it was full at its last response.
TEST_CASE("a service that was full is tried again after its load estimate decays") {
  PickerFixture f;
  f.Add("east-a", 10);
  for (int i = 0; i < 40; ++i) {
    const auto server = f.servers.Find("east-a" + std::to_string(i % 10));
    f.servers.OnSent(*server, f.now);
    f.servers.OnEnd(*server, AttemptEnd::kAnswered, ServerLoad{9, 27, 9}, 300ms, 300ms, f.now);
  }
  REQUIRE(f.ChosenId("1").empty());
  f.now += 5s;
  CHECK_FALSE(f.ChosenId("1").empty());
}

// Guards against overflow that no instance can detect alone: each of 24 instances sent the first
// request of a window to another region, which is half of the requests when there are few.
TEST_CASE("many instances with few requests each do not overflow to another region") {
  int remote = 0;
  for (int instance = 0; instance < 24; ++instance) {
    PickerFixture f;
    f.Add("east-a", 4);
    f.Add("west-a", 4);
    (void)f.ChosenId("0");
    for (const std::string& id : f.servers.Ids()) {
      if (id[0] == 'e') f.SetLoad(id, 40);
    }
    f.now += 2100ms;
    for (const std::string& id : f.servers.Ids()) {
      if (id[0] == 'e') f.SetLoad(id, 40);
    }
    for (int i = 0; i < 3; ++i) {
      const std::string id = f.ChosenId(std::to_string(24 * instance + i));
      if (!id.empty() && id[0] == 'w') ++remote;
    }
  }
  CHECK(remote <= 24 * 3 * 0.15);
}

}  // namespace
}  // namespace vanilladeck::steering

#include "vanilladeck/steering/server_picker.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "steering/picker_fixture.h"

namespace vanilladeck::steering {
namespace {

using testing::PickerFixture;
using namespace std::chrono_literals;

// Guards against a lost warmth: without a fixed order each server would see every object.
TEST_CASE("an object stays on its server while that has room") {
  PickerFixture f;
  f.Add("east-a", 10);
  for (int i = 0; i < 50; ++i) {
    const std::string object = std::to_string(i);
    const std::string first = f.ChosenId(object);
    REQUIRE_FALSE(first.empty());
    for (int k = 0; k < 5; ++k) CHECK(f.ChosenId(object) == first);
  }
}

// Guards against overload that feeds itself: a busy region spread every object over all servers,
// which then knew none of them and held their slots three times as long.
TEST_CASE("in a busy region an object is served by its three homes only") {
  PickerFixture f;
  f.Add("east-a", 10);
  std::map<std::string, std::set<std::string>> servers_of;
  std::uint32_t seed = 1;
  for (int round = 0; round < 400; ++round) {
    for (const std::string& id : f.servers.Ids()) {
      // Every server is between 80% and 280% of its slots, differently in each round.
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

// Guards against servers that forget objects faster than they see them again: two servers of a
// small region cannot know every object of the region's callers three times over.
TEST_CASE("with few servers for many objects each object has one home") {
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

// Guards against refusals with idle servers: the limit on homes holds only where it saves work.
TEST_CASE("an object leaves its full homes for a server with spare slots") {
  PickerFixture f;
  f.Add("east-a", 10);
  std::set<std::string> homes;
  for (int i = 0; i < 3; ++i) {
    const std::string id = f.ChosenId("17");
    homes.insert(id);
    f.SetLoad(id, 40);
  }
  REQUIRE(homes.size() == 3);
  const std::string further = f.ChosenId("17");
  CHECK_FALSE(further.empty());
  CHECK(homes.count(further) == 0);
}

// Guards against crashing a started server: its rate holds for the sum over all instances.
TEST_CASE("cold servers get no more than the fleet's rate from all instances together") {
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

// Guards against mass moves between regions when the own one fills up: warm objects would be
// handled from scratch elsewhere, and operators cap the change.
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

// Guards against refusals while another region could serve: lost servers are no overload.
TEST_CASE("a region without any server uses the other region at once") {
  PickerFixture f;
  f.Add("west-a", 4);
  for (int i = 0; i < 20; ++i) CHECK_FALSE(f.ChosenId(std::to_string(i)).empty());
}

// Guards against requests that leave the regions that an operator allows.
TEST_CASE("allowed regions bind even when their servers are full") {
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

// Guards against a less urgent rank that fills the queues which a more urgent one needs.
TEST_CASE("a less urgent rank stops queueing first") {
  PickerFixture f;
  f.Add("east-a", 1);
  f.SetLoad("east-a0", 14);
  f.route.priority = 2;
  CHECK(f.ChosenId("1").empty());
  f.route.priority = 1;
  CHECK_FALSE(f.ChosenId("1").empty());
}

TEST_CASE("a server that had the request is not chosen again") {
  PickerFixture f;
  f.Add("east-a", 2);
  const std::string first = f.ChosenId("5");
  const std::vector<std::string> tried{first};
  auto choice = f.Choose("5", &tried);
  REQUIRE(std::holds_alternative<Pick>(choice));
  CHECK(std::get<Pick>(choice).server->report.id != first);
}

// Guards against a full region that looks empty: with 71 instances each one asks a server less than
// once a second, and what it believes of a single server has faded by then. trempelog-grown, mix,
// seed 733035484353: a region with a tenth of the servers took a third of the requests back.
TEST_CASE("a full region keeps sending requests away although each server is asked seldom") {
  PickerFixture f;
  f.Add("east-a", 30);
  f.Add("west-a", 100);
  (void)f.Choose("x");
  const double before = f.picker.RegionShare("catalogue", "east");
  const std::vector<std::string> ids = f.servers.Ids();
  for (int step = 0; step < 300; ++step) {
    // Each server is heard of every 3 s.
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

// Guards against overload that a large fleet does not see: kawabata-deck-grown, scale-2. With 59
// instances the belief about each server had faded before the next request, servers refused 13,700
// requests themselves, and most answers came after their objective.
TEST_CASE("a full service is full for an instance that asks each server seldom") {
  PickerFixture f;
  f.Add("east-a", 60);
  const std::vector<std::string> ids = f.servers.Ids();
  const auto hear = [&f](const std::string& id, const ServerLoad& load) {
    const auto server = f.servers.Find(id);
    f.servers.OnSent(*server, f.now);
    f.servers.OnEnd(*server, AttemptEnd::kAnswered, load, 300ms, 300ms, f.now);
  };
  for (std::size_t step = 0; step < 30; ++step) {
    hear(ids[2 * step], {9, 11, 9});
    hear(ids[2 * step + 1], {9, 11, 9});
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
  // Once the servers have room again, everybody is admitted within two seconds.
  for (std::size_t step = 0; step < 20; ++step) {
    hear(ids[step], {4, 0, 9});
    f.now += 100ms;
  }
  CHECK(admitted(2) == 100);
}

// Guards against a service that nobody asks any more because it was full when last heard of.
TEST_CASE("without answers a full service is tried again") {
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

// Guards against moves that no instance sees in its own count: each of 24 instances sent the first
// request of a window to another region, which is half of them when there are few.
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

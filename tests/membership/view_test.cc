#include "vanilladeck/membership/view.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace std::chrono_literals;
using vanilladeck::core::TimePoint;
using vanilladeck::membership::Heartbeat;
using vanilladeck::membership::Member;
using vanilladeck::membership::View;

namespace {

Member MakeMember(int index, int domain, std::uint64_t incarnation = 1) {
  Member member;
  member.id = {"127.0.0.1:" + std::to_string(10'000 + index), incarnation};
  member.started_ms = static_cast<std::int64_t>(incarnation);
  member.failure_domain = "domain-" + std::to_string(domain);
  return member;
}

/// Views that exchange heartbeats once a second without loss, except for paused ones.
struct Fleet {
  std::vector<std::unique_ptr<View>> views;
  std::vector<bool> paused;
  TimePoint now{1h};

  Fleet(int size, int domains) : paused(static_cast<std::size_t>(size)) {
    for (int i = 0; i < size; ++i) {
      const std::vector<std::string> seeds{"127.0.0.1:10000", "127.0.0.1:10001"};
      views.push_back(std::make_unique<View>("d", MakeMember(i, i % domains), seeds));
    }
  }

  void Run(int seconds) {
    for (int tick = 0; tick < seconds; ++tick) {
      now += 1s;
      for (std::size_t i = 0; i < views.size(); ++i) {
        if (paused[i]) continue;
        for (const auto& target : views[i]->PickTargets(now)) Exchange(i, target);
      }
    }
  }

  void Exchange(std::size_t from, const std::string& target) {
    const auto to =
        static_cast<std::size_t>(std::stoi(target.substr(target.find(':') + 1)) - 10'000);
    if (to >= views.size() || paused[to]) return;
    views[to]->OnHeartbeat(views[from]->MakeHeartbeat(now), now);
    views[from]->OnHeartbeat(views[to]->MakeHeartbeat(now), now);
  }
};

}  // namespace

// Guards against members that stay unknown, or are falsely declared dead, because a heartbeat
// relays a bounded number of members.
TEST_CASE("all views converge and stay converged without loss", "[membership]") {
  const int size = GENERATE(2, 10, 64, 200);
  Fleet fleet(size, std::max(1, size / 8));
  fleet.Run(60);
  for (const auto& it : fleet.views) (void)it->TakeGone(fleet.now);
  for (int i = 0; i < 60; ++i) {
    fleet.Run(1);
    for (const auto& it : fleet.views) {
      REQUIRE(it->Live(fleet.now).size() == static_cast<std::size_t>(size - 1));
      REQUIRE(it->TakeGone(fleet.now).empty());
    }
  }
}

// Guards against a dead or paused instance that is never detected, and against one that is not
// accepted again when it resumes.
TEST_CASE("a paused instance is reported once and returns", "[membership]") {
  Fleet fleet(10, 5);
  fleet.Run(20);
  fleet.paused[3] = true;
  fleet.Run(10);
  CHECK(fleet.views[8]->TakeGone(fleet.now) == std::vector{MakeMember(3, 3).id});
  CHECK(fleet.views[8]->TakeGone(fleet.now).empty());
  CHECK(fleet.views[8]->Live(fleet.now).size() == 8);
  fleet.paused[3] = false;
  fleet.Run(10);
  CHECK(fleet.views[8]->Live(fleet.now).size() == 9);
}

// Guards against instances of other failure domains that list a dead or leaving one for minutes.
TEST_CASE("changes reach the whole fleet within seconds", "[membership]") {
  Fleet fleet(200, 25);
  fleet.Run(60);
  fleet.paused[3] = true;
  fleet.views[4]->self().leaving = true;
  int seconds = 0;
  const auto knows = [&fleet](std::size_t i) {
    (void)fleet.views[i]->TakeGone(fleet.now);
    bool lists_dead = false;
    bool lists_serving = false;
    for (const Member* it : fleet.views[i]->Live(fleet.now)) {
      lists_dead = lists_dead || it->id == MakeMember(3, 3).id;
      lists_serving = lists_serving || (it->id == MakeMember(4, 4).id && !it->leaving);
    }
    return !lists_dead && !lists_serving;
  };
  for (bool all = false; !all && seconds < 60; ++seconds) {
    fleet.Run(1);
    all = true;
    for (std::size_t i = 0; i < 200; ++i) all = (i == 3 || i == 4 || knows(i)) && all;
  }
  CHECK(seconds <= 20);
}

// Guards against late heartbeats of an old incarnation, direct or relayed, that replace the newer
// incarnation on the same address.
TEST_CASE("a restart on the same address replaces the old incarnation for good", "[membership]") {
  View view("d", MakeMember(0, 0), {});
  const TimePoint now{1h};
  view.OnHeartbeat({"d", MakeMember(1, 0, 5), {}}, now);
  view.OnHeartbeat({"d", MakeMember(1, 0, 6), {}}, now);
  CHECK(view.TakeGone(now) == std::vector{MakeMember(1, 0, 5).id});
  Member late = MakeMember(1, 0, 5);
  late.sequence = 99;
  view.OnHeartbeat({"d", MakeMember(2, 0), {late}}, now);
  REQUIRE(view.Live(now).size() == 2);
  CHECK(view.Live(now)[0]->id.incarnation == 6);
}

// Guards against a replaced process that resumes after a pause and continues to serve.
TEST_CASE("a process learns that a later incarnation runs on its address", "[membership]") {
  View view("d", MakeMember(0, 0, 5), {});
  const TimePoint now{1h};
  view.OnHeartbeat({"d", MakeMember(1, 0), {MakeMember(0, 0, 4)}}, now);
  CHECK_FALSE(view.superseded());
  view.OnHeartbeat({"d", MakeMember(1, 0), {MakeMember(0, 0, 6)}}, now);
  CHECK(view.superseded());
}

// Guards against members of another deployment that share the network.
TEST_CASE("heartbeats of another deployment are ignored", "[membership]") {
  View view("d", MakeMember(0, 0), {});
  CHECK_FALSE(view.OnHeartbeat({"other", MakeMember(1, 0), {}}, TimePoint{1h}));
  CHECK(view.Live(TimePoint{1h}).empty());
}

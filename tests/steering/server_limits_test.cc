#include "vanilladeck/steering/server_limits.h"

#include <catch2/catch.hpp>
#include <deque>

#include "steering/picker_fixture.h"

namespace vanilladeck::steering {
namespace {

using testing::PickerFixture;
using namespace std::chrono_literals;

constexpr int kEast = 20;
constexpr int kWest = 6;

/// Instances of two regions that send to one server of region "east" as often as they may.
struct Fleet {
  explicit Fleet(double rate) : limit(rate) {
    for (int i = 0; i < kEast; ++i) names["east"].push_back("edge-east-" + std::to_string(i));
    for (int i = 0; i < kWest; ++i) names["west"].push_back("edge-west-" + std::to_string(i));
    for (const auto& [region, in_region] : names) {
      for (const std::string& it : in_region) {
        instances.emplace_back(it);
        instances.back().SetInstances(names);
      }
    }
  }

  /// Lets each instance send; a response states the limit. Every second all learn what others
  /// state.
  void Step() {
    for (ServerLimits& it : instances) {
      if (!it.Allows("i-1", "east", now)) continue;
      it.OnSent("i-1", now);
      it.OnResponse("i-1", "east", limit, now);
      sends.push_back(now);
    }
    if ((now.time_since_epoch() % 1s).count() == 0) {
      for (std::size_t i = 0; i < instances.size(); ++i) {
        const auto stated = instances[i].Stated(now);
        for (ServerLimits& it : instances) it.OnStated(Name(i), stated);
      }
    }
    now += 50ms;
  }
  void StepFor(core::Duration time) {
    for (const core::TimePoint end = now + time; now < end;) Step();
  }
  [[nodiscard]] std::string Name(std::size_t i) const {
    return i < kEast ? names.at("east")[i] : names.at("west")[i - kEast];
  }
  /// Most requests in 4 s since `from`.
  [[nodiscard]] std::size_t Most(core::TimePoint from) const {
    std::size_t most = 0;
    std::deque<core::TimePoint> window;
    for (const core::TimePoint it : sends) {
      if (it < from) continue;
      window.push_back(it);
      while (it - window.front() >= 4s) window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }

  std::optional<double> limit;
  std::map<std::string, std::vector<std::string>> names;
  std::deque<ServerLimits> instances;
  std::deque<core::TimePoint> sends;
  core::TimePoint now{1000s};
};

// Guards against instances that each keep to a limit that their sum exceeds.
TEST_CASE("all instances together send a server no more than its limit, and most of it") {
  const double limit = GENERATE(0.5, 1.0, 2.7, 3.5, 7.0, 25.0);
  CAPTURE(limit);
  Fleet fleet(limit);
  fleet.Step();
  const core::TimePoint told = fleet.now;
  fleet.StepFor(40s);
  CHECK(static_cast<double>(fleet.Most(told)) <= 1.5 * limit * 4 + 5);
  const auto sent = static_cast<double>(fleet.sends.size() - fleet.instances.size());
  CHECK(sent >= 0.7 * limit * 40);
  CHECK(sent <= 1.1 * limit * 40 + 5);
}

// Guards against a burst when the parts move to other instances, of which some may not know it yet.
TEST_CASE("the sum holds while the senders change") {
  Fleet fleet(3.5);
  fleet.Step();
  const core::TimePoint told = fleet.now;
  fleet.StepFor(8s);
  // Every second the first half of the instances loses sight of another one of the region.
  for (int i = 0; i < 10; ++i) {
    auto names = fleet.names;
    names["east"].erase(names["east"].begin() + 2 * i);
    for (std::size_t k = 0; k < fleet.instances.size(); ++k) {
      if (k != static_cast<std::size_t>(2 * i)) {
        fleet.instances[k].SetInstances(k < fleet.instances.size() / 2 ? names : fleet.names);
      }
    }
    fleet.StepFor(1s);
  }
  CHECK(static_cast<double>(fleet.Most(told)) <= 1.5 * 3.5 * 4 + 5);
}

// Guards against a server that recovers and gets no requests any more.
TEST_CASE("a limit ends for all instances soon after the server stops stating it") {
  Fleet fleet(2);
  fleet.Step();
  fleet.StepFor(5s);
  fleet.limit = std::nullopt;
  fleet.StepFor(ServerLimits::kResponseLifetime + 2s);
  for (ServerLimits& it : fleet.instances) {
    CHECK(it.Stated(fleet.now).empty());
    CHECK(it.Allows("i-1", "east", fleet.now));
    CHECK(it.Allows("i-1", "east", fleet.now));
  }
}

TEST_CASE("a statement holds without a response, and a response goes before it") {
  ServerLimits limits("edge-1");
  limits.SetInstances({{"east", {"edge-1", "edge-2"}}});
  const core::TimePoint now(1000s);
  CHECK(limits.Allows("i-1", "east", now));
  limits.OnStated("edge-2", {{"i-1", 0.0}});
  CHECK_FALSE(limits.Allows("i-1", "east", now));
  CHECK_FALSE(limits.Allows("i-1", "east", now + 60s));
  limits.OnResponse("i-1", "east", std::nullopt, now + 60s);
  CHECK(limits.Allows("i-1", "east", now + 61s));
  CHECK_FALSE(limits.Allows("i-1", "east", now + 80s));
  limits.OnStated("edge-2", {});
  CHECK(limits.Allows("i-1", "east", now + 80s));
  // What this instance states itself does not come back to it.
  limits.OnStated("edge-1", {{"i-1", 0.0}});
  CHECK(limits.Allows("i-1", "east", now + 80s));
}

// Guards against requests that are refused although servers without a limit have room.
TEST_CASE("limited servers leave their places in the order to others") {
  PickerFixture f;
  f.Add("east-a", 10);
  f.limits.SetInstances({{"east", {"edge-1"}}});
  for (int i = 0; i < 10; ++i) {
    if (i != 4) f.limits.OnResponse("east-a" + std::to_string(i), "east", 0.0, f.now);
  }
  f.SetLoad("east-a4", 8);
  for (int object = 0; object < 20; ++object) {
    CHECK(f.ChosenId(std::to_string(object)) == "east-a4");
  }
  f.limits.OnResponse("east-a4", "east", 0.0, f.now);
  const auto choice = f.Choose("1");
  REQUIRE(std::holds_alternative<NoServerReason>(choice));
  CHECK(std::get<NoServerReason>(choice) == NoServerReason::kLimited);
}

}  // namespace
}  // namespace vanilladeck::steering

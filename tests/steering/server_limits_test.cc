#include "vanilladeck/steering/server_limits.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "steering/picker_fixture.h"

namespace vanilladeck::steering {
namespace {

using testing::PickerFixture;
using namespace std::chrono_literals;

constexpr std::size_t kEast = 20;
constexpr std::size_t kWest = 6;

/// Instances of two regions that send to one server of region "east".
struct Fleet {
  /// Each instance has a request for the server in each step of 50 ms with probability `demand`.
  explicit Fleet(double rate, double demand = 1) : limit(rate), has_request(demand) {
    for (std::size_t i = 0; i < kEast; ++i) {
      names["east"].push_back("edge-east-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < kWest; ++i) {
      names["west"].push_back("edge-west-" + std::to_string(i));
    }
    for (const auto& [region, in_region] : names) {
      for (const std::string& it : in_region) {
        instances.push_back({ServerLimits(it), it, false, {}, {}});
        instances.back().limits.SetInstances(names);
      }
    }
  }

  struct Instance {
    ServerLimits limits;
    std::string name;
    bool idle = false;  ///< Has no request for this server.
    std::optional<core::TimePoint> told_at;
    std::deque<core::TimePoint> responses;  ///< Times at which responses will arrive.
  };

  /// Lets each instance send; responses take 200 ms and state the limit. Every second all learn
  /// what the others state.
  void Step() {
    for (Instance& it : instances) {
      while (!it.responses.empty() && it.responses.front() <= now) {
        it.responses.pop_front();
        it.limits.OnResponse("i-1", "east", limit, now);
        if (limit && !it.told_at) it.told_at = now;
      }
      // A picker asks for every server of the service, also if the request goes to another one.
      const bool allowed = it.limits.Allows("i-1", "east", now);
      if (!allowed || it.idle || !has_request(random)) continue;
      it.limits.OnSent("i-1");
      it.responses.push_back(now + 200ms);
      ++sends;
      if (it.told_at && now - *it.told_at >= 500ms) counted.push_back(now);
    }
    if (now.time_since_epoch() % 1s == core::Duration::zero()) {
      for (const Instance& other : instances) {
        const auto stated = other.limits.Stated(now);
        for (Instance& it : instances) it.limits.OnStated(other.name, stated, now);
      }
    }
    now += 50ms;
  }
  void StepFor(core::Duration time) {
    for (const core::TimePoint end = now + time; now < end;) Step();
  }
  /// Most requests in 4 s from instances that have known the limit for half a second.
  [[nodiscard]] std::size_t MostCounted() const {
    std::size_t most = 0;
    std::deque<core::TimePoint> window;
    for (const core::TimePoint it : counted) {
      window.push_back(it);
      while (it - window.front() >= 4s) window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }

  std::optional<double> limit;
  std::bernoulli_distribution has_request;
  std::mt19937 random{7};  // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible.
  std::map<std::string, std::vector<std::string>> names;
  std::deque<Instance> instances;
  std::deque<core::TimePoint> counted;
  std::size_t sends = 0;
  core::TimePoint now{1000s};
};

// Guards against instances that each keep to a limit that their sum exceeds.
TEST_CASE("all instances together send a server no more than its limit, and most of it") {
  const double limit = GENERATE(0.5, 1.0, 1.7, 2.7, 3.5, 7.0, 25.0);
  CAPTURE(limit);
  Fleet fleet(limit);
  fleet.StepFor(5s);
  const std::size_t before = fleet.sends;
  fleet.StepFor(40s);
  CHECK(static_cast<double>(fleet.MostCounted()) <= 1.5 * limit * 4 + 5);
  const auto sent = static_cast<double>(fleet.sends - before);
  CHECK(sent >= 0.7 * limit * 40);
  CHECK(sent <= 1.1 * limit * 40 + 5);
}

// Guards against instances that forget a limit, because the one that may send to the server has no
// request for it and so never learns of the limit.
TEST_CASE("the sum holds while instances rarely have a request for the server") {
  const double limit = GENERATE(0.5, 1.7, 3.5);
  // From one request in 5 s to one in a minute for each instance.
  const double demand = GENERATE(0.01, 0.004, 0.0008);
  CAPTURE(limit, demand);
  Fleet fleet(limit, demand);
  fleet.StepFor(300s);
  CHECK(static_cast<double>(fleet.MostCounted()) <= 1.5 * limit * 4 + 5);
}

// Guards against a limit that all forget again and again, since the only instance that may send to
// the server has no request for it.
TEST_CASE("the sum holds while the sender has no request for the server") {
  // One of them is the sender.
  const std::size_t idle = GENERATE(range(std::size_t{0}, kEast));
  CAPTURE(idle);
  Fleet fleet(1.7, 0.05);
  fleet.instances[idle].idle = true;
  fleet.StepFor(60s);
  CHECK(static_cast<double>(fleet.MostCounted()) <= 1.5 * 1.7 * 4 + 5);
}

// Guards against a burst when the parts move to other instances, of which some may not know it yet.
TEST_CASE("the sum holds while the senders change") {
  Fleet fleet(3.5);
  fleet.StepFor(8s);
  // Every second the first half of the instances loses sight of another one of the region.
  for (std::size_t lost = 0; lost < kEast; lost += 2) {
    auto names = fleet.names;
    std::erase(names["east"], fleet.instances[lost].name);
    for (std::size_t k = 0; k < fleet.instances.size(); ++k) {
      if (k != lost) {
        fleet.instances[k].limits.SetInstances(k < fleet.instances.size() / 2 ? names
                                                                              : fleet.names);
      }
    }
    fleet.StepFor(1s);
  }
  CHECK(static_cast<double>(fleet.MostCounted()) <= 1.5 * 3.5 * 4 + 5);
}

// Guards against a server that recovers and gets no requests any more.
TEST_CASE("a limit ends for all instances soon after the server stops stating it") {
  Fleet fleet(2);
  fleet.StepFor(15s);
  fleet.limit = std::nullopt;
  fleet.StepFor(ServerLimits::kStatementGrace + 4s);
  for (Fleet::Instance& it : fleet.instances) {
    CHECK(it.limits.Stated(fleet.now).empty());
    CHECK(it.limits.Allows("i-1", "east", fleet.now));
    CHECK(it.limits.Allows("i-1", "east", fleet.now));
  }
}

TEST_CASE("a statement holds without a response, and a response goes before it") {
  ServerLimits limits("edge-1");
  limits.SetInstances({{"east", {"edge-1", "edge-2"}}});
  const core::TimePoint now(1000s);
  CHECK(limits.Allows("i-1", "east", now));
  limits.OnStated("edge-2", {{"i-1", 0.0}}, now);
  CHECK_FALSE(limits.Allows("i-1", "east", now));
  CHECK_FALSE(limits.Allows("i-1", "east", now + 60s));
  limits.OnResponse("i-1", "east", std::nullopt, now + 60s);
  CHECK(limits.Allows("i-1", "east", now + 61s));
  CHECK_FALSE(limits.Allows("i-1", "east", now + 80s));
  limits.OnStated("edge-2", {}, now + 80s);
  CHECK_FALSE(limits.Allows("i-1", "east", now + 82s));
  CHECK(limits.Allows("i-1", "east", now + 84s));
  // What this instance states itself does not come back to it.
  limits.OnStated("edge-1", {{"i-1", 0.0}}, now + 84s);
  CHECK(limits.Allows("i-1", "east", now + 84s));
}

// Guards against limits that instances learn of only by the store, after seconds: a sum over many
// instances that each send a few requests first exceeds a small limit.
TEST_CASE("limits reach the other instances of a region with their polls") {
  ServerLimits reader("edge-1");
  const core::TimePoint now(1000s);
  reader.OnStated("edge-2", {{"i-1", 3.5}, {"i-2", 1}}, now);
  reader.OnStated("edge-3", {{"i-1", 2}}, now);
  reader.SetInstances({{"east", {"edge-1"}}});
  reader.OnResponse("i-3", "east", 7, now);
  using Limits = ServerLimits::Limits;
  CHECK(reader.RelayedTo("edge-4", now) == Limits{{"i-1", 2}, {"i-2", 1}, {"i-3", 7}});
  // An instance does not get back what only it states.
  CHECK(reader.RelayedTo("edge-2", now) == Limits{{"i-1", 2}, {"i-3", 7}});
  reader.OnStated("edge-2", {}, now);
  CHECK(reader.RelayedTo("edge-4", now) == Limits{{"i-1", 2}, {"i-3", 7}});
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

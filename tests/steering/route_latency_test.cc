#include "vanilladeck/steering/route_latency.h"

#include <catch2/catch.hpp>
#include <deque>

#include "steering/picker_fixture.h"

namespace vanilladeck::steering {
namespace {

using testing::PickerFixture;
using namespace std::chrono_literals;

/// A route in use: requests arrive at a constant rate, and servers answer all after the same time.
struct RouteInUse : PickerFixture {
  RouteInUse() { Add("east-a", 4); }

  /// Sends requests for `time`; returns the share of them that is answered in time.
  double Run(core::Duration time) {
    int sent = 0;
    int served = 0;
    const core::TimePoint end = now + time;
    for (; now < end; now += kInterval) {
      while (!in_flight_.empty() && in_flight_.front().ends <= now) End(served);
      ++sent;
      const std::string object = std::to_string(sent % 7);
      const PickQuery query{&route, &service, object, 7, route.timeout, nullptr};
      auto choice = picker.Choose(query, now);
      if (const auto* pick = std::get_if<Pick>(&choice)) {
        servers.OnSent(*pick->server, now);
        in_flight_.push_back(
            {pick->server, now, now + std::min<core::Duration>(latency, route.timeout)});
      }
    }
    return static_cast<double>(served) / sent;
  }

  /// The process pauses; then the responses that have arrived meanwhile are read.
  void Pause(core::Duration time) {
    now += time;
    int served = 0;
    while (!in_flight_.empty()) End(served);
  }

  core::Duration latency = 100ms;

 private:
  static constexpr core::Duration kInterval = 50ms;

  struct InFlight {
    ServerPtr server;
    core::TimePoint sent;
    core::TimePoint ends;
  };

  void End(int& served) {
    const InFlight request = in_flight_.front();
    in_flight_.pop_front();
    const core::Duration took = now - request.sent;
    // As the request path does: what ends at or after its deadline is given up.
    const bool in_time = took < route.timeout;
    const auto end = in_time ? AttemptEnd::kAnswered : AttemptEnd::kAbandoned;
    servers.OnEnd(*request.server, end, std::nullopt, took,
                  in_time ? picker.Expected(route, service.name) : core::Duration::zero(), now);
    if (!in_time) return;
    picker.OnLatency(route, service.name, took, true, now);
    ++served;
  }

  std::deque<InFlight> in_flight_;
};

// Time within which an instance serves a route again that its servers can serve: the memory of the
// mean, the interval of trials, and the response to one.
constexpr core::Duration kRecoveryTime =
    RouteLatency::kMemory + RouteLatency::kTrialInterval + 200ms;

// Guards against a route that is refused for good: its mean latency lies above the time that its
// requests have, and only their responses could correct it.
TEST_CASE("a route whose mean latency exceeds its time limit is served again") {
  RouteInUse f;
  f.route.timeout = 3s;
  f.latency = 1160ms;
  REQUIRE(f.Run(10s) > 0.8);
  SECTION("its time limit is shortened and its servers become faster") {
    f.route.timeout = 1s;
    f.latency = 300ms;
  }
  SECTION("after a slow spell of its servers") {
    f.latency = 2950ms;
    (void)f.Run(20s);
    f.latency = 300ms;
  }
  SECTION("after servers that did not answer in time") {
    f.latency = 5s;
    (void)f.Run(20s);
    f.latency = 300ms;
  }
  SECTION("after a pause of this process") {
    f.Pause(2800ms);
    f.latency = 300ms;
  }
  (void)f.Run(kRecoveryTime + 3s);
  CHECK(f.Run(5s) > 0.95);
}

// Guards against a first response, which counts in full, that spans a pause of this process.
TEST_CASE("a first response that took longer than the time limit does not stop a route") {
  RouteInUse f;
  f.route.timeout = 2s;
  f.picker.OnLatency(f.route, f.service.name, 4600ms, true, f.now);
  (void)f.Run(kRecoveryTime);
  CHECK(f.Run(5s) > 0.95);
}

// Guards against the latency of a slow service that a route has left.
TEST_CASE("a route that moves to another service is measured anew") {
  RouteInUse f;
  f.route.timeout = 3s;
  f.latency = 1160ms;
  REQUIRE(f.Run(10s) > 0.8);
  f.Pause(f.latency);  // Ends what is in flight.
  f.service.name = "commission";
  for (int i = 0; i < 4; ++i) {
    ServerReport report = f.Report("c" + std::to_string(i), "east-a");
    report.service = f.service.name;
    (void)f.servers.OnReport(report, f.now);
  }
  f.route.timeout = 1s;
  f.latency = 300ms;
  CHECK(f.Run(2s) > 0.8);
}

// Guards against a route that is never served because a part of its objective, which stands for its
// latency before the first response, exceeds its time limit.
TEST_CASE("a route with an objective above twice its time limit is served") {
  RouteInUse f;
  f.route.objective = 3s;
  f.route.timeout = 1s;
  (void)f.Run(kRecoveryTime);
  CHECK(f.Run(5s) > 0.95);
}

// Guards against an instance that sends everything to servers that can't answer in time.
TEST_CASE("while a route is too slow few of its requests are tried") {
  RouteInUse f;
  f.picker.OnLatency(f.route, f.service.name, 1900ms, true, f.now);
  f.route.timeout = 1s;
  f.latency = 2s;
  std::uint32_t sent = 0;
  for (const core::TimePoint end = f.now + 10s; f.now < end; f.now += 10ms) {
    const PickQuery query{&f.route, &f.service, "1", 7, f.route.timeout, nullptr};
    if (std::holds_alternative<Pick>(f.picker.Choose(query, f.now))) ++sent;
  }
  CHECK(sent >= 1);
  CHECK(sent <= 10s / RouteLatency::kTrialInterval);
}

// Guards against a trial that tells nothing since all servers are busy or cold.
TEST_CASE("the response to a trial bounds the mean also if it was queued") {
  RouteLatency latency;
  core::TimePoint now(1000s);
  latency.Add(3s, true, now);
  latency.Add(400ms, false, now);
  CHECK(latency.mean() == 3s);
  now += RouteLatency::kMemory;
  REQUIRE(latency.MayTry(now));
  latency.OnTried(now);
  CHECK_FALSE(latency.MayTry(now));
  latency.Add(400ms, false, now + 400ms);
  CHECK(latency.mean() == 400ms);
}

}  // namespace
}  // namespace vanilladeck::steering

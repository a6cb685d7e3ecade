#include "vanilladeck/gateway/stop_schedule.h"

#include <catch2/catch.hpp>

namespace vanilladeck::gateway {
namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kBegan(1000s);
// Long enough that no deadline lies before the exit.
constexpr core::Duration kNoDeadline = 1h;

/// True if a request with a time limit of `limit` may be sent `after` the signal.
bool Takes(const StopSchedule& stop, core::Duration after, core::Duration limit,
           core::Duration usual = core::Duration::zero()) {
  return stop.MayPassOn(kBegan + after, kBegan + after + limit, usual);
}

// Guards against requests that are cut off by the exit: after the first 3 s of a stop only those
// are taken that have ended by their deadline.
TEST_CASE("late in a stop a request is taken only if its deadline lies before the exit") {
  const StopSchedule stop(kBegan, 6s);
  CHECK(Takes(stop, 3060ms, 2400ms, 100ms));
  CHECK_FALSE(Takes(stop, 3060ms, 3s, 100ms));
  CHECK_FALSE(Takes(stop, 3060ms, 6s));
  CHECK_FALSE(Takes(stop, 5600ms, 10ms, 1ms));
}

// Guards against instances that refuse everything from the signal on although most of it would end
// in time: time limits of some routes exceed the grace period.
TEST_CASE("early in a stop the measured latency of a route decides beside the deadline") {
  const StopSchedule stop(kBegan, 6s);
  CHECK(Takes(stop, 500ms, 10s, 1500ms));
  CHECK_FALSE(Takes(stop, 2900ms, 10s, 1500ms));
  CHECK(Takes(stop, 2500ms, 3s));
  CHECK_FALSE(Takes(stop, 500ms, 10s));  // Not measured.
}

// Guards against times that fit one grace period only: with others the listener stayed open until
// the exit, or the exit came after the kill.
TEST_CASE("the moments of a stop keep their order and precede the kill for any grace period") {
  for (const core::Duration grace :
       {0ms, 100ms, 1000ms, 2000ms, 3000ms, 6000ms, 10'000ms, 30'000ms, 120'000ms}) {
    CAPTURE(grace.count());
    const StopSchedule stop(kBegan, grace);
    CHECK(stop.began() <= stop.idle_from());
    CHECK(stop.idle_from() <= stop.listen_until());
    CHECK(stop.listen_until() <= stop.answers_by());
    CHECK(stop.answers_by() <= stop.exit_at());
    CHECK(stop.exit_at() <= kBegan + grace);
    if (grace == 0ms) continue;
    CHECK(stop.exit_at() < kBegan + grace);
    CHECK(stop.answers_by() < stop.exit_at());
    // A request that was sent early may be broken off in the last sixth only.
    CHECK(stop.answers_by() >= kBegan + grace * 5 / 6);
    // Nothing that may last longer is taken from the middle on.
    CHECK_FALSE(Takes(stop, grace / 2, kNoDeadline, 1us));
  }
}

// Guards against an instance with a long grace period that refuses what it has the time for.
TEST_CASE("with a long grace period requests are taken while their deadlines allow it") {
  const StopSchedule stop(kBegan, 30s);
  CHECK(Takes(stop, 15s, 10s));
  CHECK_FALSE(Takes(stop, 25s, 10s));
}

TEST_CASE("a negative grace period counts as none") {
  const StopSchedule stop(kBegan, -1s);
  CHECK(stop.exit_at() == kBegan);
}

}  // namespace
}  // namespace vanilladeck::gateway

#include "vanilladeck/admission/connection_health.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

using std::chrono::milliseconds;
using std::chrono::seconds;
using vanilladeck::admission::ConnectionHealth;
using vanilladeck::admission::ConnectionId;
using vanilladeck::core::Duration;
using vanilladeck::core::TimePoint;

namespace {

TimePoint At(Duration since_start) { return TimePoint(std::chrono::hours(1) + since_start); }

using Ids = std::vector<ConnectionId>;

Ids Sorted(Ids ids) {
  std::ranges::sort(ids);
  return ids;
}

}  // namespace

// Guards against requests on connections that broke together with one that timed out.
TEST_CASE("connections beside a silent one are probed, then closed in bounded time",
          "[admission]") {
  ConnectionHealth health = ConnectionHealth::Create({}).value();
  for (ConnectionId id : {1, 2, 3}) health.OnOpened(id, "a", At({}));
  health.OnOpened(9, "b", At({}));
  health.OnRequestSent(1, At(milliseconds(300)));
  REQUIRE_FALSE(health.Usable(1, At({})));
  REQUIRE(health.Check(At(milliseconds(299))).close.empty());
  const auto actions = health.Check(At(milliseconds(300)));
  REQUIRE(actions.close == Ids{1});
  REQUIRE(Sorted(actions.probe) == Ids{2, 3});
  REQUIRE_FALSE(health.Usable(2, At(milliseconds(301))));
  REQUIRE(health.Usable(9, At(milliseconds(301))));
  health.OnResponse(2, At(milliseconds(310)));
  REQUIRE(health.Usable(2, At(milliseconds(310))));
  REQUIRE(health.Check(At(milliseconds(799))).close.empty());
  REQUIRE(health.Check(At(milliseconds(800))).close == Ids{3});
  REQUIRE(health.Count("a") == 1);
}

// Guards against waiting for every probe when a response on a new connection already shows that the
// old ones are broken; one that has a request in flight keeps its own deadline.
TEST_CASE("a response on a new connection closes the remaining suspects", "[admission]") {
  ConnectionHealth health = ConnectionHealth::Create({}).value();
  for (ConnectionId id : {1, 2, 3}) health.OnOpened(id, "a", At({}));
  health.OnRequestSent(3, At(seconds(20)));
  health.OnSilent(1);
  REQUIRE(health.Check(At(seconds(1))).probe == Ids{2});
  health.OnOpened(4, "a", At(seconds(1)));
  health.OnRequestSent(4, At(seconds(5)));
  health.OnResponse(4, At(milliseconds(1010)));
  REQUIRE(health.Check(At(milliseconds(1011))).close == Ids{2});
  REQUIRE(health.Count("a") == 2);
  REQUIRE(health.Usable(4, At(milliseconds(1011))));
  REQUIRE(health.Check(At(seconds(20))).close == Ids{3});
}

// Guards against requests on a connection that broke while it was idle.
TEST_CASE("long idle connections are probed before use", "[admission]") {
  ConnectionHealth health = ConnectionHealth::Create({}).value();
  health.OnOpened(1, "a", At({}));
  REQUIRE(health.Usable(1, At(seconds(10))));
  REQUIRE_FALSE(health.Usable(1, At(seconds(11))));
  REQUIRE(health.Check(At(seconds(11))).probe == Ids{1});
  health.OnClosed(1);
  health.OnResponse(1, At(seconds(11)));
  REQUIRE(health.Count("a") == 0);
  REQUIRE_FALSE(ConnectionHealth::Create({milliseconds(0), seconds(1)}));
}

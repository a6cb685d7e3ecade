#include "vanilladeck/core/runtime_clock.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using vanilladeck::core::RuntimeClock;
using vanilladeck::core::Timer;

// Guards against tests that depend on real time: only Advance may change a paused clock.
TEST_CASE("paused clock drives Asio timers", "[core]") {
  RuntimeClock::Pause();
  boost::asio::io_context context;
  Timer timer(context, std::chrono::hours(1));
  bool fired = false;
  timer.async_wait([&fired](boost::system::error_code ec) { fired = !ec; });
  context.run_for(std::chrono::milliseconds(20));
  REQUIRE_FALSE(fired);
  const auto wall = RuntimeClock::WallMs();
  RuntimeClock::Advance(std::chrono::hours(1));
  REQUIRE(RuntimeClock::WallMs() - wall == 3'600'000);
  context.run_for(std::chrono::milliseconds(100));
  RuntimeClock::Resume();
  REQUIRE(fired);
}

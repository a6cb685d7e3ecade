#include "vanilladeck/gateway/event_loop.h"

#include <fcntl.h>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

#include "vanilladeck/gateway/deadlines.h"

namespace vanilladeck::gateway {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  boost::asio::io_context io;
  telemetry::EventStream events{open("/dev/null", O_WRONLY), "edge-1"};
};

// Guards against an exception on one connection that ends the process and all its requests.
TEST_CASE("a handler that throws does not stop other handlers") {
  Fixture f;
  bool later = false;
  boost::asio::post(f.io, [] { throw std::runtime_error("fault"); });
  boost::asio::post(f.io, [&] { later = true; });
  CHECK_NOTHROW(RunEventLoop(f.io, f.events));
  CHECK(later);
}

// Guards against an instance that stops following the store after a timer's action has thrown.
TEST_CASE("deadlines after one that throws still run") {
  Fixture f;
  Deadlines deadlines(f.io);
  int ran = 0;
  const auto now = core::RuntimeClock::now();
  deadlines.Add(now, [] { throw std::runtime_error("fault"); });
  deadlines.Add(now, [&] { ++ran; });
  deadlines.Add(now + 20ms, [&] { ++ran; });
  CHECK_NOTHROW(RunEventLoop(f.io, f.events));
  CHECK(ran == 2);
}

// Guards against a process whose handlers keep failing instead of being restarted.
TEST_CASE("handlers that keep failing end the event loop") {
  Fixture f;
  std::function<void()> fail = [&] {
    boost::asio::post(f.io, fail);
    throw std::runtime_error("fault");
  };
  boost::asio::post(f.io, fail);
  CHECK_THROWS_AS(RunEventLoop(f.io, f.events), std::runtime_error);
}

}  // namespace
}  // namespace vanilladeck::gateway

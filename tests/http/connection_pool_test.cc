#include "vanilladeck/http/connection_pool.h"

#include <catch2/catch.hpp>
#include <optional>

#include "daemon/fake_backend.h"

using namespace vanilladeck;
using namespace vanilladeck::test;
using namespace std::chrono_literals;
using Lease = http::ConnectionPool::Lease;

namespace {

/// Runs a connection pool on the test's thread.
struct PoolFixture {
  template <class T>
  T Run(boost::asio::awaitable<T> work) {
    std::optional<T> result;
    boost::asio::co_spawn(io, Store(std::move(work), result), boost::asio::detached);
    while (!result) RunFor(1ms);
    return std::move(*result);
  }

  template <class T>
  static boost::asio::awaitable<void> Store(boost::asio::awaitable<T> work,
                                            std::optional<T>& result) {
    result.emplace(co_await std::move(work));
  }

  void RunFor(std::chrono::milliseconds time) {
    io.restart();
    io.run_for(time);
    pool.Check();
  }

  Lease Acquire(const std::string& server, std::uint32_t limit = 10) {
    auto lease = Run(pool.Acquire(server, limit, core::RuntimeClock::now() + 1s));
    REQUIRE(lease.has_value());
    return std::move(lease.value());
  }

  http::ExchangeResult Get(const Lease& lease, const std::string& target,
                           core::Duration timeout = 1s) {
    http::Request request(boost::beast::http::verb::get, target, 11);
    const http::SendCheck no_check;
    return Run(pool.Exchange(lease, request, core::RuntimeClock::now() + timeout, no_check));
  }

  boost::asio::io_context io{1};
  http::ConnectionPool pool{
      io.get_executor(),
      {4096, 4096},
      admission::ConnectionHealth::Create(admission::ConnectionHealthSettings{}).value()};
};

}  // namespace

// Guards against paying the 1 ms of a new connection for each request, and against exceeding the
// deployment's connection limit.
TEST_CASE("connections are reused and limited per server", "[http]") {
  FakeBackend backend([](const http::Request&) { return Ok("x"); });
  PoolFixture fixture;
  Lease first = fixture.Acquire(backend.address(), 2);
  const auto id = first.id;
  REQUIRE(fixture.Get(first, "/a").has_value());
  fixture.pool.Release(std::move(first));
  Lease again = fixture.Acquire(backend.address(), 2);
  CHECK(again.id == id);
  Lease second = fixture.Acquire(backend.address(), 2);
  const auto third =
      fixture.Run(fixture.pool.Acquire(backend.address(), 2, core::RuntimeClock::now() + 1s));
  REQUIRE(third.has_error());
  CHECK(third.error().outcome == core::Outcome::kNotRun);
}

// Guards against sending a request on a connection that the server has closed while it was idle.
TEST_CASE("connection that the server closed is not reused", "[http]") {
  FakeBackend backend([](const http::Request&) {
    Reply reply = Ok("x");
    reply.close = true;
    return reply;
  });
  PoolFixture fixture;
  Lease lease = fixture.Acquire(backend.address());
  const auto id = lease.id;
  REQUIRE(fixture.Get(lease, "/a").has_value());
  // The close arrives when the server's thread has run, which takes long on a loaded machine.
  const auto end = core::RuntimeClock::now() + 5s;
  while (lease.connection->Reusable() && core::RuntimeClock::now() < end) fixture.RunFor(1ms);
  CHECK_FALSE(lease.connection->Reusable());
  fixture.pool.Release(std::move(lease));
  CHECK(fixture.Acquire(backend.address()).id != id);
}

// Guards against a server's unsolicited bytes being taken for the response to the next request.
TEST_CASE("unsolicited bytes close the connection", "[http]") {
  FakeBackend backend([](const http::Request&) {
    Reply reply = Ok("mine");
    reply.bytes += Ok("stray").bytes;
    return reply;
  });
  PoolFixture fixture;
  Lease lease = fixture.Acquire(backend.address());
  const auto id = lease.id;
  CHECK(fixture.Get(lease, "/a").value().body() == "mine");
  fixture.pool.Release(std::move(lease));
  CHECK(fixture.Acquire(backend.address()).id != id);
}

// Guards against the use of open but permanently unresponsive connections while new connections
// work.
TEST_CASE("siblings of a silent connection are probed and closed", "[http]") {
  std::atomic<bool> silent{false};
  FakeBackend backend([&silent](const http::Request&) {
    Reply reply = Ok("x");
    if (silent) reply.delay = 1h;
    return reply;
  });
  PoolFixture fixture;
  Lease one = fixture.Acquire(backend.address());
  Lease two = fixture.Acquire(backend.address());
  REQUIRE(fixture.Get(one, "/a").has_value());
  REQUIRE(fixture.Get(two, "/b").has_value());
  const auto sibling = two.id;
  fixture.pool.Release(std::move(two));
  silent = true;
  const auto result = fixture.Get(one, "/c", 50ms);
  REQUIRE(result.has_error());
  CHECK(result.error().problem.code == http::ProblemCode::kResponseTimeout);
  fixture.pool.Release(std::move(one));
  fixture.RunFor(20ms);  // The sibling is now being probed; the server does not answer the probe.
  silent = false;
  Lease fresh = fixture.Acquire(backend.address());
  CHECK(fresh.id != sibling);
  REQUIRE(fixture.Get(fresh, "/d").has_value());
  fixture.pool.Release(std::move(fresh));
  for (int i = 0; i < 100 && fixture.pool.Count(backend.address()) > 1; ++i) fixture.RunFor(10ms);
  CHECK(fixture.pool.Count(backend.address()) == 1);
}

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "daemon/fake_backend.h"
#include "support/early_server.h"
#include "support/malformed_field_lines.h"
#include "vanilladeck/http/backend_connection.h"
#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::http {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using test::FakeBackend;

boost::asio::awaitable<void> Exchange(tcp::endpoint endpoint, Request request,
                                      std::optional<ExchangeResult>& result) {
  const auto executor = co_await boost::asio::this_coro::executor;
  auto connection = std::make_shared<BackendConnection>(executor, BackendLimits{4096, 65536});
  const auto deadline = core::RuntimeClock::now() + 2s;
  (void)co_await connection->Connect(endpoint, deadline);
  result.emplace(co_await connection->Exchange(request, deadline, {}));
}

/// Sends `request` to a server on loopback.
ExchangeResult Send(boost::asio::io_context& io, const tcp::endpoint& endpoint,
                    const Request& request) {
  std::optional<ExchangeResult> result;
  boost::asio::co_spawn(io, Exchange(endpoint, request, result), boost::asio::detached);
  const auto end = core::RuntimeClock::now() + 5s;
  while (!result && core::RuntimeClock::now() < end) io.run_one_for(20ms);
  REQUIRE(result.has_value());
  return std::move(*result);
}

ExchangeResult Get(const std::string& response) {
  FakeBackend backend([&](const Request&) { return test::Reply{response}; });
  boost::asio::io_context io;
  return Send(io, *ParseEndpoint(backend.address()),
              Request(boost::beast::http::verb::get, "/", 11));
}

void CheckMalformed(const ExchangeResult& result) {
  REQUIRE(result.has_error());
  CHECK(result.error().problem.code == ProblemCode::kResponseMalformed);
  CHECK(result.error().problem.outcome == core::Outcome::kUnknown);
}

// Guards against an invalid status code in the response to a caller.
TEST_CASE("a response with an invalid status code is malformed", "[http]") {
  const std::string status = GENERATE("000", "001", "099", "600", "999");
  CAPTURE(status);
  CheckMalformed(Get("HTTP/1.1 " + status + " Broken\r\nContent-Length: 3\r\n\r\nabc"));
}

// Guards against broken header sections in responses to callers. A line that begins with a blank
// continues the field before it.
TEST_CASE("a response with a blank or control byte in a field name is malformed", "[http]") {
  const std::string line = GENERATE(from_range(test::MalformedFieldLines()));
  CAPTURE(line);
  CheckMalformed(
      Get("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-First: v\r\n" + line + "\r\n\r\nabc"));
  CheckMalformed(Get("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 3\r\n\r\nabc"));
}

TEST_CASE("a header section is read independently of how its bytes are split", "[http]") {
  boost::asio::io_context io;
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-First: a b\r\n\r\nabc";
  for (std::size_t at = 1; at < text.size(); ++at) {
    CAPTURE(at);
    tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    tcp::socket socket(io);
    boost::asio::steady_timer timer(io);
    acceptor.async_accept(socket, [&](boost::system::error_code) {
      socket.set_option(tcp::no_delay(true));
      boost::asio::write(socket, boost::asio::buffer(text.substr(0, at)));
      timer.expires_after(2ms);
      timer.async_wait(
          [&](auto) { boost::asio::write(socket, boost::asio::buffer(text.substr(at))); });
    });
    const auto result =
        Send(io, acceptor.local_endpoint(), Request(boost::beast::http::verb::get, "/", 11));
    REQUIRE(result.has_value());
    CHECK(result.value()["X-First"] == "a b");
    CHECK(result.value().body() == "abc");
  }
}

// Guards against a body that is still coded: the field that names the coding is not forwarded.
TEST_CASE("a response with a transfer coding other than chunked is malformed", "[http]") {
  const std::string field =
      GENERATE("gzip", "gzip, chunked", "gzip\r\nTransfer-Encoding: chunked", "chunked, gzip",
               "chunked, chunked", "xchunked", "chunked;q=1", "identity");
  CAPTURE(field);
  CheckMalformed(
      Get("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + field + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
}

// Guards against a part of a body that is taken for the whole.
TEST_CASE("a response without length that is reset during the upload is an error", "[http]") {
  const std::chrono::milliseconds delay = GENERATE(0ms, 50ms);
  CAPTURE(delay);
  boost::asio::io_context io;
  test::EarlyServer server(io, "HTTP/1.1 200 OK\r\n\r\npart", test::ConnectionEnd::kReset, delay);
  // More than the socket buffers of both ends hold.
  Request request(boost::beast::http::verb::post, "/", 11, std::string(12U << 20U, 'x'));
  request.prepare_payload();
  const auto result = Send(io, server.endpoint(), request);
  REQUIRE(result.has_error());
  CHECK(result.error().problem.outcome == core::Outcome::kUnknown);
}

}  // namespace
}  // namespace vanilladeck::http

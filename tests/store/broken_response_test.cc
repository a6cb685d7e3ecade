#include <catch2/catch.hpp>
#include <optional>

#include "daemon/fake_backend.h"
#include "support/early_server.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/client.h"

namespace vanilladeck::store {
namespace {

using namespace std::chrono_literals;

/// Runs one compare-and-swap against a store at `address`.
StoreResult SwapAt(boost::asio::io_context& context, const std::string& address,
                   const std::string& value) {
  ClientSettings settings;
  settings.address = address;
  auto client = Client::Create(context, settings).value();
  std::optional<StoreResult> result;
  client.Call(CompareAndSwap{"key", value, 1}, [&](StoreResult it) { result = std::move(it); });
  const auto end = core::RuntimeClock::now() + 5s;
  while (!result && core::RuntimeClock::now() < end) context.run_one_for(20ms);
  REQUIRE(result.has_value());
  return std::move(*result);
}

/// Runs one compare-and-swap against a store that sends `reply`.
StoreErrorCode ErrorOf(const test::Reply& reply) {
  test::FakeBackend store([&](const auto&) { return reply; });
  boost::asio::io_context context;
  const auto result = SwapAt(context, store.address(), "x");
  REQUIRE(result.has_error());
  return result.error().code;
}

}  // namespace

// Guards against a write that is taken for acknowledged, or for one without effect.
TEST_CASE("a response with an invalid status code leaves a write unknown", "[store]") {
  const std::string status = GENERATE("000", "099", "600");
  CAPTURE(status);
  const auto error = ErrorOf({"HTTP/1.1 " + status + " Broken\r\nContent-Length: 4\r\n\r\ntrue"});
  // The other codes state that the write had no effect.
  CHECK((error == StoreErrorCode::kProtocol || error == StoreErrorCode::kOutcomeUnknown));
}

TEST_CASE("a response with a blank or control byte in a field name leaves a write unknown",
          "[store]") {
  const std::string line = GENERATE("X Field: v", "X-Field : v", "X\x01: v", ": v");
  CAPTURE(line);
  CHECK(ErrorOf({"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\ntrue"}) ==
        StoreErrorCode::kOutcomeUnknown);
}

TEST_CASE("a response with a transfer coding other than chunked leaves a write unknown",
          "[store]") {
  const std::string coding = GENERATE("gzip", "gzip, chunked", "chunked, gzip");
  CAPTURE(coding);
  // A coded body, which can't be read.
  test::Reply reply{"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                    "\r\n\r\n3\r\n\x1f\x8b\x08\r\n0\r\n\r\n"};
  reply.close = true;
  CHECK(ErrorOf(reply) == StoreErrorCode::kProtocol);
}

TEST_CASE("a response that is reset during a call leaves a write unknown", "[store]") {
  // The reset comes before or after the last byte of the call.
  const std::size_t value_bytes = GENERATE(std::size_t{1}, kMaxValueBytes);
  const std::chrono::milliseconds delay = GENERATE(0ms, 50ms);
  CAPTURE(value_bytes, delay);
  boost::asio::io_context context;
  test::EarlyServer server(context, "HTTP/1.1 200 OK\r\n\r\ntrue", test::ConnectionEnd::kReset,
                           delay);
  const auto result = SwapAt(context, server.Address(), std::string(value_bytes, 'x'));
  REQUIRE(result.has_error());
  CHECK(result.error().code == StoreErrorCode::kOutcomeUnknown);
}

}  // namespace vanilladeck::store

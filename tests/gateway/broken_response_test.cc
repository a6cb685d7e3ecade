#include <catch2/catch.hpp>

#include "gateway/proxy_fixture.h"
#include "vanilladeck/gateway/peer_channel.h"
#include "vanilladeck/gateway/store_channel.h"
#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::gateway {
namespace {

using boost::asio::ip::tcp;
using testing::HeaderOf;
using testing::ProxyFixture;
using testing::ScriptedServer;
using namespace std::chrono_literals;

/// Text of a response with body "abc" whose status line and header section may be broken. `fields`
/// follow the usual ones.
std::string ResponseWith(const std::string& request, const std::string& status,
                         const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + HeaderOf(request, "Request-Id") +
         "\r\nContent-Length: 3\r\nSeal: s\r\n" + fields + "\r\nabc";
}

// Guards against an invalid status code that counts as a success because it
// is less than 300.
TEST_CASE("a response with an invalid status code does not reach the client") {
  const std::string status = GENERATE("000 Broken", "001 Broken", "099 Broken", "600 Broken",
                                      "999 Broken", "000 ", "-20 Broken", "2 0 Broken", "2000 OK");
  const bool idempotent = GENERATE(false, true);
  CAPTURE(status, idempotent);
  ProxyFixture f;
  const auto script = [&](const auto& connection, const std::string& request) {
    connection->Write(ResponseWith(request, status));
  };
  auto& server = f.AddServer("i-1", script);
  const std::string answer =
      idempotent ? f.Fetch("GET", "/read/1", "id-1") : f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "502");
  CHECK(HeaderOf(answer, "Seal").empty());
  CHECK(server.requests.size() == 1);
}

TEST_CASE("an idempotent request is retried after a response with an invalid status code") {
  ProxyFixture f;
  int broken = 0;
  const auto script = [&](const auto& connection, const std::string& request) {
    connection->Write(ResponseWith(request, broken++ == 0 ? "000 Broken" : "200 OK"));
  };
  f.AddServer("i-1", script);
  f.AddServer("i-2", script);
  const std::string answer = f.Fetch("GET", "/read/1", "id-1");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(f.BodyOf(answer) == "abc");
  CHECK(broken == 2);
}

/// A codec whose calls succeed with status 200, whatever the body.
class StatusCodec : public store::VersionedCodec {
 public:
  [[nodiscard]] store::EncodedCall Encode(const store::VersionedCall& call) const override {
    return {"POST", "/items", std::get<store::PutItem>(call).value};
  }
  [[nodiscard]] store::VersionedResult Decode(const store::VersionedCall& /*call*/, unsigned status,
                                              const std::string& /*body*/) const override {
    if (status == 200) return store::VersionedAnswer{store::Done{}};
    return store::CallError{store::CallErrorCode::kMalformed, std::to_string(status)};
  }
};

/// Writes an item to a store that is at `endpoint`.
store::VersionedResult PutAt(ProxyFixture& f, const tcp::endpoint& endpoint, std::string value) {
  const StatusCodec codec;
  StoreChannel channel(f.io, f.context.deadlines, f.context.messages, endpoint, "store", codec);
  std::optional<store::VersionedResult> result;
  channel.Call(store::PutItem{"key", std::move(value), 0}, 2s,
               [&](const store::VersionedResult& it, const Transfer&) { result = it; });
  REQUIRE(f.RunUntil([&] { return result.has_value(); }));
  return std::move(*result);
}

/// Sends a request to another instance that is at `address`.
ExchangeStatus AskPeerAt(ProxyFixture& f, const std::string& address) {
  PeerChannel channel(f.io, f.context.deadlines, f.context.messages);
  std::optional<ExchangeStatus> status;
  channel.Call({"peer", address}, "GET /peer HTTP/1.1\r\nHost: peer\r\n\r\n",
               core::RuntimeClock::now() + 2s,
               [&](const ExchangeOutcome& outcome) { status = outcome.status; });
  REQUIRE(f.RunUntil([&] { return status.has_value(); }));
  return *status;
}

// Guards against a write of unknown outcome that is taken for one without effect.
TEST_CASE("a malformed response of the store or of an instance is rejected") {
  const std::string status = GENERATE("000 Broken", "600 Broken");
  CAPTURE(status);
  ProxyFixture f;
  const auto respond = [&](const auto& connection, const std::string& request) {
    connection->Write(ResponseWith(request, status));
  };
  ScriptedServer server(f.io, respond);
  const auto result = PutAt(f, *http::ParseEndpoint(server.Address()), "x");
  REQUIRE(result.has_error());
  CHECK(result.error().code == store::CallErrorCode::kNoAnswer);
  CHECK(AskPeerAt(f, server.Address()) == ExchangeStatus::kMalformed);
}

}  // namespace
}  // namespace vanilladeck::gateway

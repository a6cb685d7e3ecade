#include <catch2/catch.hpp>

#include "gateway/proxy_fixture.h"
#include "support/early_server.h"
#include "support/malformed_field_lines.h"
#include "vanilladeck/gateway/peer_channel.h"
#include "vanilladeck/gateway/store_channel.h"
#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::gateway {
namespace {

using boost::asio::ip::tcp;
using test::ConnectionEnd;
using test::EarlyServer;
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

// Guards against an invalid status code that counts as a success because it is less than 300.
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
  [[nodiscard]] store::EraReading DecodeEra(const store::FieldOf& /*field*/) const override {
    return store::NoEra{};
  }
  [[nodiscard]] store::VersionedResult Decode(const store::VersionedCall& /*call*/, unsigned status,
                                              const std::string& /*body*/,
                                              store::Era /*era*/) const override {
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
  const auto [status, fields] =
      GENERATE(table<std::string, std::string>({{"000 Broken", ""},
                                                {"600 Broken", ""},
                                                {"200 OK", " X-Field: v\r\n"},
                                                {"200 OK", "X Field: v\r\n"}}));
  CAPTURE(status, fields);
  ProxyFixture f;
  const std::string broken = ResponseWith("", status, fields);
  ScriptedServer server(
      f.io, [&](const auto& connection, const std::string&) { connection->Write(broken); });
  const auto result = PutAt(f, *http::ParseEndpoint(server.Address()), "x");
  REQUIRE(result.has_error());
  CHECK(result.error().code == store::CallErrorCode::kNoAnswer);
  CHECK(AskPeerAt(f, server.Address()) == ExchangeStatus::kMalformed);
}

// More than the socket buffers of both ends hold, so that the request is still being written.
constexpr std::size_t kLongBody = 12U << 20U;
constexpr const char* kEarlyFields = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSeal: s\r\n";

/// Uploads a long body to an `EarlyServer` and returns what the client gets.
std::string Upload(const std::string& response, ConnectionEnd end,
                   std::chrono::milliseconds delay) {
  ProxyFixture f;
  f.group().limits.body_bytes = kLongBody;
  f.ChangePolicy([](config::Route& route) { route.timeout = 5s; });
  EarlyServer server(f.io, response, end, delay);
  f.Apply(ProxyFixture::Report("i-1", server.Address()));
  auto client = f.Connect();
  auto text = std::make_shared<const std::string>(
      f.RequestText("POST", "/write/1", "id-1", std::string(kLongBody, 'x')));
  boost::asio::async_write(client->socket, boost::asio::buffer(*text),
                           [text, client](auto, std::size_t) {});
  (void)f.RunUntil([&] { return f.HasAnswer(client->input) || client->closed; });
  return client->input;
}

// Guards against a part of a body that is taken for the whole: a failed write takes the error of
// the connection, so that the next read reports the end of the stream.
TEST_CASE("a response without length that is reset during the upload is not complete") {
  const std::chrono::milliseconds delay = GENERATE(0ms, 1ms, 50ms);
  CAPTURE(delay);
  const std::string answer =
      Upload(std::string(kEarlyFields) + "\r\npart", ConnectionEnd::kReset, delay);
  CHECK(ProxyFixture::StatusOf(answer) == "502");
}

TEST_CASE("a response without length that is closed gracefully during the upload is complete") {
  const std::chrono::milliseconds delay = GENERATE(0ms, 1ms, 50ms);
  CAPTURE(delay);
  const std::string answer =
      Upload(std::string(kEarlyFields) + "\r\nwhole", ConnectionEnd::kGraceful, delay);
  CHECK(ProxyFixture::StatusOf(answer) == "200");
  CHECK(ProxyFixture::BodyOf(answer) == "whole");
}

TEST_CASE("a response whose length or chunks are complete survives a reset during the upload") {
  const std::string framed = GENERATE("Content-Length: 5\r\n\r\nwhole",
                                      "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
  CAPTURE(framed);
  const std::string answer = Upload(kEarlyFields + framed, ConnectionEnd::kReset, 50ms);
  CHECK(ProxyFixture::StatusOf(answer) == "200");
  CHECK(ProxyFixture::BodyOf(answer) == "whole");
}

// Guards against an acknowledgement that is only a part of one.
TEST_CASE("a response of the store that is reset during the call is not complete") {
  ProxyFixture f;
  EarlyServer server(f.io, "HTTP/1.1 200 OK\r\n\r\npart", ConnectionEnd::kReset, 50ms);
  const auto result = PutAt(f, server.endpoint(), std::string(kLongBody, 'x'));
  REQUIRE(result.has_error());
  CHECK(result.error().code == store::CallErrorCode::kNoAnswer);
}

// Guards against broken header sections in what the client gets, and against a length that is
// hidden in another field: a line that begins with a blank continues the field before it.
TEST_CASE("a response with a blank or control byte in a field name does not reach the client") {
  const std::string line = GENERATE(from_range(test::MalformedFieldLines()));
  CAPTURE(line);
  ProxyFixture f;
  f.AddServer("i-1", [&](const auto& connection, const std::string& request) {
    connection->Write(ResponseWith(request, "200 OK", line + "\r\n"));
  });
  const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "502");
  CHECK(HeaderOf(answer, "Seal").empty());
}

TEST_CASE("a length in a line that begins with a blank does not change what a client gets") {
  const std::string blank = GENERATE(" ", "\t");
  ProxyFixture f;
  f.AddServer("i-1", [&](const auto& connection, const std::string& request) {
    connection->Write("HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderOf(request, "Request-Id") +
                      "\r\nSeal: s\r\n" + blank + "Content-Length: 3\r\n\r\nabcHTTP/1.1 200 OK");
    connection->Close();
  });
  CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "id-1", "x")) == "502");
}

// Guards against a body that is still coded: the field that names the coding is not forwarded.
TEST_CASE("a response with a transfer coding other than chunked does not reach the client") {
  const std::string field =
      GENERATE("gzip", "gzip, chunked", "gzip\r\nTransfer-Encoding: chunked", "chunked, gzip",
               "chunked, chunked", "chunked\r\nTransfer-Encoding: gzip",
               "chunked\r\nTransfer-Encoding: chunked", "xchunked", "\"chunked\"", "",
               "chunked;q=1", "identity", "chunked\r\nContent-Length: 3");
  CAPTURE(field);
  ProxyFixture f;
  f.AddServer("i-1", [&](const auto& connection, const std::string& request) {
    connection->Write("HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderOf(request, "Request-Id") +
                      "\r\nSeal: s\r\nTransfer-Encoding: " + field +
                      "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    connection->Close();
  });
  CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "id-1", "x")) == "502");
}

TEST_CASE("a response in chunks reaches the client whatever the case of its coding") {
  const std::string coding = GENERATE("chunked", "Chunked", " chunked\t");
  ProxyFixture f;
  f.AddServer("i-1", [&](const auto& connection, const std::string& request) {
    connection->Write("HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderOf(request, "Request-Id") +
                      "\r\nSeal: s\r\nTransfer-Encoding: " + coding +
                      "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  });
  const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(f.BodyOf(answer) == "abc");
}

}  // namespace
}  // namespace vanilladeck::gateway

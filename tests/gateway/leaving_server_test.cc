#include <catch2/catch.hpp>

#include "gateway/proxy_fixture.h"

namespace vanilladeck::gateway {
namespace {

using testing::FullResponse;
using testing::ProxyFixture;
using testing::ScriptedServer;
using namespace std::chrono_literals;

/// Two servers, of which "i-1" states in its responses that it leaves once `leaving` is set.
struct LeavingFixture : ProxyFixture {
  LeavingFixture() {
    AddServer("i-2", [](const auto& connection, const std::string& request) {
      connection->Write(FullResponse(request, "other"));
    });
    // It is preferred, so that each request goes there while it may.
    context.servers.Find("i-2")->latency_ratio = 3;
    context.servers.Find("i-2")->outcome_at = core::RuntimeClock::now() + 1min;
  }
  ScriptedServer& AddLeaving(ScriptedServer::Script script) {
    return AddServer("i-1", std::move(script));
  }
  /// A response with the statement of a server named `id`.
  static std::string Statement(const std::string& request, const std::string& status,
                               const std::string& fields = "", const std::string& id = "i-1") {
    return FullResponse(request, "x", status, "Server-Id: " + id + "\r\nLeaving: 1\r\n" + fields);
  }
  /// Sends some requests, of which none may fail.
  void SendMore() {
    for (int i = 0; i < 8; ++i) {
      CHECK(StatusOf(Fetch(i % 2 == 0 ? "GET" : "POST", i % 2 == 0 ? "/read/1" : "/write/1",
                           "more-" + std::to_string(i), i % 2 == 0 ? "" : "x")) == "200");
    }
  }
};

// Guards against work that a leaving server's end cuts off: while the store is away, only its
// responses tell that it leaves, also those that fail or refuse.
TEST_CASE("a server that states in any response that it leaves gets no further requests") {
  const auto [status, fields] =
      GENERATE(table<std::string, std::string>({{"200 OK", ""},
                                                {"404 Not Found", ""},
                                                {"500 Internal Server Error", ""},
                                                {"503 Service Unavailable", "Not-Run: 1\r\n"},
                                                {"503 Service Unavailable", ""},
                                                {"429 Too Many Requests", "Not-Run: 1\r\n"},
                                                {"421 Misdirected Request", "Not-Run: 1\r\n"}}));
  CAPTURE(status, fields);
  LeavingFixture f;
  const ScriptedServer& leaving = f.AddLeaving(
      [&status = status, &fields = fields](const auto& connection, const std::string& request) {
        connection->Write(LeavingFixture::Statement(request, status, fields));
      });
  (void)f.Fetch("GET", "/read/1", "id-1");
  REQUIRE(leaving.requests.size() == 1);
  CHECK(f.context.servers.Find("i-1")->draining);
  f.SendMore();
  CHECK(leaving.requests.size() == 1);
}

// Guards against a sound server that loses its traffic: another one at its former address says that
// it leaves itself, or the value has another meaning.
TEST_CASE("a statement of another server or with another value marks no server") {
  LeavingFixture f;
  std::string response_fields;
  std::string status = "200 OK";
  SECTION("another server at the address") {
    status = "421 Misdirected Request";
    response_fields = "Server-Id: i-9\r\nLeaving: 1\r\n";
  }
  SECTION("a response of a server that is not named") {
    status = "421 Misdirected Request";
    response_fields = "Leaving: 1\r\n";
  }
  SECTION("zero") { response_fields = "Leaving: 0\r\n"; }
  SECTION("empty") { response_fields = "Leaving: \r\n"; }
  SECTION("a word") { response_fields = "Leaving: soon\r\n"; }
  (void)f.AddLeaving([&](const auto& connection, const std::string& request) {
    connection->Write(FullResponse(request, "x", status, response_fields));
  });
  (void)f.Fetch("GET", "/read/1", "id-1");
  CHECK_FALSE(f.context.servers.Find("i-1")->draining);
}

// Guards against a statement that is lost with a response that is not delivered: a late copy of the
// response to an earlier request.
TEST_CASE("a response that belongs to no request tells of the leaving too") {
  LeavingFixture f;
  int n = 0;
  const ScriptedServer& leaving =
      f.AddLeaving([&](const auto& connection, const std::string& request) {
        if (++n == 2) {
          connection->Write(
              "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSeal: s\r\nLeaving: 1\r\n"
              "Content-Length: 1\r\n\r\nx");
        }
        connection->Write(FullResponse(request, "x"));
      });
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "200");
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-2")) == "200");
  REQUIRE(leaving.requests.size() == 2);
  f.SendMore();
  CHECK(leaving.requests.size() == 2);
}

// Guards against a request that is sent after the statement since its server was chosen before it.
TEST_CASE("a request that waits for its connection is not sent to a server that leaves") {
  LeavingFixture f;
  const ScriptedServer& leaving =
      f.AddLeaving([](const auto& connection, const std::string& request) {
        connection->Write(FullResponse(request, "x"));
      });
  f.after_start = [&f] {
    (void)f.context.servers.OnLeaving(*f.context.servers.Find("i-1"), core::RuntimeClock::now());
  };
  CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "id-1", "x")) == "200");
  CHECK(leaving.requests.empty());
}

// Guards against work that is cut off by the statement, and against connections that are kept open
// to a server which waits for them to close.
TEST_CASE("what runs at a leaving server goes on and its idle connections are closed") {
  LeavingFixture f;
  std::vector<std::pair<ScriptedServer::ConnectionPtr, std::string>> waiting;
  ScriptedServer& leaving = f.AddLeaving([&](const auto& connection, const std::string& request) {
    waiting.emplace_back(connection, request);
  });
  auto first = f.Connect();
  f.Send(*first, f.RequestText("POST", "/write/1", "id-1", "x"));
  auto second = f.Connect();
  f.Send(*second, f.RequestText("POST", "/write/1", "id-2", "x"));
  REQUIRE(f.RunUntil([&] { return waiting.size() == 2; }));
  waiting[0].first->Write(LeavingFixture::Statement(waiting[0].second, "200 OK"));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(first->input); }));
  f.RunFor(50ms);
  CHECK(waiting[0].first->closed_by_peer);
  CHECK_FALSE(waiting[1].first->closed_by_peer);
  waiting[1].first->Write(FullResponse(waiting[1].second, "done"));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(second->input); }));
  CHECK(f.StatusOf(second->input) == "200");
  CHECK(f.RunUntil([&] { return waiting[1].first->closed_by_peer; }, 500ms));
  CHECK(leaving.requests.size() == 2);
}

// Guards against callers that wait for a service without servers, and against requests to a server
// that is about to end because there is no other one.
TEST_CASE("without another server than one that leaves requests are refused at once") {
  ProxyFixture f;
  const ScriptedServer& leaving =
      f.AddServer("i-1", [](const auto& connection, const std::string& request) {
        connection->Write(LeavingFixture::Statement(request, "200 OK"));
      });
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "200");
  const auto began = core::RuntimeClock::now();
  for (const std::string path : {"/read/1", "/write/1"}) {
    const std::string answer = f.Fetch("POST", path, "id-2", "x");
    CHECK(f.StatusOf(answer) == "503");
    CHECK_FALSE(testing::HeaderOf(answer, "Retry-After").empty());
  }
  CHECK(core::RuntimeClock::now() - began < 500ms);
  CHECK(leaving.requests.size() == 1);
}

}  // namespace
}  // namespace vanilladeck::gateway

#include <catch2/catch.hpp>
#include <vector>

#include "gateway/proxy_fixture.h"

namespace vanilladeck::gateway {
namespace {

using testing::FullResponse;
using testing::ProxyFixture;
using testing::ScriptedServer;
using namespace std::chrono_literals;

/// An instance with one server that answers at once.
struct StopFixture : ProxyFixture {
  StopFixture() {
    (void)AddServer("i-1", [](const auto& connection, const std::string& request) {
      connection->Write(FullResponse(request, "done"));
    });
  }

  void CloseIdle(core::Duration min_idle) {
    group().closing = true;
    const std::vector<ClientSession*> sessions(group().sessions.begin(), group().sessions.end());
    for (ClientSession* it : sessions) it->CloseIfIdle(min_idle);
  }
};

// Guards against requests that are lost in a planned stop under load: they have arrived but are not
// read yet, so that their connection counts as idle.
TEST_CASE("a request that waits to be read is answered although idle connections are closed") {
  StopFixture f;
  auto client = f.Connect();
  REQUIRE(f.RunUntil([&] { return f.group().sessions.size() == 1; }));
  f.Send(*client, f.RequestText("POST", "/write/1", "id-1", "x"));
  f.CloseIdle(0ms);
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(client->input) || client->closed; }));
  CHECK(f.StatusOf(client->input) == "200");
  CHECK(testing::HeaderOf(client->input, "Connection") == "close");
}

// Guards against requests that are read and then dropped: a connection that is closed while idle
// must not read any more, so that its client gets a reset and knows that the request has not run.
TEST_CASE("a request that crosses the close of an idle connection is not read") {
  StopFixture f;
  auto client = f.Connect();
  REQUIRE(f.RunUntil([&] { return f.group().sessions.size() == 1; }));
  f.CloseIdle(0ms);
  f.Send(*client, f.RequestText("POST", "/write/1", "id-1", "x"));
  CHECK(f.RunUntil([&] { return client->closed && f.group().sessions.empty(); }, 500ms));
}

// Guards against connections that are closed as idle before the first request of their client can
// have arrived.
TEST_CASE("a connection that was just accepted is not closed as idle") {
  StopFixture f;
  auto client = f.Connect();
  REQUIRE(f.RunUntil([&] { return f.group().sessions.size() == 1; }));
  f.CloseIdle(500ms);
  f.Send(*client, f.RequestText("POST", "/write/1", "id-1", "x"));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(client->input) || client->closed; }));
  CHECK(f.StatusOf(client->input) == "200");
}

// Guards against connections that wait to be accepted and are reset with the listening socket.
TEST_CASE("connections that wait to be accepted are served when the listener closes") {
  StopFixture f;
  std::vector<std::shared_ptr<ProxyFixture::Client>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(f.Connect());
    f.Send(*clients.back(), f.RequestText("POST", "/write/1", "id-" + std::to_string(i), "x"));
  }
  f.group().closing = true;
  f.listener().Close();
  for (const auto& it : clients) {
    CHECK(f.RunUntil([&] { return f.HasAnswer(it->input); }, 2s));
  }
}

}  // namespace
}  // namespace vanilladeck::gateway

#include <catch2/catch.hpp>
#include <thread>

#include "gateway/proxy_fixture.h"

/// Requests whose policy, deadline or server's entry changes before they are sent.

namespace vanilladeck::gateway {
namespace {

using testing::Answer;
using testing::FullResponse;
using testing::OnlyIn;
using testing::ProxyFixture;
using testing::RequestCount;
using testing::ScriptedServer;
using namespace std::chrono_literals;

// Guards against running a request outside its allowed regions: a retry by the version with which
// the request was read, after another one moved the route.
TEST_CASE("a retry is sent to an allowed region of the policy in force") {
  ProxyFixture f;
  const auto status = GENERATE(as<std::string>{}, "reset", "not run");
  f.ChangePolicy(OnlyIn("east"));
  const auto move_route = [&](const ScriptedServer::ConnectionPtr& connection,
                              const std::string& request) {
    f.ChangePolicy(OnlyIn("west"));
    if (status == "reset") {
      connection->Reset();
    } else {
      connection->Write(FullResponse(request, "", "503 Unavailable", "Not-Run: 1\r\n"));
    }
  };
  std::vector<ScriptedServer*> east;
  for (const char* id : {"e-1", "e-2", "e-3"}) east.push_back(&f.AddServer(id, move_route));
  auto& west = f.AddServer("w-1", Answer("west"), "west-a");
  const std::string answer = f.Fetch("GET", "/read/1", "id-1");
  CHECK(RequestCount(east) == 1);
  CHECK(west.requests.size() == 1);
  CHECK(f.BodyOf(answer) == "west");
}

// Guards against running a request outside its allowed regions: its server is chosen by one
// version, and another one moves the route while the connection is being made.
TEST_CASE("a connection made before a policy change carries no request out of its allowed region") {
  ProxyFixture f;
  f.ChangePolicy(OnlyIn("east"));
  auto& east = f.AddServer("e-1", Answer("east"));
  auto& west = f.AddServer("w-1", Answer("west"), "west-a");
  f.after_start = [&] { f.ChangePolicy(OnlyIn("west")); };
  const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(east.requests.empty());
  CHECK(west.requests.size() == 1);
  CHECK(f.BodyOf(answer) == "west");
}

// Guards against a request that goes on by a version that is no longer in force.
TEST_CASE("a request that waits for a connection follows its route to another service") {
  ProxyFixture f;
  auto& old_server = f.AddServer("i-1", Answer("old"));
  auto& new_server = f.AddServer("i-2", Answer("new"), "east-a", "t");
  config::RoutingPolicy policy = f.context.routes->policy();
  policy.services.push_back({"t", "", 100});
  f.context.routes = std::make_shared<const steering::RouteTable>(std::move(policy));
  f.after_start = [&] { f.ChangePolicy([](config::Route& it) { it.services = {{"t", 1}}; }); };
  CHECK(f.BodyOf(f.Fetch("GET", "/read/1", "id-1")) == "new");
  CHECK(old_server.requests.empty());
  CHECK(new_server.requests.size() == 1);
}

// Guards against the same: the new version doesn't allow the request, or not once more.
TEST_CASE("a request that the policy in force does not allow is not sent") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("old"));
  f.after_start = [&] { f.ChangePolicy([](config::Route& it) { it.prefix = "/other/"; }); };
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "503");
  CHECK(server.requests.empty());
}

// Guards against running a request twice: a new version makes its route non-idempotent.
TEST_CASE("a request is not retried if the policy in force forbids repeats") {
  ProxyFixture f;
  const auto attempts = GENERATE(1U, 3U);
  const auto change = [&](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
    f.ChangePolicy([&](config::Route& it) {
      it.attempts = attempts;
      if (attempts > 1) it.kind = config::RequestKind::kNonIdempotent;
    });
    connection->Reset();
  };
  std::vector<ScriptedServer*> servers;
  for (const char* id : {"i-1", "i-2"}) servers.push_back(&f.AddServer(id, change));
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "502");
  CHECK(RequestCount(servers) == 1);
}

// Guards against running a request outside its allowed regions: an instance that has not heard of
// the store for a while, or was stopped meanwhile, goes by a policy that is no longer binding.
TEST_CASE("a request with allowed regions is refused while the policy may be outdated") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("x"));
  f.context.max_region_policy_age = 4s;
  f.context.policy_as_of = core::RuntimeClock::now() - 5s;
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "200");
  f.ChangePolicy(OnlyIn("east"));
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-2")) == "503");
  CHECK(server.requests.size() == 1);
  CHECK(f.context.metrics.refusals["policy-outdated"] == 1);
  f.context.policy_as_of = core::RuntimeClock::now();
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-3")) == "200");
}

// Guards against the same if the process was stopped while the request waited for a connection.
TEST_CASE("a connected request is not sent by a policy that may be outdated") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("x"));
  f.ChangePolicy(OnlyIn("east"));
  f.context.max_region_policy_age = 4s;
  f.context.policy_as_of = core::RuntimeClock::now();
  f.after_start = [&] { f.context.policy_as_of -= 5s; };
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "503");
  CHECK(server.requests.empty());
}

// Guards against work at a server for a caller that has stopped waiting.
TEST_CASE("a request whose deadline passed while the process was stopped is not sent") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("x"));
  REQUIRE(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "200");
  f.context.pool.CloseIdleConnections(*f.context.servers.Find("i-1"));
  f.after_start = [] { std::this_thread::sleep_for(1600ms); };
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-2")) == "503");
  CHECK(server.requests.size() == 1);
}

// Guards against refusing a request because its server got a new entry while it was connecting.
TEST_CASE("a request goes to its server's new entry in an allowed region") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("x"));
  f.after_start = [&] {
    auto report = f.Report("i-1", server.Address());
    report.failure_domain = "east-b";
    report.sequence = 2;
    f.Apply(report);
  };
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "200");
  CHECK(server.requests.size() == 1);
}

}  // namespace
}  // namespace vanilladeck::gateway

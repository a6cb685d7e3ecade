#include <fcntl.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "codec.h"
#include "gateway/proxy_fixture.h"
#include "names.h"
#include "vanilladeck/gateway/gateway.h"
#include "vanilladeck/http/endpoint.h"
#include "vanilladeck/membership/change_log.h"

namespace vanilladeck::platform {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using gateway::testing::ScriptedServer;

tcp::endpoint FreeEndpoint() {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint();
}

std::string PeerStateBody() {
  membership::PeerChanges state;
  state.epoch = "edge-2/1";
  state.position = 3;
  state.full = true;
  state.revision = 40;
  const nlohmann::json policy{
      {"version", "0000000c"},
      {"resources",
       {{{"type", "routes"},
         {"metadata", {{"name", "r1"}}},
         {"spec",
          {{"host", "a.example"},
           {"prefix", "/x/"},
           {"kind", "idempotent"},
           {"timeoutS", 2.5},
           {"sloS", 0.6},
           {"priority", 1},
           {"attempts", 2},
           {"backend", "s1"}}}},
        {{"type", "backends"},
         {"metadata", {{"name", "s1"}}},
         {"spec",
          {{"healthPath", "/healthz"}, {"maxConns", 330}, {"coldS", 3.0}, {"coldPerS", 8.8}}}},
        {{"type", "limits"},
         {"metadata", {{"name", "limits"}}},
         {"spec",
          {{"maxHeaderBytes", 9000},
           {"maxBodyBytes", 70000},
           {"headerTimeoutS", 3},
           {"idleTimeoutS", 15}}}}}}};
  const nlohmann::json server{
      {"address", "127.0.0.1:1"},
      {"born", 1700000000000},
      {"info", {{"backend", "s1"}, {"version", "v1"}, {"zone", "east-a"}, {"slots", 9}}},
      {"status", {{"state", "ready"}, {"seq", 4}, {"coldLeftS", 0}}}};
  state.changes = {{{"op/config", policy.dump(), 30}, false},
                   {{"servers/i-1", server.dump(), 31}, false}};
  return membership::EncodePeerChanges(state);
}

/// An instance whose store refuses connections, with one seed that responds with `status`.
struct Fixture {
  explicit Fixture(const std::string& status)
      : seed(io,
             [status](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
               const std::string body = status == "200 OK" ? PeerStateBody() : "";
               connection->Write("HTTP/1.1 " + status + "\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
             }),
        events(open("/dev/null", O_WRONLY), "edge-1"),
        codec({"east-a"}),
        instance(io, Settings(), codec, events) {
    instance.Start();
  }

  gateway::GatewaySettings Settings() const {
    gateway::GatewaySettings settings;
    settings.instance = "edge-1";
    settings.failure_domain = "east-a";
    settings.region = "east";
    settings.region_of_domain["east-a"] = "east";
    settings.clients = FreeEndpoint();
    settings.readiness = FreeEndpoint();
    settings.lookups = FreeEndpoint();
    settings.store = FreeEndpoint();
    settings.peers = FreeEndpoint();
    settings.seeds = {*vanilladeck::http::ParseEndpoint(seed.Address())};
    settings.names = Names();
    return settings;
  }

  bool ReadyWithin(core::Duration time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (!instance.Ready() && std::chrono::steady_clock::now() < end) io.run_for(50ms);
    return instance.Ready();
  }

  boost::asio::io_context io;
  ScriptedServer seed;
  telemetry::EventStream events;
  Codec codec;
  gateway::Gateway instance;
};

// Guards against an instance that answers every request with 503 because it was restarted while the
// store was unavailable or refused its calls.
TEST_CASE("an instance that starts while the store is unreachable is ready with a seed's state") {
  Fixture f("200 OK");
  CHECK(f.ReadyWithin(8s));
  CHECK_FALSE(f.seed.requests.empty());
}

// Guards against instances that start at the same time and accept each other's empty state.
TEST_CASE("a seed without a state does not make an instance ready") {
  Fixture f("503 Service Unavailable");
  CHECK_FALSE(f.ReadyWithin(3s));
  CHECK_FALSE(f.seed.requests.empty());
}

}  // namespace
}  // namespace vanilladeck::platform

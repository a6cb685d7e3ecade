#include <catch2/catch.hpp>

#include "platform/instance_fixture.h"
#include "vanilladeck/membership/change_log.h"

namespace vanilladeck::platform {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

std::string PeerStateBody() {
  membership::PeerChanges state;
  state.epoch = "edge-2/1";
  state.position = 3;
  state.full = true;
  state.revision = 40;
  const membership::InstanceRecord instance{"edge-2", "127.0.0.1:2", "east-a", "east", true, ""};
  state.changes = {
      {{"op/config", PolicyText({RouteResource("a.example", "/x/", {})}), 30}, false},
      {{"servers/i-1", ServerText(), 31}, false},
      {{"vanilladeck/instances/edge-2", membership::EncodeInstance(instance), 32}, false}};
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
        settings(MakeSettings()),
        instance(io, settings, codec, events) {
    instance.Start();
  }

  [[nodiscard]] gateway::GatewaySettings MakeSettings() const {
    gateway::GatewaySettings made = InstanceSettings();
    made.seeds = {*vanilladeck::http::ParseEndpoint(seed.Address())};
    return made;
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
  gateway::GatewaySettings settings;
  gateway::Gateway instance;
};

// Guards against an instance that answers every request with 503 because it was restarted while the
// store was unavailable or refused its calls.
TEST_CASE("an instance that starts while the store is unreachable is ready with a seed's state") {
  Fixture f("200 OK");
  CHECK(f.ReadyWithin(8s));
  CHECK_FALSE(f.seed.requests.empty());
}

// Guards against an instance that answers no lookup as long as the store is unreachable, though it
// has another instance's state.
TEST_CASE("an instance with a seed's state answers lookups") {
  Fixture f("200 OK");
  REQUIRE(f.ReadyWithin(8s));
  const auto answer = Lookup(f.io, f.settings.lookups, "a.example", "east");
  CHECK(answer.status == "200");
  CHECK(answer.addresses == std::vector<std::string>{"127.0.0.1:2"});
}

// Guards against instances that start at the same time and accept each other's empty state.
TEST_CASE("a seed without a state does not make an instance ready") {
  Fixture f("503 Service Unavailable");
  CHECK_FALSE(f.ReadyWithin(3s));
  CHECK_FALSE(f.seed.requests.empty());
}

}  // namespace
}  // namespace vanilladeck::platform

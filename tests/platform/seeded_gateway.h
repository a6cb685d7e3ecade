#pragma once

#include <string>
#include <vector>

#include "platform/instance_fixture.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/membership/registration.h"

namespace vanilladeck::platform::testing {

/// Item of a server of the service "s1".
inline store::Item ServerItem(const std::string& id, const std::string& address, std::int64_t born,
                              const std::string& zone, std::int64_t revision) {
  const nlohmann::json server{
      {"address", address},
      {"born", born},
      {"info", {{"backend", "s1"}, {"version", "v1"}, {"zone", zone}, {"slots", 9}}},
      {"status", {{"state", "ready"}, {"seq", 4}, {"coldLeftS", 0}}}};
  return {"servers/" + id, server.dump(), {0, revision}};
}

/// Response of an instance whose state is one route, instance edge-2 and `servers`.
inline std::string StateResponse(const std::vector<store::Item>& servers) {
  membership::PeerChanges state;
  state.epoch = "edge-2/1";
  state.log_position = 3;
  state.full = true;
  state.position = {0, 40};
  const membership::InstanceRecord instance{"edge-2", "127.0.0.1:2", "east-a", "east", true, ""};
  state.changes = {
      {{"op/config", PolicyText({RouteResource("a.example", "/x/", {})}), {0, 30}}, false},
      {{"vanilladeck/instances/edge-2", membership::EncodeInstance(instance), {0, 32}}, false}};
  for (const store::Item& it : servers) state.changes.push_back({it, false});
  const std::string body = membership::EncodePeerChanges(state);
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An instance whose store refuses connections, with one seed that gives the response `answer`.
struct SeededGateway {
  explicit SeededGateway(std::string response, int events_fd = open("/dev/null", O_WRONLY))
      : answer(std::move(response)),
        seed(io, [this](const ScriptedServer::ConnectionPtr& connection,
                        const std::string&) { connection->Write(answer); }),
        events(events_fd, "edge-1"),
        codec({"east-a", "west-a"}),
        settings(MakeSettings()),
        instance(io, settings, codec, events) {
    instance.Start();
  }

  [[nodiscard]] gateway::GatewaySettings MakeSettings() const {
    gateway::GatewaySettings made = InstanceSettings();
    made.seeds = {*vanilladeck::http::ParseEndpoint(seed.Address())};
    return made;
  }

  template <class Predicate>
  bool RunUntil(Predicate predicate, core::Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!predicate() && std::chrono::steady_clock::now() < end) io.run_for(50ms);
    return predicate();
  }
  bool ReadyWithin(core::Duration time) {
    return RunUntil([this] { return instance.Ready(); }, time);
  }

  std::string answer;
  boost::asio::io_context io;
  ScriptedServer seed;
  telemetry::EventStream events;
  Codec codec;
  gateway::GatewaySettings settings;
  gateway::Gateway instance;
};

}  // namespace vanilladeck::platform::testing

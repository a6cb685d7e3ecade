#pragma once

#include <fcntl.h>

#include <boost/asio/connect.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "codec.h"
#include "gateway/proxy_fixture.h"
#include "names.h"
#include "vanilladeck/gateway/gateway.h"
#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::platform::testing {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using gateway::testing::ProxyFixture;
using gateway::testing::ScriptedServer;

inline tcp::endpoint FreeEndpoint() {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint();
}

/// A route of the platform's policy.
inline nlohmann::json RouteResource(const std::string& host, const std::string& prefix,
                                    const std::vector<std::string>& allowed_regions) {
  return {{"type", "routes"},
          {"metadata", {{"name", host + prefix}}},
          {"spec",
           {{"host", host},
            {"prefix", prefix},
            {"kind", "idempotent"},
            {"timeoutS", 2.5},
            {"sloS", 0.6},
            {"priority", 1},
            {"attempts", 2},
            {"allowedRegions", allowed_regions},
            {"backend", "s1"}}}};
}

/// Text of the platform's policy with `routes`, one service and limits.
inline std::string PolicyText(std::vector<nlohmann::json> resources) {
  resources.push_back(
      {{"type", "backends"},
       {"metadata", {{"name", "s1"}}},
       {"spec",
        {{"healthPath", "/healthz"}, {"maxConns", 330}, {"coldS", 3.0}, {"coldPerS", 8.8}}}});
  resources.push_back({{"type", "limits"},
                       {"metadata", {{"name", "limits"}}},
                       {"spec",
                        {{"maxHeaderBytes", 9000},
                         {"maxBodyBytes", 70000},
                         {"headerTimeoutS", 3},
                         {"idleTimeoutS", 15}}}});
  return nlohmann::json{{"version", "0000000c"}, {"resources", resources}}.dump();
}

/// Text of a ready server's entry in failure domain east-a.
inline std::string ServerText() {
  return nlohmann::json{
      {"address", "127.0.0.1:1"},
      {"born", 1700000000000},
      {"info", {{"backend", "s1"}, {"version", "v1"}, {"zone", "east-a"}, {"slots", 9}}},
      {"status", {{"state", "ready"}, {"seq", 4}, {"coldLeftS", 0}}}}
      .dump();
}

/// Settings of instance edge-1 in region east, whose store refuses connections.
inline gateway::GatewaySettings InstanceSettings() {
  gateway::GatewaySettings settings;
  settings.instance = "edge-1";
  settings.failure_domain = "east-a";
  settings.region = "east";
  settings.region_of_domain["east-a"] = "east";
  settings.region_of_domain["west-a"] = "west";
  settings.clients = FreeEndpoint();
  settings.readiness = FreeEndpoint();
  settings.lookups = FreeEndpoint();
  settings.store = FreeEndpoint();
  settings.peers = FreeEndpoint();
  settings.names = Names();
  return settings;
}

/// Sends a request to a listener and returns the response while running `io`.
inline std::string Exchange(boost::asio::io_context& io, const tcp::endpoint& endpoint,
                            const std::string& request) {
  tcp::socket socket(io);
  socket.connect(endpoint);
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string text;
  const auto end = std::chrono::steady_clock::now() + 3s;
  while (!ProxyFixture::HasAnswer(text) && std::chrono::steady_clock::now() < end) {
    io.run_one_for(10ms);
    std::array<char, 4096> buf{};
    if (socket.available() > 0) text.append(buf.data(), socket.read_some(boost::asio::buffer(buf)));
  }
  REQUIRE(ProxyFixture::HasAnswer(text));
  return text;
}

/// Addresses of a lookup response; empty if the status is 503.
struct LookupAnswer {
  std::string status;
  std::vector<std::string> addresses;
};

/// Sends a lookup of `host` for a caller in `region` while running `io`.
inline LookupAnswer Lookup(boost::asio::io_context& io, const tcp::endpoint& lookups,
                           const std::string& host, const std::string& region) {
  const std::string text = Exchange(io, lookups,
                                    "GET /-/resolve?name=" + host + "&region=" + region +
                                        "&zone=" + region + "-a HTTP/1.1\r\nHost: lookup\r\n\r\n");
  LookupAnswer answer{ProxyFixture::StatusOf(text), {}};
  if (answer.status == "200") {
    answer.addresses = nlohmann::json::parse(ProxyFixture::BodyOf(text))["addresses"]
                           .get<std::vector<std::string>>();
  }
  return answer;
}

}  // namespace vanilladeck::platform::testing

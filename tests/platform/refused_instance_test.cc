#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

#include "platform/instance_fixture.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/membership/registration.h"

namespace vanilladeck::platform {
namespace {

using testing::ScriptedServer;
using namespace std::chrono_literals;

std::string Policy(const std::string& version) {
  return nlohmann::json{{"version", version}, {"resources", nlohmann::json::array()}}.dump();
}

void Respond(const ScriptedServer::ConnectionPtr& connection, const std::string& status,
             const std::string& body) {
  connection->Write("HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
}

/// An instance whose store refuses all calls after a number of listings, and another instance that
/// the store answers.
struct Fixture {
  explicit Fixture(int listings, core::Duration seed_age)
      : listings_left(listings),
        store(io,
              [this](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
                const bool listing = request.find("/-/kv-range?prefix=&") != std::string::npos ||
                                     request.find("/-/kv-range?prefix= ") != std::string::npos;
                if (listing && listings_left-- > 0) {
                  Respond(connection, "200 OK", ListingBody());
                } else {
                  Respond(connection, "503 Service Unavailable", "");
                }
              }),
        other(io, [this](const ScriptedServer::ConnectionPtr& connection,
                         const std::string& request) { OnPeerRequest(connection, request); }),
        seed(io,
             [this, seed_age](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
               membership::PeerChanges state;
               state.epoch = "edge-3/1";
               state.log_position = 3;
               state.full = true;
               state.position = {0, 10};
               state.age = seed_age;
               state.changes = {{OldPolicy(), false}, {OtherInstance(), false}};
               Respond(connection, "200 OK", membership::EncodePeerChanges(state));
             }),
        log(std::tmpfile()),
        events(fileno(log), "edge-1"),
        codec({"east-a"}),
        instance(io, Settings(), codec, events) {
    instance.Start();
  }
  ~Fixture() { (void)std::fclose(log); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  static store::Item OldPolicy() { return {"op/config", Policy("0000000c"), {0, 3}}; }
  [[nodiscard]] store::Item OtherInstance() const {
    return {"vanilladeck/instances/edge-2",
            membership::EncodeInstance(
                {"edge-2", "127.0.0.1:1", "east-a", "east", true, other.Address()}),
            {0, 4}};
  }

  [[nodiscard]] std::string ListingBody() const {
    auto items = nlohmann::json::array();
    for (const store::Item& it : {OldPolicy(), OtherInstance()}) {
      const auto call = codec.Encode(store::PutItem{it.key, it.value, 0});
      const auto encoded = nlohmann::json::parse(call.body)["setKeys"][0]["value"];
      items.push_back(
          {{"key", it.key}, {"value", encoded}, {"rev", it.position.revision().number}});
    }
    return nlohmann::json{{"items", items}, {"hasMore", false}, {"currentRev", 10}}.dump();
  }

  void OnPeerRequest(const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
    const std::string_view line(request);
    const auto begin = line.find(' ') + 1;
    const auto known =
        gateway::DecodePeerRequest(line.substr(begin, line.find(' ', begin) - begin), 0);
    REQUIRE(known.has_value());
    membership::PeerChanges changes;
    changes.epoch = "edge-2/1";
    changes.full = known->position == store::Position() && known->epoch.empty();
    changes.age = 100ms;
    // Each answer holds the next policy.
    const std::size_t next = known->epoch == changes.epoch ? known->log_position : 0;
    changes.log_position = std::min(next + 1, policies.size());
    changes.position = policies[changes.log_position - 1].position;
    if (next < policies.size()) {
      changes.changes = {{policies[next], false}, {OtherInstance(), false}};
    }
    Respond(connection, "200 OK", membership::EncodePeerChanges(changes));
  }

  [[nodiscard]] gateway::GatewaySettings Settings() const {
    gateway::GatewaySettings settings = testing::InstanceSettings();
    settings.store = *vanilladeck::http::ParseEndpoint(store.Address());
    settings.seeds = {*vanilladeck::http::ParseEndpoint(seed.Address())};
    settings.follower.check_prefix = "op/";
    return settings;
  }

  [[nodiscard]] std::string Events() const {
    std::string text(1U << 20U, '\0');
    const ssize_t n = pread(fileno(log), text.data(), text.size(), 0);
    text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return text;
  }

  bool PolicyWithin(int version, core::Duration time) {
    const std::string line =
        "\"event\":\"policy\",\"instance\":\"edge-1\",\"version\":" + std::to_string(version) + ",";
    const auto end = std::chrono::steady_clock::now() + time;
    bool found = false;
    while (!found && std::chrono::steady_clock::now() < end) {
      io.run_for(50ms);
      found = Events().find(line) != std::string::npos;
    }
    return found;
  }

  int listings_left;
  std::vector<store::Item> policies{{"op/config", Policy("0000000d"), {0, 50}}};
  boost::asio::io_context io;
  ScriptedServer store;
  ScriptedServer other;
  ScriptedServer seed;
  std::FILE* log;
  telemetry::EventStream events;
  Codec codec;
  gateway::Gateway instance;
};

// Guards against an instance that keeps an old policy for as long as the store refuses its calls,
// although the store answers other instances: one that reads the store itself asked no other.
TEST_CASE("an instance that the store refuses gets a new policy from another instance") {
  Fixture f(1, 0s);
  REQUIRE(f.PolicyWithin(12, 4s));
  CHECK(f.PolicyWithin(13, 5s));
  CHECK(f.seed.requests.empty());
  // Each answer counts as news for a while, and later ones are deltas.
  f.other.requests.clear();
  f.io.run_for(3s);
  CHECK(f.other.requests.size() <= 4);
  REQUIRE_FALSE(f.other.requests.empty());
  CHECK(f.other.requests.back().find("epoch=edge-2/1") != std::string::npos);
}

// Guards against an instance that starts while the store refuses it, and that keeps the old state
// of its only seed although it knows of other instances.
TEST_CASE("an instance that starts with an old state of a seed gets a newer one elsewhere") {
  Fixture f(0, 60s);
  REQUIRE(f.PolicyWithin(12, 4s));
  CHECK(f.PolicyWithin(13, 5s));
}

// Guards against an instance that keeps an old policy because it could not use the one before the
// newest.
TEST_CASE("a policy that cannot be used does not keep a later one from being used") {
  Fixture f(1, 0s);
  f.policies.insert(f.policies.begin(), {"op/config", "{}", {0, 40}});
  REQUIRE(f.PolicyWithin(12, 4s));
  CHECK(f.PolicyWithin(13, 8s));
  CHECK(f.Events().find("\"event\":\"entry-rejected\"") != std::string::npos);
}

}  // namespace
}  // namespace vanilladeck::platform

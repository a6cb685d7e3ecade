#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>

#include "platform/logged_gateway.h"
#include "platform/scripted_store.h"
#include "platform/slow_link.h"
#include "vanilladeck/membership/feed_source.h"
#include "vanilladeck/membership/registration.h"

namespace vanilladeck::platform {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr int kInstances = 6;
constexpr int kRoutes = 1400;
// A share of a 10 Mbit/s link that other instances and clients leave.
constexpr double kLinkBytesPerSecond = 250'000;
// Carries a large policy in about 3 s, longer than a store may be silent.
constexpr double kDirectLinkBytesPerSecond = 150'000;
// Carries a large policy in longer than `kBound`.
constexpr double kNarrowLinkBytesPerSecond = 100'000;
// `bounds.configS` and `bounds.drainS` of the small deployments.
constexpr core::Duration kBound = 2500ms;
constexpr std::size_t kSmallPolicyBytes = 10'000;
// Part of the target of a call that checks the operators' keys.
constexpr const char* kCheck = "serializable=1";

std::string LargePolicy(std::uint64_t version) {
  std::vector<nlohmann::json> resources;
  resources.reserve(kRoutes);
  for (int i = 0; i < kRoutes; ++i) {
    resources.push_back(RouteResource("a.example", "/route" + std::to_string(i * 7919) + "/", {}));
  }
  auto policy = nlohmann::json::parse(PolicyText(resources));
  std::array<char, 9> text{};
  (void)std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(version));
  policy["version"] = text.data();
  return policy.dump();
}

std::string SmallPolicy() { return PolicyText({RouteResource("a.example", "/x/", {})}); }

struct Fixture {
  static gateway::GatewaySettings SettingsOf(const std::string& name) {
    gateway::GatewaySettings settings = InstanceSettings();
    settings.instance = name;
    settings.follower.check_prefix = "op/";
    return settings;
  }

  template <class Predicate>
  bool RunUntil(Predicate predicate, core::Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!predicate() && std::chrono::steady_clock::now() < end) io.run_for(20ms);
    return predicate();
  }

  boost::asio::io_context io;
  ScriptedStore store{io};
};

/// An instance on a slow link that gets changes from another one, which reads the store. Other
/// instances are only listed.
struct RelayFixture : Fixture {
  explicit RelayFixture(const std::string& policy, double bytes_per_second = kLinkBytesPerSecond)
      : link(io, bytes_per_second) {
    store.Put("op/config", policy);
    store.Put("servers/i-1", Server("ready", 4));
    const auto [reader_name, asking_name] = Names();
    gateway::GatewaySettings reader_settings = SettingsOf(reader_name);
    reader_settings.store = store.endpoint();
    gateway::GatewaySettings asking_settings = SettingsOf(asking_name);
    asking_settings.store = link.Relay(store.endpoint());
    const auto relay = link.Relay(reader_settings.peers);
    ListInstances(vanilladeck::http::EndpointText(relay));
    reader = std::make_unique<LoggedGateway>(io, reader_settings);
    asking = std::make_unique<LoggedGateway>(io, asking_settings);
    reader->instance.Start();
    REQUIRE(RunUntil([this] { return reader->instance.Ready(); }, 5s));
    asking->instance.Start();
    if (policy.size() > kSmallPolicyBytes) return;
    const bool ready = RunUntil([this] { return asking->instance.Ready(); }, 5s);
    INFO(asking->Events());
    REQUIRE(ready);
  }

  /// Lists all instances with one address for requests of other instances.
  void ListInstances(const std::string& peer_address) {
    for (int i = 1; i <= kInstances; ++i) {
      const std::string name = "edge-" + std::to_string(i);
      store.Put(
          "vanilladeck/instances/" + name,
          membership::EncodeInstance({name, "127.0.0.1:1", "east-a", "east", true, peer_address}));
    }
  }

  /// Names of an instance that reads the store and of one that asks a reader.
  static std::pair<std::string, std::string> Names() {
    std::vector<membership::FeedPeer> peers;
    for (int i = 1; i <= kInstances; ++i) {
      peers.push_back({"edge-" + std::to_string(i), "127.0.0.1:1"});
    }
    std::pair<std::string, std::string> names;
    for (const auto& it : peers) {
      membership::FeedSource source(it.name);
      source.SetPeers(peers);
      const bool reads_store = source.Choose(core::RuntimeClock::now()) == nullptr;
      (reads_store ? names.first : names.second) = it.name;
    }
    return names;
  }

  SlowLink link;
  std::unique_ptr<LoggedGateway> reader;
  std::unique_ptr<LoggedGateway> asking;
};

/// An instance on a slow link that reads the store itself.
struct DirectFixture : Fixture {
  DirectFixture() : link(io, kDirectLinkBytesPerSecond), instance(io, Settings()) {
    store.Put("op/config", SmallPolicy());
    store.Put("servers/i-1", Server("ready", 4));
    instance.instance.Start();
    REQUIRE(RunUntil([this] { return instance.instance.Ready(); }, 5s));
  }

  gateway::GatewaySettings Settings() {
    gateway::GatewaySettings settings = SettingsOf("edge-1");
    settings.store = link.Relay(store.endpoint());
    return settings;
  }

  SlowLink link;
  LoggedGateway instance;
};

// Guards against a policy that does not come into force in time: an instance discards a response
// that takes longer than a fixed time and starts again at another source.
TEST_CASE("a large policy reaches an instance on a slow link in time") {
  RelayFixture f(SmallPolicy());
  f.store.Put("op/config", LargePolicy(13));
  CHECK(f.RunUntil([&] { return f.asking->HasPolicy(13); }, kBound));
}

// Guards against a second transfer of a policy that is already on its way, which takes half of a
// slow link: the reader states its version with the first message.
TEST_CASE("a policy is not read from other instances unless the store has returned from a copy") {
  RelayFixture f(SmallPolicy(), kNarrowLinkBytesPerSecond);
  // From its first poll of the reader on.
  f.io.run_for(2s);
  f.store.Put("op/config", LargePolicy(13));
  REQUIRE(f.RunUntil([&] { return f.asking->HasPolicy(13); }, kBound));
  f.io.run_for(300ms);
  CHECK_FALSE(f.asking->Logged("policy-behind"));
}

// Guards against an instance that never becomes ready: its listing takes longer than a call may.
TEST_CASE("an instance on a slow link starts with a large policy") {
  RelayFixture f(LargePolicy(12));
  CHECK(f.RunUntil([&] { return f.asking->instance.Ready(); }, 5s));
}

// Guards against requests to a server that has left: its report is behind a large policy in the
// same response.
TEST_CASE("a server's leaving is known while a large policy is in transfer") {
  RelayFixture f(SmallPolicy(), kNarrowLinkBytesPerSecond);
  f.store.Put("op/config", LargePolicy(13));
  f.store.Put("servers/i-1", Server("draining", 5));
  CHECK(f.RunUntil([&] { return f.asking->KnowsDraining(); }, kBound));
  CHECK(f.RunUntil([&] { return f.asking->HasPolicy(13); }, kBound));
}

// Guards against an instance that keeps asking a reader for a policy that it does not pass on.
TEST_CASE("a policy that the reader does not pass on is read from the store") {
  const std::string response = GENERATE(
      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nItem-Revision: 99\r\nEra: 1\r\nContent-Length: 4\r\n\r\nnope",
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nItem-Revision: 99\r\nEra: 1\r\nContent-Length: 900000\r\n\r\nends early");
  CAPTURE(response);
  RelayFixture f(SmallPolicy());
  std::size_t item_requests = 0;
  ScriptedServer reader(
      f.io, [&](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
        if (request.find("/peer/item") != std::string::npos) {
          ++item_requests;
          connection->Write(response);
          if (response.find("early") != std::string::npos) connection->Close();
          return;
        }
        membership::PeerChanges changes;
        changes.epoch = "other/1";
        changes.position = {ScriptedStore::kFirstEra, 99};
        changes.references = {{"op/config", changes.position}};
        const std::string body = membership::EncodePeerChanges(changes);
        connection->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
      });
  f.ListInstances(reader.Address());
  REQUIRE(f.RunUntil([&] { return item_requests > 0; }, 5s));
  f.store.Put("op/config", LargePolicy(13));
  CHECK(f.RunUntil([&] { return f.asking->HasPolicy(13); }, 6s));
  CHECK(item_requests < 10);
}

// Guards against requests to a server that has left: a reader that lists the store hears it all the
// time, but passes on no changes until the listing is complete; and instances that disagree about
// the readers ask each other in a circle.
TEST_CASE("a reader that may have missed changes for long, or is none, is not relied on") {
  const bool relayed = GENERATE(false, true);
  CAPTURE(relayed);
  RelayFixture f(SmallPolicy());
  ScriptedServer reader(
      f.io, [relayed](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
        membership::PeerChanges changes;
        changes.epoch = "other/1";
        changes.position = {ScriptedStore::kFirstEra, 0};
        changes.relayed = relayed;
        if (!relayed) changes.behind = 5s;
        const std::string body = membership::EncodePeerChanges(changes);
        connection->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
      });
  f.ListInstances(reader.Address());
  (void)f.RunUntil([&] { return reader.requests.size() > 1; }, 5s);
  f.store.Put("servers/i-1", Server("draining", 5));
  CHECK(f.RunUntil([&] { return f.asking->KnowsDraining(); }, kBound));
}

// Guards against requests to a server that has left although no policy changes: an instance reads
// no changes while it reads the operators' keys to check them.
TEST_CASE("a server's leaving is known while the policy is checked") {
  RelayFixture f(SmallPolicy());
  f.store.hold_checks = true;
  const std::size_t checks = f.store.RequestsWith(kCheck);
  REQUIRE(f.RunUntil([&] { return f.store.RequestsWith(kCheck) > checks; }, 5s));
  f.store.Put("servers/i-1", Server("draining", 5));
  CHECK(f.RunUntil([&] { return f.reader->KnowsDraining(); }, 500ms));
}

// Guards against requests to a server that has left: removals are deferred after an outage of the
// store, for which a slow transfer was taken.
TEST_CASE("a removal that arrives with a slow transfer is not deferred") {
  DirectFixture f;
  f.store.Remove("servers/i-1");
  f.store.Put("op/config", LargePolicy(13));
  CHECK(f.RunUntil([&] { return f.instance.HasPolicy(13); }, 6s));
  CHECK(f.RunUntil([&] { return f.instance.Logged("\"event\":\"server-removed\""); }, 500ms));
}

// Guards against links that are full of transfers of a policy that has not changed.
TEST_CASE("an instance that asks a reader does not read a known policy again") {
  RelayFixture f(SmallPolicy());
  f.store.Put("op/config", LargePolicy(13));
  CHECK(f.RunUntil([&] { return f.asking->HasPolicy(13); }, 15s));
  const std::size_t bytes = f.link.bytes();
  (void)f.RunUntil([] { return false; }, 4s);
  CHECK(f.link.bytes() - bytes < 50'000);
}

}  // namespace
}  // namespace vanilladeck::platform

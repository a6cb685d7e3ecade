#include <catch2/catch.hpp>

#include "platform/logged_gateway.h"
#include "platform/scripted_store.h"
#include "platform/slow_link.h"
#include "vanilladeck/membership/registration.h"

namespace vanilladeck::platform {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr core::Duration kStartTimeout = 5000ms;
// An instance that is cut off notices it and asks another one within this time.
constexpr core::Duration kFallbackTime = 6000ms;
constexpr double kFastLink = 1e9;

std::string Policy(std::uint64_t version) {
  auto policy = nlohmann::json::parse(PolicyText({RouteResource("a.example", "/x/", {})}));
  std::array<char, 9> text{};
  (void)std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(version));
  policy["version"] = text.data();
  return policy.dump();
}

/// Two instances, of which edge-1 reaches the store over a link that can be cut.
struct TwoInstances {
  TwoInstances()
      : link(io, kFastLink),
        reading(io, SettingsOf("edge-2", store.endpoint())),
        cut_off(io, SettingsOf("edge-1", link.Relay(store.endpoint()))) {
    store.Put("op/config", Policy(12));
    store.Put("servers/i-1", Server("ready", 4));
    store.Put("vanilladeck/instances/edge-2",
              membership::EncodeInstance({"edge-2", "127.0.0.1:2", "east-a", "east", true,
                                          vanilladeck::http::EndpointText(peers)}));
    reading.instance.Start();
    cut_off.instance.Start();
    REQUIRE(RunUntil([this] { return reading.instance.Ready() && cut_off.instance.Ready(); },
                     kStartTimeout));
  }

  gateway::GatewaySettings SettingsOf(const std::string& name, const tcp::endpoint& store_address) {
    gateway::GatewaySettings settings = InstanceSettings();
    settings.instance = name;
    settings.store = store_address;
    settings.follower.check_prefix = "op/";
    if (name == "edge-2") {
      peers = settings.peers;
      lookups = settings.lookups;
    }
    return settings;
  }

  template <class Predicate>
  bool RunUntil(Predicate predicate, core::Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!predicate() && std::chrono::steady_clock::now() < end) io.run_for(20ms);
    return predicate();
  }

  /// Sends a request that states era 2.
  void Ask(const tcp::endpoint& endpoint) {
    tcp::socket socket(io);
    socket.connect(endpoint);
    boost::asio::write(socket, boost::asio::buffer(gateway::EncodePeerRequest(
                                   {"edge-3/1", 3, {1, 12}}, {"edge-3", {}, 2})));
    io.run_for(300ms);
  }

  boost::asio::io_context io;
  ScriptedStore store{io};
  tcp::endpoint peers;  ///< Of the instance that reads the store.
  tcp::endpoint lookups;
  SlowLink link;
  LoggedGateway reading;
  LoggedGateway cut_off;
};

}  // namespace

// Guards against an instance without a connection to the store that keeps the lost state: it got
// only deltas, which it cannot use in the new era.
TEST_CASE("an instance that is cut off takes the state of the new era from another one") {
  TwoInstances f;
  const auto copy = f.store.TakeCopy();
  auto lost = nlohmann::json::parse(ServerText());
  lost["address"] = "127.0.0.1:3";
  f.store.Put("servers/i-3", lost.dump());
  const auto knows_lost = [&] { return f.cut_off.Logged("\"server\":\"i-3\""); };
  REQUIRE(f.RunUntil(knows_lost, kStartTimeout));
  f.link.Cut();
  for (int i = 0; i < 100; ++i) f.store.Put("servers/i-1", Server("ready", 4));
  f.store.Put("op/config", Policy(13));
  REQUIRE(f.RunUntil([&] { return f.cut_off.HasPolicy(13); }, kFallbackTime));
  f.store.ReturnFrom(copy);
  f.store.Put("op/config", Policy(14));
  CHECK(f.RunUntil([&] { return f.cut_off.HasPolicy(14); }, kFallbackTime));
  CHECK(f.cut_off.Logged("\"era\":2,\"source\":\"edge-2\""));
  CHECK(
      f.RunUntil([&] { return f.cut_off.Logged("\"event\":\"server-removed\""); }, kFallbackTime));
}

// Guards against a reader that learns of the store's return later than those that ask it, and
// against clients that set the era.
TEST_CASE("a reader learns a newer era from the requests of other instances only") {
  TwoInstances f;
  f.Ask(f.lookups);
  CHECK_FALSE(f.reading.Logged("\"known\":1,\"era\":2"));
  f.Ask(f.peers);
  CHECK(f.reading.Logged("\"known\":1,\"era\":2,\"source\":\"edge-3\""));
}

}  // namespace vanilladeck::platform

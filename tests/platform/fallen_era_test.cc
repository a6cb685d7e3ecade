#include <catch2/catch.hpp>

#include "platform/logged_gateway.h"
#include "platform/scripted_store.h"

/// What an instance passes on after the store has stated a lower era, twice.
namespace vanilladeck::platform {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr core::Duration kStartTimeout = 5000ms;
constexpr core::Duration kReadTimeout = 2500ms;
// The watch that is under way ends before the listing begins.
constexpr core::Duration kListingTime = 1500ms;
constexpr store::Era kHighEra = 5;

struct FallenEraFixture {
  FallenEraFixture() {
    store.SetEra(kHighEra);
    store.Put("op/config", PolicyText({RouteResource("a.example", "/x/", {})}));
    store.Put("servers/i-1", ServerText());
    settings = InstanceSettings();
    settings.store = store.endpoint();
    settings.follower.check_prefix = "op/";
    gateway = std::make_unique<LoggedGateway>(io, settings);
    gateway->instance.Start();
    REQUIRE(RunUntil([this] { return gateway->instance.Ready(); }, kStartTimeout));
  }

  template <class Predicate>
  bool RunUntil(Predicate predicate, core::Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!predicate() && std::chrono::steady_clock::now() < end) io.run_for(20ms);
    return predicate();
  }

  /// What the instance answers another one whose position is `known`, in the era of that position.
  membership::PeerChanges Ask(const membership::PeerPosition& known) {
    tcp::socket socket(io);
    socket.connect(settings.peers);
    boost::asio::write(socket, boost::asio::buffer(gateway::EncodePeerRequest(
                                   known, {"edge-2", {}, known.position.era()})));
    std::string text;
    (void)RunUntil(
        [&] {
          std::array<char, 4096> buf{};
          if (socket.available() > 0) {
            text.append(buf.data(), socket.read_some(boost::asio::buffer(buf)));
          }
          return ProxyFixture::HasAnswer(text);
        },
        kReadTimeout);
    const auto changes = membership::DecodePeerChanges(ProxyFixture::BodyOf(text));
    REQUIRE(changes.has_value());
    return *changes;
  }

  boost::asio::io_context io;
  ScriptedStore store{io};
  gateway::GatewaySettings settings;
  std::unique_ptr<LoggedGateway> gateway;
};

}  // namespace

// Guards against whole states that are sent with each message, and in positions of the order that
// was given up.
TEST_CASE("an instance whose store's era fell passes changes on in the new order") {
  FallenEraFixture f;
  const auto before = f.Ask({});
  REQUIRE(before.position.era() == kHighEra);
  f.store.SetEra(kHighEra - 1);
  REQUIRE(f.RunUntil([&] { return f.gateway->Logged("\"known\":5,\"era\":4"); }, kReadTimeout));
  f.io.run_for(kListingTime);
  const auto after = f.Ask({before.epoch, before.log_position, {kHighEra - 1, 3}});
  CHECK(after.full);
  CHECK(after.position.era() == kHighEra - 1);
  CHECK(after.changes.size() == 2);
  for (const store::Change& it : after.changes) CHECK(it.item.position.era() == kHighEra - 1);
  f.store.Put("servers/i-1", Server("draining", 5));
  REQUIRE(f.RunUntil([&] { return f.gateway->KnowsDraining(); }, kReadTimeout));
  const auto next = f.Ask({after.epoch, after.log_position, after.position});
  CHECK_FALSE(next.full);
  CHECK(next.changes.size() == 1);
}

}  // namespace vanilladeck::platform

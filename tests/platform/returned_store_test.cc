#include <catch2/catch.hpp>
#include <sstream>

#include "platform/logged_gateway.h"
#include "platform/scripted_store.h"

namespace vanilladeck::platform {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

// `bounds.configS` and `bounds.drainS` of the small deployments.
constexpr core::Duration kBound = 2500ms;
constexpr core::Duration kStartTimeout = 5000ms;
// Longer than the pause between two watches, after which the instance knows what was written.
constexpr core::Duration kReadTime = 1200ms;
// Longer than the time for which what a copy brings back is held.
constexpr core::Duration kHeldTime = 4000ms;
// Writes between the copy and the return, so that what is written afterwards has lower revisions.
constexpr int kLostWrites = 300;

std::string Policy(std::uint64_t version) {
  auto policy = nlohmann::json::parse(PolicyText({RouteResource("a.example", "/x/", {})}));
  std::array<char, 9> text{};
  (void)std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(version));
  policy["version"] = text.data();
  return policy.dump();
}

/// An instance that has listed a store with a policy of version 12 and the server i-1.
struct ReturnedStoreFixture {
  explicit ReturnedStoreFixture(bool states_era = true) : store(io), gateway(io, Settings()) {
    store.states_era = states_era;
    store.Put("op/config", Policy(12));
    store.Put("servers/i-1", Server("ready", 4));
    store.Put("servers/i-2", OtherServer());
    gateway.instance.Start();
    REQUIRE(RunUntil([this] { return gateway.instance.Ready(); }, kStartTimeout));
  }

  [[nodiscard]] gateway::GatewaySettings Settings() const {
    gateway::GatewaySettings settings = InstanceSettings();
    settings.store = store.endpoint();
    settings.follower.check_prefix = "op/";
    return settings;
  }

  static std::string OtherServer() {
    auto server = nlohmann::json::parse(ServerText());
    server["address"] = "127.0.0.1:2";
    return server.dump();
  }

  /// The server reports, and the instance reads the store, as often as it takes.
  void WriteMore() {
    for (int i = 0; i < kLostWrites; ++i) store.Put("servers/i-2", OtherServer());
    Run(kReadTime);
  }

  /// Number of times that the server was added to those in use.
  [[nodiscard]] std::size_t Added(const std::string& id) const {
    std::istringstream lines(gateway.Events());
    std::size_t n = 0;
    for (std::string line; std::getline(lines, line);) {
      const bool added = line.find("\"event\":\"server-added\"") != std::string::npos;
      if (added && line.find("\"server\":\"" + id + '"') != std::string::npos) ++n;
    }
    return n;
  }

  void Run(core::Duration time) { io.run_for(time); }
  template <class Predicate>
  bool RunUntil(Predicate predicate, core::Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!predicate() && std::chrono::steady_clock::now() < end) io.run_for(20ms);
    return predicate();
  }

  boost::asio::io_context io;
  ScriptedStore store;
  LoggedGateway gateway;
};

}  // namespace

// Guards against a policy that is dropped as older than what the store lost.
TEST_CASE("a policy written after the store returned from an older copy comes into force") {
  const bool states_era = GENERATE(true, false);
  ReturnedStoreFixture f(states_era);
  const auto copy = f.store.TakeCopy();
  f.WriteMore();
  f.store.Put("op/config", Policy(13));
  REQUIRE(f.RunUntil([&] { return f.gateway.HasPolicy(13); }, kBound));
  f.store.ReturnFrom(copy);
  f.Run(2000ms);
  f.store.Put("op/config", Policy(14));
  CHECK(f.RunUntil([&] { return f.gateway.HasPolicy(14); }, kBound));
}

// Guards against requests to a server whose report of leaving is dropped as older than what the
// store lost.
TEST_CASE("a leaving reported after the store returned from an older copy is known") {
  const bool states_era = GENERATE(true, false);
  ReturnedStoreFixture f(states_era);
  const auto copy = f.store.TakeCopy();
  f.WriteMore();
  f.store.Put("servers/i-1", Server("ready", 5));
  f.Run(kReadTime);
  f.store.ReturnFrom(copy);
  f.Run(2000ms);
  f.store.Put("servers/i-1", Server("draining", 6));
  CHECK(f.RunUntil([&] { return f.gateway.KnowsDraining(); }, kBound));
}

// Guards against requests to a server whose leaving the store has lost: the copy lists it as ready
// after the time for which it is held back.
TEST_CASE("a server that left before the store returned from an older copy is not used") {
  const bool states_era = GENERATE(true, false);
  ReturnedStoreFixture f(states_era);
  const auto copy = f.store.TakeCopy();
  f.store.Put("servers/i-1", Server("draining", 5));
  f.WriteMore();
  f.store.Remove("servers/i-1");
  f.store.Put("servers/i-2", ReturnedStoreFixture::OtherServer());
  REQUIRE(f.RunUntil([&] { return f.gateway.Logged("server-removed"); }, kBound));
  const std::size_t added = f.Added("i-1");
  f.store.ReturnFrom(copy);
  f.Run(kHeldTime);
  CHECK(f.Added("i-1") == added);
  CHECK(f.gateway.Logged("server-report-dropped"));
  // A newer report of the server that reported that it leaves.
  f.store.Put("servers/i-1", Server("ready", 6));
  REQUIRE(f.RunUntil([&] { return f.Added("i-1") > added; }, kBound));
  CHECK(f.gateway.Logged("\"sequence\":6,\"cold_ms\":0,\"draining\":true"));
}

// Guards against changes that a store without history delays.
TEST_CASE("changes are known in time although the store keeps no history") {
  ReturnedStoreFixture f;
  f.store.lose_history = true;
  f.WriteMore();
  f.store.Put("op/config", Policy(13));
  f.store.Put("servers/i-1", Server("draining", 5));
  CHECK(f.RunUntil([&] { return f.gateway.HasPolicy(13) && f.gateway.KnowsDraining(); }, kBound));
}

// Guards against a log that does not tell a store without history from one that lost data.
TEST_CASE("the log tells whether lost history came with lost data") {
  ReturnedStoreFixture f;
  const auto copy = f.store.TakeCopy();
  f.WriteMore();
  SECTION("history only") {
    f.store.lose_history = true;
    f.store.Put("servers/i-1", Server("ready", 5));
    REQUIRE(f.RunUntil([&] { return f.gateway.Logged("listing-read"); }, kBound));
    CHECK_FALSE(f.gateway.Logged("\"went_back\":true"));
    CHECK_FALSE(f.gateway.Logged("\"known\":1,\"era\":2"));
  }
  SECTION("data") {
    f.store.ReturnFrom(copy);
    REQUIRE(f.RunUntil([&] { return f.gateway.Logged("listing-read"); }, kBound));
    CHECK(f.gateway.Logged("\"went_back\":true"));
    CHECK(f.gateway.Logged("\"known\":1,\"era\":2"));
  }
}

}  // namespace vanilladeck::platform

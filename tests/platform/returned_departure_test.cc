#include <catch2/catch.hpp>
#include <sstream>

#include "platform/logged_gateway.h"
#include "platform/scripted_store.h"
#include "vanilladeck/core/deflate.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/membership/registration.h"

/// Which servers an instance uses that has nothing but the copy from which the store has returned,
/// while others know which of these had left.
namespace vanilladeck::platform {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr core::Duration kStartTimeout = 5000ms;
constexpr core::Duration kReadTimeout = 2500ms;
// The log is written a few times a second.
constexpr core::Duration kFlushTime = 300ms;
// Writes between the copy and the return, so that what is written afterwards has lower revisions.
constexpr int kLostWrites = 100;
constexpr const char* kLeft = "servers/i-1";
constexpr const char* kOther = "servers/i-2";

std::string OtherServer() {
  auto server = nlohmann::json::parse(ServerText());
  server["address"] = "127.0.0.1:2";
  return server.dump();
}

/// The entry of i-1 as another process at the same address writes it.
std::string RestartedServer() {
  auto server = nlohmann::json::parse(Server("ready", 1));
  server["born"] = server["born"].get<std::int64_t>() + 1;
  return server.dump();
}

/// True if i-1 is in use according to the log, up to the line that contains `until`, or to its end.
bool IsUsed(const std::string& events, const std::string& until = {}) {
  std::istringstream lines(events);
  bool used = false;
  for (std::string line; std::getline(lines, line);) {
    if (!until.empty() && line.find(until) != std::string::npos) break;
    if (line.find("\"server\":\"i-1\"") == std::string::npos) continue;
    const auto is = [&line](const std::string& event) {
      return line.find("\"event\":\"" + event + '"') != std::string::npos;
    };
    if (is("server-added")) used = line.find("\"draining\":false") != std::string::npos;
    if (is("server-draining") || is("server-removed")) used = false;
  }
  return used;
}

enum class Loss : std::uint8_t { kLeft, kLeftWithoutReport, kDraining };

/// Instance edge-2, which knows that i-1 has left, or leaves. The store then loses that.
struct ReturnedDepartureFixture {
  explicit ReturnedDepartureFixture(Loss loss) : peers(FreeEndpoint()) {
    PutAll(store);
    copy = store.TakeCopy();
    gateway::GatewaySettings settings = SettingsOf("edge-2", store);
    settings.peers = peers;
    running = std::make_unique<LoggedGateway>(io, settings);
    running->instance.Start();
    REQUIRE(ReadyWithin(*running, kStartTimeout));
    for (int i = 0; i < kLostWrites; ++i) store.Put(kOther, OtherServer());
    if (loss != Loss::kLeftWithoutReport) {
      store.Put(kLeft, Server("draining", 5));
      REQUIRE(RunUntil([this] { return running->KnowsDraining(); }, kReadTimeout));
    }
    if (loss != Loss::kDraining) {
      store.Remove(kLeft);
      store.Put(kOther, OtherServer());
      REQUIRE(RunUntil([this] { return running->Logged("server-removed"); }, kReadTimeout));
    }
  }

  static void PutAll(ScriptedStore& store) {
    store.Put("op/config", PolicyText({RouteResource("a.example", "/x/", {})}));
    store.Put(kLeft, Server("ready", 4));
    store.Put(kOther, OtherServer());
  }

  void Return() {
    store.ReturnFrom(copy);
    REQUIRE(RunUntil([this] { return running->Logged("listing-read"); }, kReadTimeout));
  }

  static gateway::GatewaySettings SettingsOf(const std::string& name, const ScriptedStore& store) {
    gateway::GatewaySettings settings = InstanceSettings();
    settings.instance = name;
    settings.store = store.endpoint();
    settings.follower.check_prefix = "op/";
    return settings;
  }

  [[nodiscard]] std::string Record() const {
    return membership::EncodeInstance(
        {"edge-2", "127.0.0.1:2", "east-a", "east", true, vanilladeck::http::EndpointText(peers)});
  }

  template <class Predicate>
  bool RunUntil(Predicate predicate, core::Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!predicate() && std::chrono::steady_clock::now() < end) io.run_for(20ms);
    return predicate();
  }
  bool ReadyWithin(LoggedGateway& gateway, core::Duration limit) {
    return RunUntil([&] { return gateway.instance.Ready(); }, limit);
  }
  bool UsedWithin(const LoggedGateway& gateway, core::Duration limit) {
    return RunUntil([&] { return IsUsed(gateway.Events()); }, limit);
  }

  boost::asio::io_context io;
  ScriptedStore store{io};
  ScriptedStore::Copy copy;
  tcp::endpoint peers;  ///< Of edge-2.
  std::unique_ptr<LoggedGateway> running;
};

}  // namespace

// Guards against requests to a server that has left, or leaves, because an instance that starts has
// nothing but the copy, in which the server is ready.
TEST_CASE("an instance that starts after the store returned uses no server that others know left") {
  const Loss loss = GENERATE(Loss::kLeft, Loss::kLeftWithoutReport, Loss::kDraining);
  const bool listed = GENERATE(true, false);
  CAPTURE(loss, listed);
  ReturnedDepartureFixture f(loss);
  f.Return();
  gateway::GatewaySettings settings = f.SettingsOf("edge-1", f.store);
  if (listed) {
    f.store.Put("vanilladeck/instances/edge-2", f.Record());
  } else {
    settings.seeds = {f.peers};
  }
  LoggedGateway starting(f.io, settings);
  starting.instance.Start();
  REQUIRE(f.ReadyWithin(starting, kStartTimeout));
  f.io.run_for(kFlushTime);
  REQUIRE(starting.Logged("\"server\":\"i-1\""));
  CHECK_FALSE(IsUsed(starting.Events(), "\"event\":\"ready\""));
  f.io.run_for(kReadTimeout);
  CHECK_FALSE(IsUsed(starting.Events()));
}

// Guards against a live server that gets no requests because others state that it had left.
TEST_CASE("a server that writes again after others stated that it left is used") {
  ReturnedDepartureFixture f(Loss::kLeftWithoutReport);
  f.Return();
  gateway::GatewaySettings settings = f.SettingsOf("edge-1", f.store);
  settings.seeds = {f.peers};
  LoggedGateway starting(f.io, settings);
  SECTION("before the start") {
    f.store.Put(kLeft, Server("ready", 6));
    starting.instance.Start();
    REQUIRE(f.ReadyWithin(starting, kStartTimeout));
  }
  SECTION("after it, in the same lifetime") {
    starting.instance.Start();
    REQUIRE(f.ReadyWithin(starting, kStartTimeout));
    f.store.Put(kLeft, Server("ready", 6));
  }
  SECTION("after it, in another lifetime") {
    starting.instance.Start();
    REQUIRE(f.ReadyWithin(starting, kStartTimeout));
    f.store.Put(kLeft, RestartedServer());
  }
  CHECK(f.UsedWithin(starting, kReadTimeout));
}

// Guards against requests to a server because the entry of the copy arrives after the answers.
TEST_CASE("a report that arrives after others stated that its server left is not used") {
  ReturnedDepartureFixture f(Loss::kLeft);
  f.copy.items.erase(kLeft);
  f.Return();
  gateway::GatewaySettings settings = f.SettingsOf("edge-1", f.store);
  settings.seeds = {f.peers};
  LoggedGateway starting(f.io, settings);
  starting.instance.Start();
  REQUIRE(f.ReadyWithin(starting, kStartTimeout));
  f.store.Put(kLeft, Server("ready", 4));
  CHECK(f.RunUntil([&] { return starting.Logged("server-report-dropped"); }, kReadTimeout));
  CHECK_FALSE(IsUsed(starting.Events()));
  CHECK(starting.Logged("\"known_sequence\":5"));
}

// Guards against an instance that goes on using a server because the store lost the server's
// leaving before the instance had read it.
TEST_CASE("an instance that had not read a lost leaving learns of it from another one") {
  const Loss loss = GENERATE(Loss::kLeft, Loss::kDraining);
  CAPTURE(loss);
  ReturnedDepartureFixture f(loss);
  f.Return();
  // The same store as this instance sees it, without the leaving.
  ScriptedStore late(f.io);
  f.PutAll(late);
  LoggedGateway other(f.io, f.SettingsOf("edge-1", late));
  other.instance.Start();
  REQUIRE(f.ReadyWithin(other, kStartTimeout));
  late.Put("vanilladeck/instances/edge-2", f.Record());
  const auto copy = late.TakeCopy();
  for (int i = 0; i < kLostWrites; ++i) late.Put(kOther, OtherServer());
  REQUIRE(f.UsedWithin(other, kReadTimeout));
  f.io.run_for(kFlushTime);
  late.ReturnFrom(copy);
  CHECK(f.RunUntil([&] { return !IsUsed(other.Events()); }, kReadTimeout));
}

// Guards against a live server that gets no requests because of a damaged statement.
TEST_CASE("a damaged statement that a server left is not applied") {
  boost::asio::io_context io;
  ScriptedStore store(io);
  ReturnedDepartureFixture::PutAll(store);
  ScriptedServer peer(io, [&](const ScriptedServer::ConnectionPtr& connection,
                              const std::string& request) {
    if (request.find("/peer/policy") == std::string::npos) return;
    const std::string body = vanilladeck::core::Deflate(
        R"([{"server":"i-1","service":"s1","address":"127.0.0.1:1","domain":"east-a",)"
        R"("born":1700000000000,"draining":true,"listed":false,"era":0,"age_ms":0}])");
    connection->Write(gateway::EncodePolicyResponse({12, ScriptedStore::kFirstEra}, body.size()) +
                      "\r\n" + body);
  });
  gateway::GatewaySettings settings = ReturnedDepartureFixture::SettingsOf("edge-1", store);
  settings.seeds = {*vanilladeck::http::ParseEndpoint(peer.Address())};
  LoggedGateway starting(io, settings);
  starting.instance.Start();
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (!starting.instance.Ready() && std::chrono::steady_clock::now() < end) io.run_for(20ms);
  REQUIRE(starting.instance.Ready());
  io.run_for(kFlushTime);
  CHECK(IsUsed(starting.Events()));
  CHECK(starting.Logged("malformed entries of servers that left: 1"));
}

}  // namespace vanilladeck::platform

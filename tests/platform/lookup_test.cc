#include <catch2/catch.hpp>

#include "platform/instance_fixture.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/membership/registration.h"

namespace vanilladeck::platform {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

nlohmann::json StoreItem(const std::string& key, const std::string& value) {
  const auto put = nlohmann::json::parse(Codec({}).Encode(store::PutItem{key, value, 0}).body);
  return {{"key", key}, {"value", put["setKeys"][0]["value"]}, {"rev", 10}};
}

nlohmann::json InstanceItem(const std::string& name, const std::string& region) {
  const membership::InstanceRecord record{name, name + ":80", region + "-a", region, true, ""};
  return StoreItem("vanilladeck/instances/" + name, membership::EncodeInstance(record));
}

using Addresses = std::vector<std::string>;
using Items = std::vector<nlohmann::json>;

/// Instance edge-1 in region east whose store lists two pages of items, or one if `second` is
/// empty, refuses leases and has no changes.
///
/// The response to a request for the second page is held back until `ReleasePage`.
struct Fixture {
  explicit Fixture(Items first, Items second = {}, double link_mbps = 0)
      : pages{std::move(first), std::move(second)},
        store(io, [this](const ScriptedServer::ConnectionPtr& connection,
                         const std::string& request) { ServeStore(connection, request); }),
        events(open("/dev/null", O_WRONLY), "edge-1"),
        codec({"east-a"}),
        settings(MakeSettings(link_mbps)),
        instance(io, settings, codec, events) {
    instance.Start();
  }

  [[nodiscard]] gateway::GatewaySettings MakeSettings(double link_mbps) const {
    gateway::GatewaySettings made = InstanceSettings();
    made.store = *vanilladeck::http::ParseEndpoint(store.Address());
    made.process.link_mbps = link_mbps;
    made.metrics = FreeEndpoint();
    return made;
  }

  void ServeStore(const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("/-/kv-watch") != std::string::npos) return;
    if (request.find("/-/kv-range") == std::string::npos) {
      connection->Write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    } else if (request.find("&after=") != std::string::npos) {
      waiting_for_page = connection;
    } else {
      WritePage(*connection, 0);
    }
  }

  void WritePage(ScriptedServer::Connection& connection, std::size_t i) const {
    const std::string body = nlohmann::json{
        {"items", pages[i]},
        {"hasMore", i == 0 && !pages[1].empty()},
        {"currentRev", 20}}.dump();
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
  }

  void ReleasePage() { WritePage(*waiting_for_page, 1); }

  template <class Predicate>
  bool RunUntil(Predicate predicate) {
    const auto end = std::chrono::steady_clock::now() + 3s;
    while (!predicate() && std::chrono::steady_clock::now() < end) io.run_one_for(10ms);
    return predicate();
  }

  [[nodiscard]] std::string OwnAddress() const {
    return vanilladeck::http::EndpointText(settings.clients);
  }

  LookupAnswer Find(const std::string& host, const std::string& region) {
    return Lookup(io, settings.lookups, host, region);
  }
  std::string StatusAt(const tcp::endpoint& endpoint, const std::string& request) {
    return ProxyFixture::StatusOf(Exchange(io, endpoint, request));
  }

  boost::asio::io_context io;
  std::array<Items, 2> pages;
  ScriptedServer::ConnectionPtr waiting_for_page;
  ScriptedServer store;
  telemetry::EventStream events;
  Codec codec;
  gateway::GatewaySettings settings;
  gateway::Gateway instance;
};

// Guards against an instance that names those of other regions because it has read the policy but
// not yet all instances.
TEST_CASE("an instance that has listed a part of the store answers no lookup") {
  Fixture f(Items{StoreItem("op/config", PolicyText({RouteResource("a.example", "/x/", {"east"})})),
                  StoreItem("servers/i-1", ServerText()), InstanceItem("edge-2", "west")},
            {InstanceItem("edge-3", "east")});
  REQUIRE(f.RunUntil([&] { return f.waiting_for_page != nullptr; }));
  const auto early = f.Find("a.example", "east");
  CHECK(early.status == "503");
  CHECK(early.addresses.empty());
  f.ReleasePage();
  REQUIRE(f.RunUntil([&] { return f.instance.Ready(); }));
  CHECK(f.Find("a.example", "east").addresses == Addresses{"edge-3:80", f.OwnAddress()});
}

// Guards against giving the policy, with the customers' keys, to whoever reaches a listener that
// clients use, and against taking requests of others for those of instances.
TEST_CASE("what is meant for other instances is served at their listener only") {
  Fixture f(Items{StoreItem("op/config", PolicyText({RouteResource("a.example", "/x/", {"east"})})),
                  StoreItem("servers/i-1", ServerText()), InstanceItem("edge-2", "east")});
  REQUIRE(f.RunUntil([&] { return f.instance.Ready(); }));
  const std::vector<std::string> requests = {
      gateway::EncodeItemRequest("op/config"), gateway::EncodePolicyRequest({}),
      gateway::EncodePeerRequest({"edge-2/1", 0, {0, 0}}, {"edge-2", {}, 2, {}}),
      "POST /peer/allotments HTTP/1.1\r\nHost: peer\r\nContent-Length: 2\r\n\r\n{}"};
  for (const std::string& it : requests) {
    CAPTURE(it);
    for (const tcp::endpoint& endpoint :
         {f.settings.readiness, f.settings.lookups, f.settings.metrics}) {
      CHECK(f.StatusAt(endpoint, it) == "404");
    }
    CHECK(f.StatusAt(f.settings.peers, it) != "404");
  }
  for (const tcp::endpoint& endpoint :
       {f.settings.readiness, f.settings.lookups, f.settings.metrics, f.settings.peers}) {
    CHECK(f.StatusAt(endpoint, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n") == "200");
  }
}

// Guards against sending a host's clients to a region that its routes do not allow because no
// instance of the caller's region is ready.
TEST_CASE("a lookup names instances of other regions only as far as the host's routes allow") {
  Fixture f(
      Items{StoreItem("op/config", PolicyText({RouteResource("one.example", "/x/", {"west"}),
                                               RouteResource("free.example", "/x/", {}),
                                               RouteResource("split.example", "/x/", {"west"}),
                                               RouteResource("split.example", "/y/", {"north"})})),
            StoreItem("servers/i-1", ServerText()), InstanceItem("edge-2", "west"),
            InstanceItem("edge-3", "north")});
  REQUIRE(f.RunUntil([&] { return f.instance.Ready(); }));
  CHECK(f.Find("one.example", "south").addresses == Addresses{"edge-2:80"});
  CHECK(f.Find("ONE.example:80", "south").addresses == Addresses{"edge-2:80"});
  CHECK(f.Find("free.example", "south").addresses ==
        Addresses{"edge-2:80", "edge-3:80", f.OwnAddress()});
  CHECK(f.Find("split.example", "north").addresses == Addresses{"edge-3:80"});
  CHECK(f.Find("split.example", "south").addresses == Addresses{"edge-2:80", "edge-3:80"});
}

// Guards against refusing the callers of a lost region because no region that the routes of the
// host allow has a ready instance either.
TEST_CASE("callers are sent to any ready instance if no better region has one") {
  Fixture f(
      Items{StoreItem("op/config", PolicyText({RouteResource("west.example", "/x/", {"west"}),
                                               RouteResource("split.example", "/x/", {"west"}),
                                               RouteResource("split.example", "/y/", {"north"})})),
            StoreItem("servers/i-1", ServerText())});
  REQUIRE(f.RunUntil([&] { return f.instance.Ready(); }));
  const Addresses own{f.OwnAddress()};
  CHECK(f.Find("west.example", "south").addresses == own);
  CHECK(f.Find("split.example", "south").addresses == own);
}

// Guards against sending callers to other regions while the first instance that is back in their
// region is ready but not yet listed.
TEST_CASE("an instance that is ready but not listed names itself to callers of its region") {
  Fixture f(
      Items{StoreItem("op/config", PolicyText({RouteResource("free.example", "/x/", {}),
                                               RouteResource("west.example", "/x/", {"west"})})),
            StoreItem("servers/i-1", ServerText()), InstanceItem("edge-2", "west")});
  REQUIRE(f.RunUntil([&] { return f.instance.Ready(); }));
  const Addresses own{f.OwnAddress()};
  CHECK(f.Find("free.example", "east").addresses == own);
  CHECK(f.Find("west.example", "east").addresses == own);
}

nlohmann::json EastItem(const std::string& name, double link_mbps, const std::string& domain) {
  const membership::InstanceRecord record{name, name + ":80", domain, "east", true,
                                          "",   link_mbps,    0.5,    512};
  return StoreItem("vanilladeck/instances/" + name, membership::EncodeInstance(record));
}

// Guards against an instance that names itself to all callers although others carry twenty times as
// much, and against one that is not ready because it is not named.
TEST_CASE("an instance with a small link names those with large ones") {
  Fixture f(Items{StoreItem("op/config", PolicyText({RouteResource("free.example", "/x/", {})})),
                  StoreItem("servers/i-1", ServerText()), EastItem("edge-2", 200, "east-a"),
                  EastItem("edge-3", 200, "east-a"), EastItem("edge-4", 200, "east-b"),
                  EastItem("edge-5", 10, "east-b"), InstanceItem("edge-6", "west")},
            {}, 10);
  REQUIRE(f.RunUntil([&] { return f.instance.Ready(); }));
  CHECK(f.Find("free.example", "east").addresses ==
        Addresses{"edge-2:80", "edge-3:80", "edge-4:80"});
  CHECK(f.Find("free.example", "west").addresses == Addresses{"edge-6:80"});
  CHECK(f.instance.Ready());
}

}  // namespace
}  // namespace vanilladeck::platform

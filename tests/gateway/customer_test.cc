#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

#include "gateway/proxy_fixture.h"
#include "vanilladeck/gateway/metrics_text.h"

/// Customers on the request path: keys, the fields that servers see, changes of the policy.
namespace vanilladeck::gateway {
namespace {

using testing::Answer;
using testing::FullResponse;
using testing::HeaderOf;
using testing::ProxyFixture;
using testing::ScriptedServer;
using namespace std::chrono_literals;

config::Customer MakeCustomer(const std::string& name, const std::vector<std::string>& keys) {
  config::Customer customer;
  customer.name = name;
  customer.keys = keys;
  return customer;
}

/// Customers "anna" (keys secret-a1, secret-a2) and "bert" (secret-b), a server, and a third route
/// that is public.
struct CustomerFixture : ProxyFixture {
  explicit CustomerFixture(int events_fd = open("/dev/null", O_WRONLY))
      : ProxyFixture({}, events_fd) {
    context.names.customer_name = "Customer";
    context.names.key_scheme = "Token";
    SetPolicy([](config::RoutingPolicy& policy) {
      policy.customers = {MakeCustomer("anna", {"secret-a1", "secret-a2"}),
                          MakeCustomer("bert", {"secret-b"})};
      config::Route route = policy.routes[0];
      route.name = "open";
      route.prefix = "/open/";
      route.is_public = true;
      policy.routes.push_back(route);
    });
  }

  /// Brings a next version into force.
  void SetPolicy(const std::function<void(config::RoutingPolicy&)>& change) {
    config::RoutingPolicy policy = context.routes->policy();
    ++policy.version;
    change(policy);
    context.routes = std::make_shared<const steering::RouteTable>(std::move(policy));
  }

  std::string FetchWith(const std::string& path, const std::string& fields,
                        const std::string& method = "GET") {
    auto client = Connect();
    Send(*client, RequestText(method, path, "id", "", fields));
    (void)RunUntil([&] { return HasAnswer(client->input) || client->closed; });
    return client->input;
  }
  std::string StatusWith(const std::string& path, const std::string& fields) {
    return StatusOf(FetchWith(path, fields));
  }
  std::uint64_t Refused(const std::string& reason) {
    const auto it = context.metrics.refusals.find(reason);
    return it == context.metrics.refusals.end() ? 0 : it->second;
  }
};

constexpr const char* kAnna = "Authorization: Token secret-a1\r\n";
constexpr const char* kBert = "Authorization: Token secret-b\r\n";

/// Values of all fields of the request that a server takes for the customer's name.
std::vector<std::string> NamesSeen(const std::string& request) {
  std::vector<std::string> names;
  for (std::size_t at = request.find("\r\n"); at != std::string::npos;
       at = request.find("\r\n", at + 2)) {
    const std::string line = request.substr(at + 2, request.find("\r\n", at + 2) - at - 2);
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    if (boost::beast::iequals(line.substr(0, colon), "Customer")) {
      names.push_back(line.substr(colon + 2));
    }
  }
  return names;
}

TEST_CASE("a server gets the name of the key's holder and no key") {
  CustomerFixture f;
  ScriptedServer& server = f.AddServer("i-1", Answer("x"));
  CHECK(f.StatusWith("/read/1", kAnna) == "200");
  CHECK(f.StatusWith("/write/1", kBert) == "200");
  REQUIRE(server.requests.size() == 2);
  CHECK(NamesSeen(server.requests[0]) == std::vector<std::string>{"anna"});
  CHECK(NamesSeen(server.requests[1]) == std::vector<std::string>{"bert"});
  for (const std::string& it : server.requests) {
    CHECK(it.find("secret") == std::string::npos);
    CHECK(it.find("Authorization") == std::string::npos);
  }
}

TEST_CASE("a request without a valid key is answered with 401 and reaches no server") {
  CustomerFixture f;
  ScriptedServer& server = f.AddServer("i-1", Answer("x"));
  const std::string answer = f.FetchWith("/read/1", "");
  CHECK(f.StatusOf(answer) == "401");
  CHECK(HeaderOf(answer, "WWW-Authenticate") == "Token");
  CHECK(HeaderOf(answer, "Request-Id") == "id");
  CHECK(f.StatusWith("/read/1", "Authorization: Token secret-c\r\n") == "401");
  CHECK(f.StatusWith("/read/1", "Authorization: Basic secret-b\r\n") == "401");
  CHECK(f.StatusWith("/read/1", std::string(kAnna) + kBert) == "401");
  CHECK(server.requests.empty());
  CHECK(f.Refused("no-key") == 2);
  CHECK(f.Refused("unknown-key") == 1);
  CHECK(f.Refused("several-keys") == 1);
}

// Guards against 401 for what every configuration allows.
TEST_CASE("without a policy every request gets 503, without a route 404") {
  CustomerFixture f;
  CHECK(f.StatusWith("/none/1", "") == "404");
  CHECK(f.StatusWith("/none/1", kAnna) == "404");
  f.context.routes = nullptr;
  CHECK(f.StatusWith("/read/1", "") == "503");
}

// Guards against a client that runs requests in the name of another customer.
TEST_CASE("a forged customer's name never reaches a server") {
  CustomerFixture f;
  ScriptedServer& server = f.AddServer("i-1", Answer("x"));
  for (const char* forged :
       {"Customer: bert\r\n", "customer: bert\r\n", "CUSTOMER: bert\r\ncusTomer: bert\r\n",
        "Connection: Customer\r\nCustomer: bert\r\n", "Customer: anna\r\nCustomer: bert\r\n"}) {
    CAPTURE(forged);
    CHECK(f.StatusWith("/read/1", std::string(forged) + kAnna) == "200");
    CHECK(NamesSeen(server.requests.back()) == std::vector<std::string>{"anna"});
    CHECK(f.StatusWith("/open/1", forged) == "200");
    CHECK(NamesSeen(server.requests.back()).empty());
  }
}

TEST_CASE("a public route needs no key and passes none on") {
  CustomerFixture f;
  ScriptedServer& server = f.AddServer("i-1", Answer("x"));
  CHECK(f.StatusWith("/open/1", "") == "200");
  CHECK(NamesSeen(server.requests.back()).empty());
  CHECK(f.StatusWith("/open/1", "Authorization: Token secret-c\r\n") == "200");
  CHECK(NamesSeen(server.requests.back()).empty());
  CHECK(f.StatusWith("/open/1", kBert) == "200");
  CHECK(NamesSeen(server.requests.back()) == std::vector<std::string>{"bert"});
  // A key in a misspelled field isn't recognized, but isn't shown either.
  CHECK(f.StatusWith("/open/1", "Authorization: Bearer secret-b\r\n") == "200");
  CHECK(f.StatusWith("/open/1", "Authorization: secret-b\r\n") == "200");
  for (const std::string& it : server.requests) CHECK(it.find("secret") == std::string::npos);
}

// Guards against a change for deployments whose operators use no customers.
TEST_CASE("without customers both fields are passed on") {
  CustomerFixture f;
  f.SetPolicy([](config::RoutingPolicy& policy) { policy.customers.clear(); });
  ScriptedServer& server = f.AddServer("i-1", Answer("x"));
  CHECK(f.StatusWith("/read/1", std::string("Customer: own\r\n") + kAnna) == "200");
  CHECK(HeaderOf(server.requests.at(0), "Authorization") == "Token secret-a1");
  CHECK(NamesSeen(server.requests.at(0)) == std::vector<std::string>{"own"});
}

TEST_CASE("a new version's keys hold for the next request") {
  CustomerFixture f;
  (void)f.AddServer("i-1", Answer("x"));
  f.SetPolicy([](config::RoutingPolicy& policy) { policy.customers[0].keys = {"secret-a3"}; });
  CHECK(f.StatusWith("/read/1", kAnna) == "401");
  CHECK(f.StatusWith("/read/1", "Authorization: Token secret-a3\r\n") == "200");
}

// Guards against a removed key that is used once more by a request that waits for its connection.
TEST_CASE("a key that is removed before its request is sent is refused") {
  CustomerFixture f;
  ScriptedServer& server = f.AddServer("i-1", Answer("x"));
  f.after_start = [&] {
    f.SetPolicy([](config::RoutingPolicy& policy) { policy.customers[0].keys = {"secret-a2"}; });
  };
  CHECK(f.StatusWith("/write/1", kAnna) == "401");
  CHECK(server.requests.empty());
  CHECK(f.Refused("key-removed") == 1);
}

// Guards against a retry for a customer whose key is no longer valid. The first server stated that
// it had not run the request, so that the refusal is true.
TEST_CASE("a key that is removed between two attempts is refused") {
  CustomerFixture f;
  const auto shed = [&f](const ScriptedServer::ConnectionPtr& connection,
                         const std::string& request) {
    f.SetPolicy([](config::RoutingPolicy& policy) { policy.customers[0].keys = {"secret-a2"}; });
    connection->Write(FullResponse(request, "", "503 Service Unavailable", "Not-Run: 1\r\n"));
  };
  ScriptedServer& first = f.AddServer("i-1", shed);
  ScriptedServer& second = f.AddServer("i-2", shed);
  CHECK(f.StatusWith("/write/1", kAnna) == "401");
  CHECK(first.requests.size() + second.requests.size() == 1);
  CHECK(f.Refused("key-removed") == 1);
}

// Guards against a refusal that is taken for a statement that the request has not run.
TEST_CASE("a key that is removed after its request may have run leads to 502") {
  CustomerFixture f;
  (void)f.AddServer("i-1", [&f](const ScriptedServer::ConnectionPtr& connection,
                                const std::string&) {
    f.SetPolicy([](config::RoutingPolicy& policy) { policy.customers[0].keys = {"secret-a2"}; });
    connection->Reset();
  });
  CHECK(f.StatusWith("/read/1", kAnna) == "502");
}

// Guards against an attempt that combines the route of one version with the customer of another.
TEST_CASE("a key that gets another holder between two attempts runs for the new one") {
  CustomerFixture f;
  const auto script = [&f](const ScriptedServer::ConnectionPtr& connection,
                           const std::string& request) {
    if (NamesSeen(request) == std::vector<std::string>{"anna"}) {
      f.SetPolicy([](config::RoutingPolicy& policy) {
        policy.customers[0].keys = {"secret-a2"};
        policy.customers[1].keys = {"secret-a1"};
      });
      connection->Reset();
      return;
    }
    connection->Write(FullResponse(request, "for " + NamesSeen(request).at(0)));
  };
  (void)f.AddServer("i-1", script);
  (void)f.AddServer("i-2", script);
  CHECK(f.BodyOf(f.FetchWith("/read/1", kAnna)) == "for bert");
}

TEST_CASE("the regions of route and customer both bind") {
  CustomerFixture f;
  (void)f.AddServer("i-1", Answer("east"));
  (void)f.AddServer("i-2", Answer("west"), "west-a");
  f.SetPolicy(
      [](config::RoutingPolicy& policy) { policy.customers[0].allowed_regions = {"west"}; });
  for (int i = 0; i < 5; ++i) {
    CHECK(f.BodyOf(f.FetchWith("/read/" + std::to_string(i), kAnna)) == "west");
  }
  f.SetPolicy([](config::RoutingPolicy& policy) { policy.routes[0].allowed_regions = {"east"}; });
  CHECK(f.StatusWith("/read/1", kAnna) == "503");
  CHECK(f.BodyOf(f.FetchWith("/read/1", kBert)) == "east");
}

// Guards against a server of a region that the customer's new version forbids.
TEST_CASE("regions that a customer gets while the connection is made bind") {
  CustomerFixture f;
  ScriptedServer& east = f.AddServer("i-1", Answer("east"));
  f.after_start = [&] {
    f.SetPolicy(
        [](config::RoutingPolicy& policy) { policy.customers[0].allowed_regions = {"west"}; });
  };
  CHECK(f.StatusWith("/read/1", kAnna) == "503");
  CHECK(east.requests.empty());
}

// Guards against relying on the regions of a customer that a newer policy may have changed.
TEST_CASE("an outdated policy refuses customers with regions and serves the others") {
  CustomerFixture f;
  (void)f.AddServer("i-1", Answer("x"));
  f.SetPolicy(
      [](config::RoutingPolicy& policy) { policy.customers[0].allowed_regions = {"east"}; });
  f.context.policy_as_of = core::RuntimeClock::now() - 10s;
  f.context.max_region_policy_age = 5s;
  CHECK(f.StatusWith("/read/1", kAnna) == "503");
  CHECK(f.Refused("policy-outdated") == 1);
  CHECK(f.StatusWith("/read/1", kBert) == "200");
}

TEST_CASE("the customer's priority decides whether a request may queue") {
  CustomerFixture f;
  (void)f.AddServer("i-1", Answer("x"));
  f.SetPolicy([](config::RoutingPolicy& policy) { policy.customers[0].priority = 3; });
  // Eight requests wait beyond the slots: within the queue of the most urgent rank only.
  f.context.servers.Find("i-1")->others_load = 17;
  f.context.servers.Find("i-1")->others_load_at = core::RuntimeClock::now();
  CHECK(f.StatusWith("/read/1", kAnna) == "503");
  CHECK(f.StatusWith("/read/1", kBert) == "200");
}

// Guards against keys in the log and the metrics, whether accepted, refused or misspelled.
TEST_CASE("no event and no metric contains a key") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  CustomerFixture f(ends[1]);
  (void)f.AddServer("i-1", Answer("x"));
  for (const char* field :
       {"", kAnna, kBert, "Authorization: Token secret-c\r\n", "Authorization: secret-b\r\n",
        "Authorization: Bearer secret-b\r\n", "Authorization: Token secret-a1, secret-b\r\n"}) {
    for (const char* path : {"/read/1", "/open/1", "/none/1"}) (void)f.StatusWith(path, field);
  }
  f.context.events.Flush();
  REQUIRE(f.context.events.dropped() == 0);
  std::array<char, 65536> buf{};
  const auto n = read(ends[0], buf.data(), buf.size());
  REQUIRE(n > 0);
  const std::string log(buf.data(), static_cast<std::size_t>(n));
  CHECK(log.find(R"("status":401,"reason":"unknown-key")") != std::string::npos);
  CHECK(log.find("secret") == std::string::npos);
  const std::string metrics = PrometheusText(f.context.metrics, {});
  CHECK(metrics.find("secret") == std::string::npos);
  CHECK(metrics.find("vanilladeck_customer_requests_total{customer=\"anna\",end=\"served\"} 2") !=
        std::string::npos);
  CHECK(metrics.find("vanilladeck_not_served_total{reason=\"unknown-key\"} 2") !=
        std::string::npos);
}

TEST_CASE("the metrics count at most 256 customers one by one") {
  GatewayMetrics metrics;
  for (int i = 0; i < 300; ++i) metrics.CountCustomer("c" + std::to_string(i), RequestEnd::kServed);
  metrics.CountCustomer("c0", RequestEnd::kServed);
  const auto served = static_cast<std::size_t>(RequestEnd::kServed);
  CHECK(metrics.customers.size() == GatewayMetrics::kMaxCountedCustomers + 1);
  CHECK(metrics.customers.at("c0")[served] == 2);
  CHECK(metrics.customers.at("(all others)")[served] == 44);
}

}  // namespace
}  // namespace vanilladeck::gateway

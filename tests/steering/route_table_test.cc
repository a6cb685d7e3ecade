#include "vanilladeck/steering/route_table.h"

#include <catch2/catch.hpp>

namespace vanilladeck::steering {
namespace {

config::Route MakeRoute(const std::string& name, const std::string& host,
                        const std::string& prefix) {
  config::Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.services.push_back({"s", 1});
  return route;
}

TEST_CASE("the route with the longest prefix of the host matches") {
  config::RoutingPolicy policy;
  policy.routes = {MakeRoute("short", "a.example", "/x/"), MakeRoute("long", "a.example", "/x/y/"),
                   MakeRoute("other", "b.example", "/")};
  const RouteTable table(policy);
  CHECK(table.Match("a.example", "/x/1")->name == "short");
  CHECK(table.Match("a.example", "/x/y/1?q=/x/")->name == "long");
  CHECK(table.Match("A.Example:8080", "/x/y/")->name == "long");
  CHECK(table.Match("a.example", "/x") == nullptr);
  CHECK(table.Match("a.example", "/") == nullptr);
  CHECK(table.Match("c.example", "/x/") == nullptr);
  CHECK(table.Match("b.example", "/anything")->name == "other");
}

// Guards against sending a host's clients to regions that one of its routes does not allow.
TEST_CASE("regions that all restricted routes of a host allow come before those of one") {
  config::RoutingPolicy policy;
  for (const char* host : {"free", "one", "overlap", "disjoint"}) {
    policy.routes.push_back(MakeRoute("any", host, "/any/"));
  }
  const auto restrict = [&policy](const std::string& host, const std::string& prefix,
                                  std::vector<std::string> regions) {
    policy.routes.push_back(MakeRoute(host + prefix, host, prefix));
    policy.routes.back().allowed_regions = std::move(regions);
  };
  restrict("one", "/a/", {"east"});
  restrict("overlap", "/a/", {"east", "west"});
  restrict("overlap", "/b/", {"north", "west"});
  restrict("disjoint", "/a/", {"east"});
  restrict("disjoint", "/b/", {"west"});
  const RouteTable table(std::move(policy));
  using Sets = std::vector<std::vector<std::string>>;
  CHECK(table.PreferredRegions("free").empty());
  CHECK(table.PreferredRegions("unknown").empty());
  CHECK(table.PreferredRegions("one") == Sets{{"east"}, {"east"}});
  CHECK(table.PreferredRegions("ONE:8080") == Sets{{"east"}, {"east"}});
  CHECK(table.PreferredRegions("overlap") == Sets{{"west"}, {"east", "west", "north"}});
  CHECK(table.PreferredRegions("disjoint") == Sets{{"east", "west"}});
}

TEST_CASE("requests are divided by weight") {
  config::Route route = MakeRoute("r", "a", "/");
  route.services = {{"s1", 90}, {"s2", 10}};
  int second = 0;
  constexpr int kDraws = 1000;
  for (int i = 0; i < kDraws; ++i) {
    if (ChooseService(route, (i + 0.5) / kDraws) == "s2") ++second;
  }
  CHECK(second == kDraws / 10);
}

}  // namespace
}  // namespace vanilladeck::steering

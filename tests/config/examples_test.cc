#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <map>

#include "vanilladeck/config/parse_deployment.h"

using namespace vanilladeck::config;
using vanilladeck::core::Rank;

namespace {

Deployment Example(const std::string& name) {
  std::ifstream in(std::string(VANILLADECK_SOURCE_DIR) + "/examples/" + name + ".toml");
  const std::string text(std::istreambuf_iterator<char>(in), {});
  auto parsed = ParseDeployment(text, name + ".toml");
  if (!parsed) FAIL(Describe(parsed.error()));
  return parsed.value();
}

std::map<std::string, std::uint32_t> ServersByService(const Deployment& deployment) {
  std::map<std::string, std::uint32_t> servers;
  for (const auto& service : deployment.services) {
    for (const auto& place : service.places) servers[service.name] += place.servers;
  }
  return servers;
}

std::uint32_t Seats(const Deployment& deployment) {
  std::uint32_t seats = 0;
  for (const auto& domain : deployment.failure_domains) seats += domain.seats;
  return seats;
}

}  // namespace

// Guards against examples that deviate from the sizes and weights in the design document.
TEST_CASE("example deployments are valid, of realistic size and differ in policy", "[config]") {
  const auto kawabata = Example("kawabata");
  const auto trempe = Example("trempe");
  for (const auto* it : {&kawabata, &trempe}) {
    REQUIRE(it->regions.size() == 3);
    REQUIRE(it->failure_domains.size() == 6);
    REQUIRE(it->links.size() == 6);
    REQUIRE(it->links[0].capacity_mbps == 4000);
  }
  using Servers = std::map<std::string, std::uint32_t>;
  REQUIRE(ServersByService(kawabata) == Servers{{"catalogue", 20}, {"commission", 12}});
  REQUIRE(ServersByService(trempe) == Servers{{"shop-floor", 24}, {"certification", 12}});
  REQUIRE(Seats(kawabata) == 9);
  REQUIRE(Seats(trempe) == 10);
  REQUIRE(trempe.policy.scheduler == SchedulerKind::kDeadline);
  REQUIRE(kawabata.policy.drain_timeout < trempe.policy.drain_timeout);
  REQUIRE(trempe.ranks[Index(Rank::kUrgent)].floor > kawabata.ranks[Index(Rank::kUrgent)].floor);
  for (Rank rank : {Rank::kNormal, Rank::kBulk}) {
    REQUIRE(kawabata.ranks[Index(rank)].floor > trempe.ranks[Index(rank)].floor);
  }
}

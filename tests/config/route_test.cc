#include <catch2/catch.hpp>
#include <string>

#include "vanilladeck/config/parse_deployment.h"

namespace vanilladeck::config {
namespace {

constexpr const char* kBase = R"([deployment]
name = "small"
[ranks]
urgent = { target_ms = 100, floor = 0.5 }
normal = { target_ms = 500, floor = 0.25 }
bulk = { target_ms = 5000 }
[[region]]
name = "north"
client_blocks = ["10.1.0.0/16"]
[[failure_domain]]
name = "north-a"
region = "north"
seats = 1
[[service]]
name = "front"
place = [ { failure_domain = "north-a", servers = 1, slots = 4, connections = 10 } ]
)";

constexpr const char* kRoute = R"([[route]]
name = "reads"
host = "a.example"
prefix = "/x/"
kind = "idempotent"
timeout_ms = 2500
objective_ms = 600
attempts = 2
priority = 1
allowed_regions = ["north"]
services = [ { service = "front", weight = 90 } ]
)";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("routes and limits are part of the deployment text") {
  const auto parsed = ParseDeployment(
      std::string(kBase) + kRoute + "[limits]\nmax_header_bytes = 9000\nidle_timeout_ms = 5000\n",
      "t.toml");
  REQUIRE(parsed.has_value());
  REQUIRE(parsed.value().routes.size() == 1);
  const Route& route = parsed.value().routes[0];
  CHECK(route.kind == RequestKind::kIdempotent);
  CHECK(route.timeout == std::chrono::milliseconds(2500));
  CHECK(route.attempts == 2);
  CHECK(route.services.at(0).service == "front");
  CHECK(parsed.value().client_limits.max_header_bytes == 9000);
  CHECK(parsed.value().client_limits.idle_timeout == std::chrono::milliseconds(5000));
}

// Guards against accepting a route that cannot be served.
TEST_CASE("invalid routes are errors with a position") {
  const std::vector<std::pair<std::string, std::string>> changes{
      {"service = \"front\"", "service = \"none\""},
      {"[\"north\"]", "[\"south\"]"},
      {"[\"north\"]", "[\"\"]"},
      {"[\"north\"]", "[\"north\", 7]"},
      {"[\"north\"]", "\"north\""},
      {"\"/x/\"", "\"x\""},
      {"\"idempotent\"", "\"maybe\""},
      {"= 2500", "= 0"},
      {"attempts = 2", "attempts = 0"},
      {"weight = 90", "weight = 0"},
      {"services = [ { service = \"front\", weight = 90 } ]", "services = []"},
      {"priority = 1", "rank = 1"}};
  for (const auto& [from, to] : changes) {
    INFO(to);
    const auto parsed = ParseDeployment(std::string(kBase) + Replace(kRoute, from, to), "t.toml");
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().at(0).at.line >= 17);
  }
  CHECK_FALSE(ParseDeployment(std::string(kBase) + kRoute + kRoute, "t.toml").has_value());
}

}  // namespace
}  // namespace vanilladeck::config

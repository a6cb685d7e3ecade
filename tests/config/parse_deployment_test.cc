#include "vanilladeck/config/parse_deployment.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

using vanilladeck::config::Describe;
using vanilladeck::config::ParseDeployment;

namespace {

constexpr std::string_view kValid = R"([deployment]
name = "small"
[ranks]
urgent = { target_ms = 100, floor = 0.5 }
normal = { target_ms = 500, floor = 0.25 }
bulk = { target_ms = 5000 }
[[region]]
name = "north"
client_blocks = ["10.1.0.0/16", "2001:db8::/32"]
[[failure_domain]]
name = "north-a"
region = "north"
seats = 2
[[region]]
name = "south"
client_blocks = ["10.2.0.0/16"]
[[failure_domain]]
name = "south-a"
region = "south"
seats = 1
[[link]]
from = "north"
to = "south"
capacity_mbps = 100
shift_cap_rps = 50
shift_cap_inflight = 20
[[service]]
name = "front"
depends_on = ["back"]
place = [ { failure_domain = "north-a", servers = 1, slots = 4, connections = 10 } ]
[[service]]
name = "back"
default_rank = "urgent"
place = [ { failure_domain = "south-a", servers = 1, slots = 4, connections = 10 } ]
)";

std::string Replace(std::string_view original, const std::string& from, const std::string& to) {
  std::string text(original);
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string ErrorsOf(std::string_view text) {
  const auto result = ParseDeployment(text, "t.toml");
  return result ? "" : Describe(result.error());
}

struct InvalidEdit {
  std::string from;
  std::string to;
  std::string error;  ///< Start of the first error.
};

}  // namespace

// Guards against dropped values or defaults.
TEST_CASE("valid deployment text is read completely", "[config]") {
  const auto result = ParseDeployment(kValid, "t.toml");
  REQUIRE(result);
  const auto& it = result.value();
  REQUIRE(it.name == "small");
  REQUIRE(it.lookup_ttl.count() == 5);
  REQUIRE(it.record_retention.count() == 900);
  REQUIRE(it.ranks[1].target.count() == 500);
  REQUIRE(it.ranks[1].floor == 0.25);
  REQUIRE(it.regions[0].client_blocks.size() == 2);
  REQUIRE(it.failure_domains[0].seats == 2);
  REQUIRE(it.links[0].shift_cap_rps == 50);
  REQUIRE(it.services[0].depends_on == std::vector<std::string>{"back"});
  REQUIRE(it.services[1].default_rank == vanilladeck::core::Rank::kUrgent);
  REQUIRE(it.services[1].places[0].connections == 10);
}

// Guards against accepting a text that violates a rule, and against errors with a wrong position.
TEST_CASE("each violated rule is reported with its position", "[config]") {
  const std::vector<InvalidEdit> cases{
      {"[deployment]", "[deployment", "t.toml:1:12: malformed-toml: "},
      {"name = \"small\"", "name = \"small\"\nnmae = 1", "t.toml:3:1: unknown-key: "},
      {"name = \"small\"", "name = 7", "t.toml:2:8: wrong-type: "},
      {"name = \"small\"", "", "t.toml:1:1: missing-key: "},
      {"name = \"small\"", "name = \"a/b\"", "t.toml:2:8: invalid-name: "},
      {"name = \"small\"", "name = \"s\"\nlookup_ttl_s = 0", "t.toml:3:16: not-positive: "},
      {"name = \"small\"", "name = \"s\"\nrecord_retention_s = -1", "t.toml:3:22: not-positive: "},
      {"name = \"small\"", "name = \"s\"\n[policy]\nscheduler = \"x\"",
       "t.toml:4:13: invalid-value: "},
      {"name = \"small\"", "name = \"s\"\n[policy]\nretry_budget = 1.5",
       "t.toml:4:16: out-of-range: "},
      {"bulk = { target_ms = 5000 }", "", "t.toml:3:1: missing-key: key \"ranks.bulk\""},
      {"floor = 0.25", "floor = nan", "t.toml:5:37: out-of-range: "},
      {"floor = 0.25", "floor = 1.25", "t.toml:5:37: floor-above-one: "},
      {"floor = 0.25", "floor = 0.75", "t.toml:6:8: floor-above-one: floors of all"},
      {"seats = 2", "seats = 0", "t.toml:13:9: not-positive: "},
      {"seats = 2", "seats = 5000000000", "t.toml:13:9: out-of-range: "},
      {"name = \"south\"", "name = \"north\"", "t.toml:15:8: duplicate-name: "},
      {"region = \"south\"", "region = \"north\"", "t.toml:15:8: region-without-failure-domain: "},
      {"region = \"south\"", "region = \"west\"", "t.toml:15:8: region-without-failure-domain: "},
      {"to = \"south\"", "to = \"west\"", "t.toml:23:6: unknown-reference: "},
      {"to = \"south\"", "to = \"north\"", "t.toml:23:6: invalid-value: "},
      {"shift_cap_rps = 50", "shift_cap_rps = 200", "t.toml:25:17: cap-above-capacity: "},
      {"capacity_mbps = 100", "capacity_mbps = 0", "t.toml:24:17: not-positive: "},
      {"10.2.0.0/16", "10.2.0.1/16", "t.toml:16:18: invalid-prefix: "},
      {"10.2.0.0/16", "10.2.0.0/33", "t.toml:16:18: invalid-prefix: "},
      {"10.2.0.0/16", "10.1.7.0/24", "t.toml:16:18: overlapping-blocks: "},
      {"10.2.0.0/16", "10.1.0.0/16", "t.toml:16:18: overlapping-blocks: "},
      {"10.2.0.0/16", "2001:db8:1::/48", "t.toml:16:18: overlapping-blocks: "},
      {"[\"back\"]", "[\"gone\"]", "t.toml:29:15: unknown-reference: service \"gone\""},
      {"[\"back\"]", "[\"front\"]", "t.toml:29:15: dependency-cycle: "},
      {"name = \"back\"", "name = \"back\"\ndepends_on = [\"front\"]",
       "t.toml:33:15: dependency-cycle: services depend on each other: front -> back -> front"},
      {"place = [ { failure_domain = \"north-a\", servers = 1, slots = 4, connections = 10 } ]",
       "place = []", "t.toml:28:8: service-without-place: "},
      {"\"south-a\", servers", "\"gone-a\", servers", "t.toml:34:30: unknown-reference: "},
      {"slots = 4", "slots = 0", "t.toml:30:62: not-positive: "},
  };
  for (const auto& it : cases) {
    CAPTURE(it.to, ErrorsOf(Replace(kValid, it.from, it.to)));
    REQUIRE(ErrorsOf(Replace(kValid, it.from, it.to)).find(it.error) == 0);
  }
}

// Guards against stopping at the first error.
TEST_CASE("all errors are reported in order of position", "[config]") {
  auto text = Replace(kValid, "seats = 2", "seats = 0");
  text = Replace(text, "10.2.0.0/16", "10.2.0.0");
  text = Replace(text, "[\"back\"]", "[\"gone\"]");
  const auto result = ParseDeployment(text, "t.toml");
  REQUIRE_FALSE(result);
  REQUIRE(result.error().size() == 3);
  REQUIRE(result.error()[0].at.line == 13);
  REQUIRE(result.error()[1].at.line == 16);
  REQUIRE(result.error()[2].at.line == 29);
}

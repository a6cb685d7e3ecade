#pragma once

#include <string>

namespace vanilladeck::config::testing {

/// A small valid deployment text; texts with different `retention_s` differ in one line.
inline std::string SampleText(int retention_s, const std::string& name = "small") {
  return "[deployment]\nname = \"" + name +
         "\"\nrecord_retention_s = " + std::to_string(retention_s) + R"(
[ranks]
urgent = { target_ms = 100, floor = 0.5 }
normal = { target_ms = 500, floor = 0.25 }
bulk = { target_ms = 5000 }
[[region]]
name = "north"
client_blocks = ["10.1.0.0/16"]
[[region]]
name = "south"
client_blocks = ["10.2.0.0/16"]
[[failure_domain]]
name = "north-a"
region = "north"
seats = 2
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
[[service.place]]
failure_domain = "south-a"
servers = 2
slots = 4
connections = 10
)";
}

}  // namespace vanilladeck::config::testing

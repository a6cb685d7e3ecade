#pragma once

#include <string>
#include <vector>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/config/impl/table_reader.h"

namespace vanilladeck::config::impl {

/// Positions of the values used in cross-table checks, parallel to the vectors of `Deployment`.
struct Positions {
  struct Region {
    SourcePosition name;
    std::vector<SourcePosition> client_blocks;
  };
  struct FailureDomain {
    SourcePosition name;
    SourcePosition region;
  };
  struct Link {
    SourcePosition from;
    SourcePosition to;
    SourcePosition shift_cap;
  };
  struct Service {
    SourcePosition name;
    std::vector<SourcePosition> depends_on;
    std::vector<SourcePosition> places;
  };
  std::vector<Region> regions;
  std::vector<FailureDomain> failure_domains;
  std::vector<Link> links;
  std::vector<Service> services;
  core::PerRank<SourcePosition> floors;
};

struct ParsedDeployment {
  Deployment deployment;
  Positions positions;
};

/// Reads the tables of a text. Invalid values are reported to `sink` and keep their defaults.
[[nodiscard]] ParsedDeployment ReadTables(const toml::table& root, ErrorSink& sink);

/// Checks the rules that span several tables.
void CheckDeployment(const ParsedDeployment& parsed, ErrorSink& sink);

}  // namespace vanilladeck::config::impl

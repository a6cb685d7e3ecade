#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/rank.h"

namespace vanilladeck::config {

/// Asks where a request would be routed, and why.
struct ExplainRequest {
  std::string service;
  std::string client;              ///< IP address.
  std::optional<core::Rank> rank;  ///< Default: the service's `default_rank`.
};

/// A candidate: one place of the service.
struct ExplainedSite {
  std::string failure_domain;
  std::string region;
  std::uint32_t slots = 0;   ///< Sum over all its servers.
  double shift_cap_rps = 0;  ///< From the client's region; 0 in that region or without a link.
  std::uint32_t shift_cap_inflight = 0;
  std::vector<std::string> entry_instances;  ///< Addresses of the listeners for callers.
  bool eligible = true;
  std::string reason;
};

/// Reply to `ExplainRequest`, with the candidates in order of preference.
struct Explanation {
  std::string service;
  std::string client;
  core::Rank rank = core::Rank::kNormal;
  std::string client_region;  ///< Empty if the client is in no configured block.
  std::vector<ExplainedSite> sites;
};

/// The region whose client block is the longest prefix match; empty if no block matches.
[[nodiscard]] std::string RegionOfClient(const Deployment& deployment, std::string_view client);

/// Explains from the static configuration only: sites in the client's region first, then sites
/// reachable over a link, then the others as not eligible. Steering refines order, eligibility and
/// reasons. Empty if the service does not exist.
[[nodiscard]] std::optional<Explanation> ExplainFromDeployment(const Deployment& deployment,
                                                               const ExplainRequest& request);

}  // namespace vanilladeck::config

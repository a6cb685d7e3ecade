#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/rank.h"

namespace vanilladeck::config {

/// Question of an operator: where would a request go, and why?
struct ExplainRequest {
  std::string service;
  std::string client;              ///< IP address.
  std::optional<core::Rank> rank;  ///< Absent: the service's default.
};

/// One place of the service as a candidate.
struct ExplainedSite {
  std::string failure_domain;
  std::string region;
  std::uint32_t slots = 0;   ///< Of all its servers together.
  double shift_cap_rps = 0;  ///< From the client's region; 0 within it or without a link.
  std::uint32_t shift_cap_inflight = 0;
  std::vector<std::string> entry_instances;  ///< Addresses of callers' listeners.
  bool eligible = true;
  std::string reason;
};

/// Answer to `ExplainRequest`, candidates in order of preference.
struct Explanation {
  std::string service;
  std::string client;
  core::Rank rank = core::Rank::kNormal;
  std::string client_region;  ///< Empty: the client is in no configured block.
  std::vector<ExplainedSite> sites;
};

/// The region whose most specific client block contains the address; empty when none does.
[[nodiscard]] std::string RegionOfClient(const Deployment& deployment, std::string_view client);

/// What the deployment text alone says: sites of the client's region first, then those that a link
/// reaches, then the others as not eligible. Steering refines order, eligibility and reasons.
/// Empty when the service does not exist.
[[nodiscard]] std::optional<Explanation> ExplainFromDeployment(const Deployment& deployment,
                                                               const ExplainRequest& request);

}  // namespace vanilladeck::config

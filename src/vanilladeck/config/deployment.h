#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/config/route.h"
#include "vanilladeck/core/rank.h"

/// The data model of a validated deployment text.
namespace vanilladeck::config {

enum class SchedulerKind : std::uint8_t { kStrict, kWeightedFair, kDeadline };

inline constexpr std::array<std::string_view, 3> kSchedulerNames{"strict", "weighted_fair",
                                                                 "deadline"};

/// Settings of a deployment for scheduling, retries and draining.
struct Policy {
  SchedulerKind scheduler = SchedulerKind::kWeightedFair;
  std::uint32_t queue_limit = 200;  ///< Maximum number of queued requests per rank and service.
  double retry_budget = 0.1;        ///< Retries per first attempt.
  std::chrono::seconds drain_timeout{20};
};

struct RankTargets {
  std::chrono::milliseconds target{0};
  double worth = 1;
  double floor = 0;  ///< Fraction of capacity reserved for this rank, 0 to 1.
};

struct Region {
  std::string name;
  std::vector<std::string> client_blocks;  ///< CIDR prefixes, IPv4 or IPv6.
};

struct FailureDomain {
  std::string name;
  std::string region;
  std::uint32_t seats =
      1;  ///< Number of entry instances that share the slots of the domain's servers.
};

/// A one-way link between two regions.
struct Link {
  std::string from;
  std::string to;
  double capacity_mbps = 0;
  double shift_cap_rps = 0;  ///< Maximum requests per second that may be shifted over the link.
  std::uint32_t shift_cap_inflight = 0;
};

/// The backend servers of a service in one failure domain.
struct Place {
  std::string failure_domain;
  std::uint32_t servers = 0;
  std::uint32_t slots = 0;        ///< Maximum number of concurrent requests per server.
  std::uint32_t connections = 0;  ///< Maximum number of connections per server.
};

struct Service {
  std::string name;
  std::vector<std::string> depends_on;
  core::Rank default_rank = core::Rank::kNormal;
  std::vector<Place> places;
};

struct Deployment {
  std::string name;
  std::chrono::seconds record_retention{900};
  std::chrono::seconds lookup_ttl{5};
  Policy policy;
  core::PerRank<RankTargets> ranks;
  std::vector<Region> regions;
  std::vector<FailureDomain> failure_domains;
  std::vector<Link> links;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<Customer> customers;
  ClientLimits client_limits;
};

}  // namespace vanilladeck::config

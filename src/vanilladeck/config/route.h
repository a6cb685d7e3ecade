#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/config/customer.h"

/// Request routing part of the deployment model.
namespace vanilladeck::config {

enum class RequestKind : std::uint8_t {
  kIdempotent,
  kNonIdempotent,
  kDownload,  ///< Idempotent, with large responses.
};

inline constexpr std::array<std::string_view, 3> kRequestKindNames{"idempotent", "non_idempotent",
                                                                   "download"};

/// True if requests of this kind may run more than once.
[[nodiscard]] constexpr bool MayRepeat(RequestKind kind) noexcept {
  return kind != RequestKind::kNonIdempotent;
}

/// A service that receives a share of a route's requests in proportion to its weight.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Routing rule for the requests of one host and path prefix.
struct Route {
  std::string name;
  std::string host;    ///< Lower case, without port.
  std::string prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};    ///< Maximum time until the final response.
  std::chrono::milliseconds objective{0};  ///< Latency up to which a response has its full value.
  std::uint32_t attempts = 1;              ///< Maximum number of servers tried per client attempt.
  std::uint32_t priority = 0;              ///< 0 is the most urgent.
  bool is_public = false;                  ///< Requests need no key of a customer.
  bool session_affinity = false;           ///< Servers respond faster for recently handled objects.
  std::vector<WeightedService> services;   ///< At least one; the sum of weights is above 0.
  std::vector<std::string> allowed_regions;  ///< Empty: all regions.

  /// True if requests of this route may be sent to servers in `region`.
  [[nodiscard]] bool AllowsRegion(std::string_view region) const noexcept {
    return allowed_regions.empty() || std::find(allowed_regions.begin(), allowed_regions.end(),
                                                region) != allowed_regions.end();
  }
};

/// Health check and load limits for the backend servers of a service.
struct ServiceLimits {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;           ///< Per server, summed over all instances.
  std::chrono::milliseconds cold_duration{0};  ///< Warm-up time after the start of a server.
  double cold_rate =
      0;  ///< Maximum requests per second to a cold server, summed over all instances.
};

/// Size limits and timeouts for requests of clients.
struct ClientLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 1U << 20U;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the routing configuration.
struct RoutingPolicy {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceLimits> services;
  std::vector<Customer> customers;  ///< Empty: requests carry no keys.
  ClientLimits limits;
  /// Types of resources in the source that are not read, and whose restrictions have no effect.
  std::set<std::string> unread_types;
};

}  // namespace vanilladeck::config

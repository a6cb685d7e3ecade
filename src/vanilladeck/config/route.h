#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Request routing part of the deployment model.
namespace vanilladeck::config {

enum class RequestKind : std::uint8_t { kIdempotent, kNonIdempotent };

inline constexpr std::array<std::string_view, 2> kRequestKindNames{"idempotent", "non_idempotent"};

/// One service among which a route's requests are divided.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Requests of one host and path prefix, and what operators promise for them.
struct Route {
  std::string name;
  std::string host;    ///< Lower case, without port.
  std::string prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};    ///< Longest time until the final answer.
  std::chrono::milliseconds objective{0};  ///< Latency within which an answer has its full value.
  std::uint32_t attempts = 1;              ///< Most servers that one client attempt may reach.
  std::uint32_t priority = 0;              ///< 0 is the most urgent.
  bool session_affinity = false;           ///< Servers are faster with objects they handled lately.
  std::vector<WeightedService> services;   ///< At least one; weights sum to more than 0.
  std::vector<std::string> allowed_regions;  ///< Empty: all.
};

/// What instances have to know of a service to use its backend servers.
struct ServiceLimits {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;           ///< Per server, summed over all instances.
  std::chrono::milliseconds cold_duration{0};  ///< How long a started server stays cold.
  double cold_rate = 0;  ///< Requests a second that a cold server tolerates from all instances.
};

/// What a client may send, and how long it may take.
struct ClientLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 1U << 20U;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of everything that decides where requests go.
struct RoutingPolicy {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceLimits> services;
  ClientLimits limits;
};

}  // namespace vanilladeck::config

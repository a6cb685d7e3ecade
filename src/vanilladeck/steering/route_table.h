#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "vanilladeck/config/route.h"
#include "vanilladeck/customers/key_index.h"

namespace vanilladeck::steering {

/// Immutable index of the routes, services and customers of one policy version.
class RouteTable {
 public:
  explicit RouteTable(config::RoutingPolicy policy);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// Returns the route with the longest prefix of `path`; null when none matches.
  ///
  /// `host` may carry a port and any letter case; `path` may carry a query.
  [[nodiscard]] const config::Route* Match(std::string_view host, std::string_view path) const;

  /// Regions that the routes of `host` with allowed regions allow, best first: those that all of
  /// these routes allow, then those that any of them allows. Empty sets are left out; no set if no
  /// route of the host is restricted.
  [[nodiscard]] std::vector<std::vector<std::string>> PreferredRegions(std::string_view host) const;

  [[nodiscard]] const config::ServiceLimits* Service(std::string_view name) const;
  /// Keys of the customers; empty if the policy has none.
  [[nodiscard]] const customers::KeyIndex& keys() const noexcept { return keys_; }
  [[nodiscard]] const config::RoutingPolicy& policy() const noexcept { return policy_; }
  [[nodiscard]] std::uint64_t version() const noexcept { return policy_.version; }

 private:
  config::RoutingPolicy policy_;
  customers::KeyIndex keys_;  ///< Refers to `policy_`.
  std::unordered_map<std::string, std::vector<const config::Route*>> by_host_;  ///< Longest first.
};

/// Selects a service of the route by weight; `draw` is a uniform random number in [0, 1).
[[nodiscard]] const std::string& ChooseService(const config::Route& route, double draw);

}  // namespace vanilladeck::steering

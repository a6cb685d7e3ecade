#pragma once

#include <cstdint>
#include <string_view>

#include "vanilladeck/config/route.h"

/// Terms that hold for a request by its route and its customer, who may be null.
namespace vanilladeck::customers {

/// The customer's priority takes precedence over the route's.
[[nodiscard]] inline std::uint32_t PriorityOf(const config::Route& route,
                                              const config::Customer* customer) noexcept {
  return customer != nullptr && customer->priority ? *customer->priority : route.priority;
}

/// The regions of route and customer both bind.
[[nodiscard]] inline bool AllowsRegion(const config::Route& route, const config::Customer* customer,
                                       std::string_view region) noexcept {
  return route.AllowsRegion(region) && (customer == nullptr || customer->AllowsRegion(region));
}

[[nodiscard]] inline bool HasAllowedRegions(const config::Route& route,
                                            const config::Customer* customer) noexcept {
  return !route.allowed_regions.empty() ||
         (customer != nullptr && !customer->allowed_regions.empty());
}

}  // namespace vanilladeck::customers

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "vanilladeck/core/runtime_clock.h"

/// Helpers shared by the sources of `ProxiedRequest`: matching, attempts, answering.
namespace vanilladeck::gateway {

inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kRequestTimeout = 408;
inline constexpr unsigned kMisdirected = 421;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kFirstServerError = 500;
inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

/// Why a request is refused or broken off that can't end before this instance exits.
inline constexpr std::string_view kStopping = "stopping";

template <class Fields>
[[nodiscard]] std::string_view FieldValue(const Fields& fields, const std::string& name) {
  const auto it = fields.find(name);
  if (it == fields.end()) return {};
  return {it->value().data(), it->value().size()};
}

[[nodiscard]] inline std::int64_t Ms(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// True if clients take the status for a statement that the request has not run.
[[nodiscard]] inline bool PromisesNotRun(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

}  // namespace vanilladeck::gateway

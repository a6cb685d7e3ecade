#pragma once

#include <string_view>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/http/caller_listener.h"

namespace vanilladeck::daemon {

/// Applies to requests without `Request-Timeout-Ms`.
inline constexpr core::Duration kDefaultTimeout = std::chrono::seconds(10);

inline constexpr std::string_view kServicePrefix = "/svc/";

/// Validates a caller's `/svc/S/path` request against the configuration. The rank defaults to that
/// of the service; without a valid `traceparent` the request starts a new trace.
[[nodiscard]] core::Result<RoutedRequest, http::Problem> ParseServiceRequest(
    const http::CallerExchange& exchange, const config::Deployment& deployment,
    core::TimePoint now);

}  // namespace vanilladeck::daemon

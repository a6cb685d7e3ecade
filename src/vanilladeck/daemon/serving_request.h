#pragma once

#include <string_view>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/http/caller_listener.h"

namespace vanilladeck::daemon {

/// Life of a request whose caller states none.
inline constexpr core::Duration kDefaultTimeout = std::chrono::seconds(10);

inline constexpr std::string_view kServicePrefix = "/svc/";

/// Checks a caller's `/svc/S/path` request against the configuration. `rank_of_default` is filled
/// from the service; the trace of the result is the caller's, or a new one.
[[nodiscard]] core::Result<RoutedRequest, http::Problem> CheckServiceRequest(
    const http::CallerExchange& exchange, const config::Deployment& deployment,
    core::TimePoint now);

}  // namespace vanilladeck::daemon

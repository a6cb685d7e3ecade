#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/outcome.h"
#include "vanilladeck/core/rank.h"

namespace vanilladeck::peer {

/// A caller's request, forwarded to an entry instance of another failure domain.
struct ForwardRequest {
  std::string service;
  std::string method;
  std::string target;  ///< Path and query as the backend server sees them.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  core::Rank rank = core::Rank::kNormal;
  std::uint32_t timeout_ms = 0;  ///< Time left for the request, at most that of the credit.
  std::string traceparent;
  std::string from_region;
  core::InstanceId sender;
};

/// The complete response, or a refusal when `status` is 0.
struct ForwardReply {
  core::Outcome outcome = core::Outcome::kUnknown;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string error;  ///< RFC 9209 proxy error type when there is no response.
  std::uint32_t retry_after_ms = 0;
};

}  // namespace vanilladeck::peer

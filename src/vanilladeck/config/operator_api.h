#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "vanilladeck/config/explanation.h"
#include "vanilladeck/config/publish_outcome.h"
#include "vanilladeck/config/replica.h"

/// Handlers of the operators' HTTP API; docs/CONFIGURATION.md describes the JSON schemas.
namespace vanilladeck::config {

struct OperatorRequest {
  std::string method;
  std::string target;  ///< Path and query.
  std::string body;
};

struct OperatorResponse {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
};

/// Read-only state that the handlers use.
struct OperatorView {
  const Replica& replica;
  std::string instance;        ///< Own address.
  std::string failure_domain;  ///< Own failure domain.
  std::int64_t wall_ms = 0;
  std::string daemon_status;  ///< JSON object for the "daemon" member of the status; may be empty.
};

/// A complete response, a change to run through a `Publisher`, or a request for steering.
/// `RespondTo` makes the response to the last two.
using OperatorAction = std::variant<OperatorResponse, PublishRequest, ExplainRequest>;

[[nodiscard]] OperatorAction Handle(const OperatorRequest& request, const OperatorView& view);

[[nodiscard]] OperatorResponse RespondTo(const PublishOutcome& outcome);
[[nodiscard]] OperatorResponse RespondTo(const Explanation& explanation);

/// `{"error": code, "message": message}`.
[[nodiscard]] OperatorResponse ErrorResponse(unsigned status, std::string_view code,
                                             std::string_view message);

}  // namespace vanilladeck::config

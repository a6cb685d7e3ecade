#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "vanilladeck/core/outcome.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/http/message.h"

namespace vanilladeck::http {

/// Why a request was not answered by a backend server.
enum class ProblemCode : std::uint8_t {
  kMalformedRequest,
  kHeadTooLarge,
  kBodyTooLarge,
  kNoSuchResource,
  kMethodNotAllowed,
  kUnknownService,
  kKeyMissing,
  kKeyMalformed,
  kKeyMismatch,
  kKeyExpired,
  kOperationInProgress,
  kOperationUnknown,
  kRecordsUnavailable,
  kDeadlineExpired,
  kOverloaded,
  kTooManyConnections,
  kNoServer,
  kNoConfiguration,
  kNoSeat,
  kConnectionRefused,
  kConnectionTimeout,
  kConnectionTerminated,
  kResponseTimeout,
  kResponseIncomplete,
  kResponseTooLarge,
  kResponseMalformed,
  kCancelled,
  kForwardFailed,
  kInternal,
};

struct ProblemProperties {
  std::string_view name;         ///< Last segment of the problem's type URI.
  unsigned status;               ///< HTTP status.
  std::string_view proxy_error;  ///< RFC 9209 proxy error type.
  std::string_view title;
};

inline constexpr std::array<ProblemProperties, 29> kProblemProperties{{
    {"malformed-request", 400, "http_request_error", "The request is malformed"},
    {"head-too-large", 431, "http_request_error", "The header fields are too large"},
    {"body-too-large", 413, "http_request_error", "The body is too large"},
    {"no-such-resource", 404, "http_request_error", "This resource does not exist"},
    {"method-not-allowed", 405, "http_request_error", "The resource does not support the method"},
    {"unknown-service", 404, "destination_not_found", "The service does not exist"},
    {"key-missing", 400, "http_request_error", "An Idempotency-Key is required"},
    {"key-malformed", 400, "http_request_error", "The Idempotency-Key is malformed"},
    {"key-mismatch", 422, "http_request_denied", "The Idempotency-Key belongs to another request"},
    {"key-expired", 410, "http_request_denied", "The Idempotency-Key is too old"},
    {"operation-in-progress", 409, "http_request_denied", "The operation is in progress"},
    {"operation-unknown", 409, "http_request_denied", "The outcome of the operation is unknown"},
    {"records-unavailable", 503, "destination_unavailable", "Operations cannot be recorded now"},
    {"deadline-expired", 504, "connection_timeout", "The deadline passed before dispatch"},
    {"overloaded", 503, "connection_limit_reached", "The service is overloaded"},
    {"too-many-connections", 503, "connection_limit_reached", "Too many connections"},
    {"no-server", 503, "destination_unavailable", "No backend server is available"},
    {"no-configuration", 503, "proxy_configuration_error", "No configuration is in force"},
    {"no-seat", 503, "destination_unavailable", "This instance holds no share of the servers"},
    {"connection-refused", 502, "connection_refused", "The backend server refused the connection"},
    {"connection-timeout", 504, "connection_timeout", "Connecting to the backend server timed out"},
    {"connection-terminated", 502, "connection_terminated", "The connection was terminated"},
    {"response-timeout", 504, "http_response_timeout", "The response did not arrive in time"},
    {"response-incomplete", 502, "http_response_incomplete", "The response was cut off"},
    {"response-too-large", 502, "http_response_body_size", "The response is too large"},
    {"response-malformed", 502, "http_protocol_error", "The response is malformed"},
    {"cancelled", 502, "connection_terminated", "The request was cancelled"},
    {"forward-failed", 502, "destination_unavailable", "The request could not be forwarded"},
    {"internal", 500, "proxy_internal_error", "Internal error"},
}};

[[nodiscard]] constexpr const ProblemProperties& Properties(ProblemCode code) noexcept {
  return kProblemProperties[static_cast<std::size_t>(code)];
}

/// A failed request, as reported to the caller.
struct Problem {
  ProblemCode code = ProblemCode::kInternal;
  core::Outcome outcome = core::Outcome::kNotRun;
  std::string detail;             ///< Plain text; must not contain secrets.
  core::Duration retry_after{0};  ///< 0 omits the `Retry-After` header.
};

// Names of header fields.
inline constexpr std::string_view kRequestOutcome = "Request-Outcome";
inline constexpr std::string_view kRequestTimeoutMs = "Request-Timeout-Ms";
inline constexpr std::string_view kRequestId = "Request-Id";
inline constexpr std::string_view kServerState = "Server-State";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kClientId = "Client-Id";
inline constexpr std::string_view kTraceparent = "traceparent";

/// Builds an `application/problem+json` response (RFC 9457) with the header fields `Proxy-Status`
/// (RFC 9209) and `Request-Outcome`.
[[nodiscard]] Response MakeProblemResponse(const Problem& problem);

/// Converts to whole seconds for `Retry-After`, rounded up, at least 1.
[[nodiscard]] std::int64_t RetryAfterSeconds(core::Duration retry_after);

}  // namespace vanilladeck::http

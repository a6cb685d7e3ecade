#include "vanilladeck/daemon/serving_request.h"

#include <algorithm>
#include <array>
#include <utility>

#include "vanilladeck/daemon/serving_services.h"
#include "vanilladeck/operations/operation_key.h"

namespace vanilladeck::daemon {
namespace {

using http::Problem;
using http::ProblemCode;

// Longer timeouts are reduced to this limit, so that a mistyped value cannot hold a slot for days.
constexpr std::uint64_t kMaxTimeoutMs = 3'600'000;
constexpr std::array<std::string_view, 5> kIdempotentMethods{"GET", "HEAD", "PUT", "DELETE",
                                                             "OPTIONS"};

Problem NotRunProblem(ProblemCode code, std::string detail) {
  return {code, core::Outcome::kNotRun, std::move(detail), {}};
}

bool IsIdempotent(std::string_view method) {
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(), method) !=
         kIdempotentMethods.end();
}

/// Splits "/svc/S/path?query" into the service and the target for the backend server.
std::pair<std::string, std::string> SplitTarget(std::string_view target) {
  target.remove_prefix(kServicePrefix.size());
  const auto end = target.find_first_of("/?");
  std::string service(target.substr(0, end));
  std::string rest = end == std::string_view::npos ? "/" : std::string(target.substr(end));
  if (rest.front() == '?') rest.insert(rest.begin(), '/');
  return {std::move(service), std::move(rest)};
}

std::optional<Problem> SetDeadline(const http::Request& message, core::TimePoint arrived,
                                   core::TimePoint now, RoutedRequest& routed) {
  routed.deadline = arrived + kDefaultTimeout;
  if (message.count(http::kRequestTimeoutMs) > 0) {
    const auto timeout_ms = http::ParseNumber(message[http::kRequestTimeoutMs]);
    if (!timeout_ms) {
      return NotRunProblem(ProblemCode::kMalformedRequest,
                           "Request-Timeout-Ms is not a whole number");
    }
    routed.deadline = arrived + std::chrono::milliseconds(std::min(*timeout_ms, kMaxTimeoutMs));
  }
  if (now < routed.deadline) return std::nullopt;
  return NotRunProblem(ProblemCode::kDeadlineExpired, "on arrival");
}

std::optional<Problem> SetIdempotency(const http::Request& message, RoutedRequest& routed) {
  routed.idempotent = IsIdempotent(routed.method);
  if (routed.idempotent) return std::nullopt;
  if (routed.method != "POST" && routed.method != "PATCH") {
    return NotRunProblem(ProblemCode::kMethodNotAllowed, routed.method);
  }
  if (message.count(http::kIdempotencyKey) == 0) {
    return NotRunProblem(ProblemCode::kKeyMissing,
                         "POST and PATCH need the key that a lookup issues");
  }
  if (message.count(http::kIdempotencyKey) > 1) {
    return NotRunProblem(ProblemCode::kKeyMalformed, "more than one Idempotency-Key");
  }
  routed.key = std::string(message[http::kIdempotencyKey]);
  const auto key = operations::OperationKey::Parse(routed.key);
  if (key.has_value()) return std::nullopt;
  const auto code = static_cast<std::size_t>(key.error().code);
  return NotRunProblem(ProblemCode::kKeyMalformed, std::string(operations::kKeyErrorNames[code]));
}

}  // namespace

core::Result<RoutedRequest, Problem> ParseServiceRequest(const http::CallerExchange& exchange,
                                                         const config::Deployment& deployment,
                                                         core::TimePoint now) {
  const http::Request& message = exchange.request;
  RoutedRequest routed;
  routed.method = std::string(message.method_string());
  std::tie(routed.service, routed.target) = SplitTarget(message.target());
  const config::Service* service = FindService(deployment, routed.service);
  if (service == nullptr) return NotRunProblem(ProblemCode::kUnknownService, routed.service);
  routed.rank = service->default_rank;
  const auto urgency = http::ParseUrgency(message["Priority"]);
  if (urgency) routed.rank = core::RankFromUrgency(*urgency);
  if (auto problem = SetIdempotency(message, routed)) return std::move(*problem);
  if (auto problem = SetDeadline(message, exchange.arrived, now, routed)) {
    return std::move(*problem);
  }
  const std::string_view client = message[http::kClientId];
  routed.client = client.empty() ? exchange.peer_ip : std::string(client);
  const auto trace = telemetry::TraceContext::Parse(message[http::kTraceparent]);
  routed.trace = trace ? *trace : telemetry::TraceContext::NewRoot();
  routed.headers = http::EndToEndFields(
      message, {"Host", http::kRequestTimeoutMs, http::kRequestId, http::kTraceparent});
  routed.body = message.body();
  return routed;
}

}  // namespace vanilladeck::daemon

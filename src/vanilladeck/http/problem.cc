#include "vanilladeck/http/problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanilladeck::http {
namespace {

/// Quotes `text` as an RFC 8941 string; characters outside printable ASCII become '?'.
std::string QuoteStructuredString(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += (c >= 0x20 && c <= 0x7e) ? c : '?';
  }
  return quoted + "\"";
}

}  // namespace

std::int64_t RetryAfterSeconds(core::Duration retry_after) {
  return std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(retry_after).count());
}

Response MakeProblemResponse(const Problem& problem) {
  const ProblemProperties& properties = Properties(problem.code);
  Response response;
  response.result(properties.status);
  response.set("Content-Type", "application/problem+json");
  std::string status = "vanilladeck; error=" + std::string(properties.proxy_error);
  if (!problem.detail.empty()) status += "; details=" + QuoteStructuredString(problem.detail);
  response.set("Proxy-Status", status);
  response.set(kRequestOutcome, core::Name(problem.outcome));
  if (problem.retry_after > core::Duration::zero()) {
    response.set("Retry-After", std::to_string(RetryAfterSeconds(problem.retry_after)));
  }
  const nlohmann::json body{{"type", "urn:vanilladeck:problem:" + std::string(properties.name)},
                            {"title", properties.title},
                            {"status", properties.status},
                            {"detail", problem.detail},
                            {"outcome", core::Name(problem.outcome)}};
  response.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.prepare_payload();
  return response;
}

}  // namespace vanilladeck::http

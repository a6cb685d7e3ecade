#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/load_report.h"
#include "vanilladeck/gateway/proxied_request.h"
#include "vanilladeck/gateway/proxied_request_impl.h"

/// What servers state about themselves in their responses.

namespace vanilladeck::gateway {
namespace {

using telemetry::StreamEvent;

// Logged part of a server's load report that cannot be read.
constexpr std::size_t kMaxLoggedReportBytes = 64;
// The only value that states that a server leaves; other values have no meaning.
constexpr std::string_view kLeaving = "1";

/// Parses a decimal number of requests per second; none if it is absent, malformed or negative.
std::optional<double> ParseRate(std::string_view text) {
  double rate = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), rate);
  if (ec != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(rate) || rate < 0) return std::nullopt;
  return rate;
}

}  // namespace

void ProxiedRequest::NoteLeaving(steering::Server& server, const Response& response) {
  if (FieldValue(response, context_.names.server_leaving) != kLeaving) return;
  // Another server at the address may have responded; it does so with 421.
  const std::string_view id = FieldValue(response, context_.names.server_id);
  const bool unnamed = id.empty() && response.result_int() != kMisdirected;
  if (!unnamed && id != server.report.id) return;
  if (!context_.servers.OnLeaving(server, core::RuntimeClock::now())) return;
  context_.pool.CloseIdleConnections(server);
  ++context_.metrics.servers_leaving;
  context_.events.Write(StreamEvent::kServerDraining,
                        {{"server", server.report.id},
                         {"born", server.report.born_ms},
                         {"service", server.report.service},
                         {"address", server.report.address},
                         {"failure_domain", server.report.failure_domain},
                         {"sequence", server.report.sequence},
                         {"draining", true},
                         {"source", "response"}});
}

std::optional<steering::ServerLoad> ProxiedRequest::ReadLoadReport(const Response& response) {
  const auto field = response.find(context_.names.server_load);
  if (field == response.end()) {
    ++context_.metrics.load_reports_absent;
    return std::nullopt;
  }
  const std::string_view text(field->value().data(), field->value().size());
  const auto load = ParseLoadReport(text);
  if (load) {
    ++context_.metrics.load_reports_read;
    return load.value();
  }
  ++context_.metrics.load_reports_unreadable;
  const auto error = static_cast<std::size_t>(load.error());
  const std::uint32_t bit = 1U << error;
  if ((server_->logged_report_errors & bit) == 0) {
    server_->logged_report_errors |= bit;
    context_.events.Write(StreamEvent::kLoadReportUnreadable,
                          {{"server", server_->report.id},
                           {"service", server_->report.service},
                           {"reason", kLoadReportErrorNames[error]},
                           {"text", text.substr(0, kMaxLoggedReportBytes)}});
  }
  return std::nullopt;
}

void ProxiedRequest::NoteServerLimit(const Response& response) {
  const std::optional<double> limit = ParseRate(FieldValue(response, context_.names.server_limit));
  context_.server_limits.OnResponse(server_->report.id, server_->region, limit,
                                    core::RuntimeClock::now());
  if (limit == server_->limit) return;
  server_->limit = limit;
  context_.events.Write(StreamEvent::kServerLimit, {{"server", server_->report.id},
                                                    {"service", server_->report.service},
                                                    {"region", server_->region},
                                                    {"limited", limit.has_value()},
                                                    {"per_s", limit.value_or(0)}});
}

}  // namespace vanilladeck::gateway

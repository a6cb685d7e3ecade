#include "vanilladeck/gateway/metrics_text.h"

#include <sstream>

#include "vanilladeck/steering/server_set.h"
#include "vanilladeck/store/era_tracker.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::gateway {
namespace {

/// Escapes quotes and backslashes in label values, which come from the policy; line breaks become
/// spaces.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (char c : text) {
    if (c == '"' || c == '\\') escaped += '\\';
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

void AppendHistogram(std::ostream& out, std::string_view name, const std::string& labels,
                     const LatencyHistogram& histogram) {
  std::uint64_t total = 0;
  const std::string lead = labels.empty() ? "" : labels + ",";
  for (std::size_t i = 0; i < kGatewayLatencyBounds.size(); ++i) {
    total += histogram.buckets[i];
    out << name << "_bucket{" << lead << "le=\"" << kGatewayLatencyBounds[i] << "\"} " << total
        << '\n';
  }
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  out << name << "_bucket{" << lead << "le=\"+Inf\"} " << histogram.count << '\n'
      << name << "_sum" << braces << ' ' << histogram.sum_s << '\n'
      << name << "_count" << braces << ' ' << histogram.count << '\n';
}

}  // namespace

std::string PrometheusText(const GatewayMetrics& metrics, const ProcessGauges& gauges) {
  std::ostringstream out;
  out << "# TYPE vanilladeck_requests_total counter\n";
  for (const auto& [route, counters] : metrics.routes) {
    for (std::size_t i = 0; i < counters.ends.size(); ++i) {
      if (counters.ends[i] == 0) continue;
      out << "vanilladeck_requests_total{route=\"" << Escape(route) << "\",end=\""
          << kRequestEndNames[i] << "\"} " << counters.ends[i] << '\n';
    }
  }
  out << "# TYPE vanilladeck_request_seconds histogram\n";
  for (const auto& [route, counters] : metrics.routes) {
    AppendHistogram(out, "vanilladeck_request_seconds", "route=\"" + Escape(route) + "\"",
                    counters.latency);
  }
  out << "# TYPE vanilladeck_customer_requests_total counter\n";
  for (const auto& [customer, ends] : metrics.customers) {
    for (std::size_t i = 0; i < ends.size(); ++i) {
      if (ends[i] == 0) continue;
      out << "vanilladeck_customer_requests_total{customer=\"" << Escape(customer) << "\",end=\""
          << kRequestEndNames[i] << "\"} " << ends[i] << '\n';
    }
  }
  out << "# TYPE vanilladeck_allotment_portion gauge\n";
  for (const auto& [customer, portion] : gauges.allotment_portions) {
    out << "vanilladeck_allotment_portion{customer=\"" << Escape(customer) << "\"} " << portion
        << '\n';
  }
  out << "# TYPE vanilladeck_not_served_total counter\n";
  for (const auto& [reason, n] : metrics.refusals) {
    out << "vanilladeck_not_served_total{reason=\"" << Escape(reason) << "\"} " << n << '\n';
  }
  out << "# TYPE vanilladeck_attempts_total counter\n";
  for (std::size_t i = 0; i < steering::kAttemptEndNames.size(); ++i) {
    out << "vanilladeck_attempts_total{end=\"" << steering::kAttemptEndNames[i] << "\"} "
        << metrics.attempts[i] << '\n';
  }
  out << "# TYPE vanilladeck_store_calls_total counter\n";
  for (std::size_t i = 0; i < store::kVersionedCallNames.size(); ++i) {
    out << "vanilladeck_store_calls_total{call=\"" << store::kVersionedCallNames[i] << "\"} "
        << metrics.store_calls[i] << '\n';
  }
  out << "# TYPE vanilladeck_store_errors_total counter\n";
  for (std::size_t i = 0; i < store::kCallErrorNames.size(); ++i) {
    out << "vanilladeck_store_errors_total{error=\"" << store::kCallErrorNames[i] << "\"} "
        << metrics.store_errors[i] << '\n';
  }
  out << "# TYPE vanilladeck_items_dropped_total counter\n";
  for (std::size_t i = 0; i < membership::kDropReasonNames.size(); ++i) {
    out << "vanilladeck_items_dropped_total{reason=\"" << membership::kDropReasonNames[i] << "\"} "
        << gauges.items_dropped[i] << '\n';
  }
  out << "# TYPE vanilladeck_store_eras_total counter\n";
  for (std::size_t i = 0; i < store::kEraFindingNames.size(); ++i) {
    out << "vanilladeck_store_eras_total{finding=\"" << store::kEraFindingNames[i] << "\"} "
        << metrics.store_eras[i] << '\n';
  }
  out << "# TYPE vanilladeck_leases_lost_total counter\n";
  for (std::size_t i = 0; i < membership::kLeaseLossNames.size(); ++i) {
    out << "vanilladeck_leases_lost_total{reason=\"" << membership::kLeaseLossNames[i] << "\"} "
        << gauges.leases_lost[i] << '\n';
  }
  out << "# TYPE vanilladeck_load_reports_total counter\n"
      << "vanilladeck_load_reports_total{result=\"read\"} " << metrics.load_reports_read << '\n'
      << "vanilladeck_load_reports_total{result=\"unreadable\"} " << metrics.load_reports_unreadable
      << '\n'
      << "vanilladeck_load_reports_total{result=\"absent\"} " << metrics.load_reports_absent
      << '\n';
  AppendHistogram(out, "vanilladeck_server_seconds", "", metrics.server_latency);
  AppendHistogram(out, "vanilladeck_connect_seconds", "", metrics.connect_latency);
  const auto value = [&out](std::string_view name, double n) { out << name << ' ' << n << '\n'; };
  value("vanilladeck_repeats_total", static_cast<double>(metrics.retries));
  value("vanilladeck_repeats_denied_total", static_cast<double>(metrics.retries_denied));
  value("vanilladeck_store_era_changes_total", static_cast<double>(metrics.store_era_changes));
  value("vanilladeck_server_reports_dropped_total",
        static_cast<double>(metrics.server_reports_dropped));
  value("vanilladeck_servers_leaving_total", static_cast<double>(metrics.servers_leaving));
  value("vanilladeck_control_bytes_total", static_cast<double>(metrics.control_bytes));
  value("vanilladeck_lookups_total", static_cast<double>(metrics.lookups));
  value("vanilladeck_lookups_refused_total", static_cast<double>(metrics.lookups_refused));
  value("vanilladeck_remote_lookups_total", static_cast<double>(metrics.remote_lookups));
  value("vanilladeck_bodies_passed_on_total", static_cast<double>(metrics.bodies_passed_on));
  value("vanilladeck_policy_version", static_cast<double>(gauges.policy_version));
  value("vanilladeck_policy_age_seconds", gauges.policy_age_s);
  value("vanilladeck_policy_unconfirmed_seconds", gauges.policy_unconfirmed_s);
  value("vanilladeck_store_silence_seconds", gauges.store_silence_s);
  value("vanilladeck_store_era", static_cast<double>(gauges.store_era));
  value("vanilladeck_customers", static_cast<double>(gauges.customers));
  value("vanilladeck_customer_keys", static_cast<double>(gauges.customer_keys));
  value("vanilladeck_allotment_admitted_total", static_cast<double>(gauges.allotments_admitted));
  value("vanilladeck_allotment_refused_total", static_cast<double>(gauges.allotments_refused));
  value("vanilladeck_allotment_share", gauges.allotment_share);
  value("vanilladeck_allotment_lenders", static_cast<double>(gauges.allotment_lenders));
  value("vanilladeck_instances", static_cast<double>(gauges.instances));
  value("vanilladeck_servers", static_cast<double>(gauges.servers));
  value("vanilladeck_servers_usable", static_cast<double>(gauges.usable_servers));
  value("vanilladeck_servers_draining", static_cast<double>(gauges.draining_servers));
  value("vanilladeck_servers_cold", static_cast<double>(gauges.cold_servers));
  value("vanilladeck_servers_paced", static_cast<double>(gauges.paced_servers));
  value("vanilladeck_pace_raised_total", static_cast<double>(gauges.pace_raises));
  value("vanilladeck_pace_halved_total", static_cast<double>(gauges.pace_halvings));
  value("vanilladeck_pace_offered_total", static_cast<double>(gauges.requests_offered));
  value("vanilladeck_pace_withheld_total", static_cast<double>(gauges.servers_withheld));
  value("vanilladeck_connections_opened_total", static_cast<double>(gauges.connections_opened));
  value("vanilladeck_log_lines_dropped_total", static_cast<double>(gauges.dropped_lines));
  value("vanilladeck_client_sessions", static_cast<double>(gauges.client_sessions));
  value("vanilladeck_requests_beside_total", static_cast<double>(gauges.ran_beside));
  value("vanilladeck_responses_waiting", static_cast<double>(gauges.responses_waiting));
  value("vanilladeck_server_connections", static_cast<double>(gauges.server_connections));
  value("vanilladeck_message_bytes", static_cast<double>(gauges.message_bytes));
  value("vanilladeck_message_bytes_limit", static_cast<double>(gauges.message_bytes_limit));
  value("vanilladeck_messages_evicted_total", static_cast<double>(gauges.messages_evicted));
  value("vanilladeck_entry_instances_named", static_cast<double>(gauges.entries.named));
  value("vanilladeck_entry_instances_ready", static_cast<double>(gauges.entries.ready));
  value("vanilladeck_entry_demand", gauges.entries.demand);
  value("vanilladeck_entry_carried", gauges.entries.carried);
  value("vanilladeck_entry_load", gauges.entries.load);
  value("vanilladeck_entry_speed", gauges.entries.speed);
  value("vanilladeck_arriving_body_bytes", static_cast<double>(gauges.arriving_body_bytes));
  value("vanilladeck_arriving_bodies_refused_total",
        static_cast<double>(gauges.arriving_bodies_refused));
  value("process_resident_memory_bytes", static_cast<double>(gauges.resident_bytes));
  return out.str();
}

}  // namespace vanilladeck::gateway

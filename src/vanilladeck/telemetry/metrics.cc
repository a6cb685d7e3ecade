#include "vanilladeck/telemetry/metrics.h"

#include <algorithm>
#include <sstream>

namespace vanilladeck::telemetry {
namespace {

namespace acc = boost::accumulators;

std::string FormatNumber(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

void AppendHeader(std::string& text, std::string_view name, std::string_view help,
                  std::string_view type) {
  text.append("# HELP ").append(name).append(" ").append(help).append("\n");
  text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void AppendSample(std::string& text, std::string_view name, const std::string& labels,
                  const std::string& value) {
  text.append(name);
  if (!labels.empty()) text.append("{").append(labels).append("}");
  text.append(" ").append(value).append("\n");
}

std::string RankLabel(core::Rank rank) { return "rank=\"" + std::string(core::Name(rank)) + "\""; }

}  // namespace

void Metrics::Count(Counter counter, std::uint64_t n) noexcept {
  counters_[static_cast<std::size_t>(counter)].fetch_add(n, std::memory_order_relaxed);
}

std::uint64_t Metrics::Value(Counter counter) const noexcept {
  return counters_[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
}

void Metrics::CountRequest(core::Rank rank, core::Outcome outcome, core::Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const auto bound = std::lower_bound(kLatencyBounds.begin(), kLatencyBounds.end(), seconds);
  const std::lock_guard lock(mutex_);
  RankMetrics& metrics = ranks_[core::Index(rank)];
  metrics.latency(seconds);
  if (bound != kLatencyBounds.end()) {
    ++metrics.buckets[static_cast<std::size_t>(bound - kLatencyBounds.begin())];
  }
  ++metrics.outcomes[static_cast<std::size_t>(outcome)];
}

void Metrics::CountShed(core::Rank rank) noexcept {
  shed_[core::Index(rank)].fetch_add(1, std::memory_order_relaxed);
}

std::string Metrics::PrometheusText() const {
  std::string text;
  for (std::size_t i = 0; i < kCounterProperties.size(); ++i) {
    AppendHeader(text, kCounterProperties[i].name, kCounterProperties[i].help, "counter");
    AppendSample(text, kCounterProperties[i].name, "", std::to_string(counters_[i].load()));
  }
  AppendHeader(text, "vanilladeck_shed_total", "Requests that admission rejected.", "counter");
  for (const core::Rank rank : core::kAllRanks) {
    AppendSample(text, "vanilladeck_shed_total", RankLabel(rank),
                 std::to_string(shed_[core::Index(rank)].load()));
  }
  const std::lock_guard lock(mutex_);
  AppendRequests(text);
  AppendLatency(text);
  return text;
}

void Metrics::AppendRequests(std::string& text) const {
  constexpr std::string_view kName = "vanilladeck_requests_total";
  AppendHeader(text, kName, "Finished requests by what is known about their run.", "counter");
  for (const core::Rank rank : core::kAllRanks) {
    const RankMetrics& metrics = ranks_[core::Index(rank)];
    for (std::size_t i = 0; i < metrics.outcomes.size(); ++i) {
      const std::string labels =
          RankLabel(rank) + ",outcome=\"" + std::string(core::kOutcomeNames[i]) + "\"";
      AppendSample(text, kName, labels, std::to_string(metrics.outcomes[i]));
    }
  }
}

void Metrics::AppendLatency(std::string& text) const {
  const std::string name = "vanilladeck_request_seconds";
  AppendHeader(text, name, "Time from arrival to response.", "histogram");
  for (const core::Rank rank : core::kAllRanks) {
    const RankMetrics& metrics = ranks_[core::Index(rank)];
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < kLatencyBounds.size(); ++i) {
      cumulative += metrics.buckets[i];
      const std::string labels =
          RankLabel(rank) + ",le=\"" + FormatNumber(kLatencyBounds[i]) + "\"";
      AppendSample(text, name + "_bucket", labels, std::to_string(cumulative));
    }
    const std::string count = std::to_string(acc::count(metrics.latency));
    AppendSample(text, name + "_bucket", RankLabel(rank) + ",le=\"+Inf\"", count);
    AppendSample(text, name + "_sum", RankLabel(rank), FormatNumber(acc::sum(metrics.latency)));
    AppendSample(text, name + "_count", RankLabel(rank), count);
  }
  const std::string max_name = name + "_max";
  AppendHeader(text, max_name, "Longest time from arrival to response.", "gauge");
  for (const core::Rank rank : core::kAllRanks) {
    const Latency& latency = ranks_[core::Index(rank)].latency;
    const double max = acc::count(latency) == 0 ? 0 : acc::max(latency);
    AppendSample(text, max_name, RankLabel(rank), FormatNumber(max));
  }
}

}  // namespace vanilladeck::telemetry

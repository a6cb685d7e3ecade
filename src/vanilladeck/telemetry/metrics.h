#pragma once

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "vanilladeck/core/outcome.h"
#include "vanilladeck/core/rank.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::telemetry {

enum class Counter : std::uint8_t {
  kLookups,
  kRefused,
  kRetries,
  kForwardsSent,
  kForwardsServed,
  kClaims,
  kReplays,
  kSilentConnections,
  kCancellations,
};

struct CounterProperties {
  std::string_view name;
  std::string_view help;
};

inline constexpr std::array<CounterProperties, 9> kCounterProperties{{
    {"vanilladeck_lookups_total", "Lookup requests."},
    {"vanilladeck_refused_total", "Requests refused before they could be read whole."},
    {"vanilladeck_retries_total", "Second and later attempts at a backend server."},
    {"vanilladeck_forwards_sent_total", "Requests sent on to another failure domain."},
    {"vanilladeck_forwards_served_total", "Requests that another failure domain sent on."},
    {"vanilladeck_claims_total", "Claims asked for non-idempotent operations."},
    {"vanilladeck_replays_total", "Recorded answers that were replayed."},
    {"vanilladeck_silent_connections_total", "Backend connections without an answer in time."},
    {"vanilladeck_cancellations_total", "Requests that were abandoned after dispatch."},
}};

/// Upper bounds of the latency histogram's buckets, in seconds.
inline constexpr std::array<double, 14> kLatencyBounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                       0.25,  0.5,    1,     2.5,  5,     10,   30};

/// Counters and latencies of one process in the Prometheus text format. Thread-safe.
class Metrics {
 public:
  void Count(Counter counter, std::uint64_t n = 1) noexcept;

  /// Records a finished request; `latency` is the time from its arrival to the response.
  void CountRequest(core::Rank rank, core::Outcome outcome, core::Duration latency);

  /// Records a request that admission rejected.
  void CountShed(core::Rank rank) noexcept;

  [[nodiscard]] std::uint64_t Value(Counter counter) const noexcept;
  [[nodiscard]] std::string PrometheusText() const;

 private:
  using Latency = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max>>;
  struct RankMetrics {
    Latency latency;
    std::array<std::uint64_t, kLatencyBounds.size()> buckets{};  ///< Not cumulative.
    std::array<std::uint64_t, core::kOutcomeNames.size()> outcomes{};
  };

  void AppendRequests(std::string& text) const;
  void AppendLatency(std::string& text) const;

  std::array<std::atomic<std::uint64_t>, kCounterProperties.size()> counters_{};
  core::PerRank<std::atomic<std::uint64_t>> shed_{};
  mutable std::mutex mutex_;  ///< Guards `ranks_`.
  core::PerRank<RankMetrics> ranks_;
};

}  // namespace vanilladeck::telemetry

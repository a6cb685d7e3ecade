#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/steering/fresh_pace.h"
#include "vanilladeck/steering/slowdown.h"

namespace vanilladeck::steering {

enum class ServerState : std::uint8_t { kReady, kDraining };

/// A backend server's own entry in the platform's store.
struct ServerReport {
  std::string id;
  std::int64_t born_ms = 0;  ///< Unix time of the process start; identifies the incarnation.
  std::string service;
  std::string address;  ///< "IP:port"
  std::string failure_domain;
  std::uint32_t slots = 1;  ///< Requests that the server runs concurrently.
  ServerState state = ServerState::kReady;
  std::int64_t sequence = 0;    ///< Increases with each report of an incarnation.
  core::Duration cold_left{0};  ///< Remaining warm-up time.
};

/// Load that a server reports in a response.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;         ///< 0 if the server states none.
  std::optional<double> slowdown;  ///< Time that work takes there now, relative to the usual one.
};

/// One incarnation of a backend server in one place, as this instance sees it.
struct Server {
  std::uint64_t serial = 0;     ///< Unique in a `ServerSet`.
  ServerReport report;          ///< Service, address and failure domain never change.
  std::string region;           ///< Of the failure domain.
  core::TimePoint reported_at;  ///< Arrival of the newest report.
  bool draining = false;        ///< Never cleared within an incarnation.
  bool gone = false;            ///< Not listed, or another server has its address; never cleared.
  core::TimePoint cold_until;

  std::uint32_t in_flight = 0;     ///< Own requests at the server.
  double others_load = 0;          ///< Requests of other instances at the server, smoothed.
  core::TimePoint others_load_at;  ///< Last update of `others_load`.
  double latency_ratio = 1;        ///< Own latency relative to the route's, smoothed.
  double failure_rate = 0;         ///< Share of failed attempts, smoothed.
  core::TimePoint outcome_at;      ///< Last update of `latency_ratio` and `failure_rate`.

  /// Last report of the time that work takes there; none if the server states none.
  std::optional<SlowdownStatistics::Sample> slowdown;

  /// Requests per second that the server accepts from all instances together, as last stated.
  std::optional<double> limit;

  /// Kinds of unreadable load reports that were logged, as a bit set.
  std::uint32_t logged_report_errors = 0;

  std::uint32_t consecutive_failures = 0;
  core::TimePoint ejected_until;
  std::deque<core::TimePoint> cold_sends;  ///< Send times within the last second while cold.

  /// Set when the server starts or recovers; the picker starts a pace if its service calls for one.
  FreshCause fresh_cause = FreshCause::kNone;
  std::optional<FreshPace> pace;  ///< Of this instance's requests, while the server is fresh.

  /// Own requests plus the estimated load of other instances. The estimate decays without updates,
  /// or a server that was full once would never be chosen again.
  [[nodiscard]] double Load(core::TimePoint now) const noexcept { return Load(now, 0); }
  /// The same, but the estimate decays to `mean_load`, the mean over similar servers.
  [[nodiscard]] double Load(core::TimePoint now, double mean_load) const noexcept;
  /// Weight of `others_load` by its age, from 1 (recent) to 0.
  [[nodiscard]] double LoadConfidence(core::TimePoint now) const noexcept;
  [[nodiscard]] double LatencyRatio(core::TimePoint now) const noexcept;
  [[nodiscard]] double FailureRate(core::TimePoint now) const noexcept;
  [[nodiscard]] bool Cold(core::TimePoint now) const noexcept { return now < cold_until; }
};

using ServerPtr = std::shared_ptr<Server>;

}  // namespace vanilladeck::steering

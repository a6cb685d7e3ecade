#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

enum class ServerState : std::uint8_t { kReady, kDraining };

/// What a backend server says of itself in the platform's store.
struct ServerReport {
  std::string id;
  std::int64_t born_ms = 0;  ///< Unix time of the start; another value is another incarnation.
  std::string service;
  std::string address;  ///< "IP:port"
  std::string failure_domain;
  std::uint32_t slots = 1;  ///< Requests that the server processes concurrently.
  ServerState state = ServerState::kReady;
  std::int64_t sequence = 0;  ///< Grows with each report of one incarnation.
  core::Duration cold_left{0};
};

/// Load that a server states in a response.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// One incarnation of a backend server as this instance sees it.
struct Server {
  ServerReport report;
  std::string region;
  core::TimePoint reported_at;  ///< Arrival of the newest report.
  bool draining = false;        ///< Never cleared within an incarnation.
  bool gone = false;            ///< Not in the list, or another server answers at the address.
  core::TimePoint cold_until;

  std::uint32_t in_flight = 0;  ///< Own requests at the server.
  double others = 0;            ///< Requests of other instances there, smoothed.
  core::TimePoint others_at;    ///< When `others` was learned.
  double latency_ratio = 1;     ///< Own latency relative to the route's, smoothed.
  double failure_rate = 0;      ///< Share of failed attempts, smoothed.
  core::TimePoint ended_at;     ///< When `latency_ratio` and `failure_rate` were learned.

  std::uint32_t consecutive_failures = 0;
  core::TimePoint ejected_until;
  std::deque<core::TimePoint> cold_sends;  ///< Requests of the last second while cold.

  /// Own requests and what is still believed of the others'. A belief that nothing renews fades,
  /// or a server that was full once would never be asked again.
  [[nodiscard]] double Load(core::TimePoint now) const noexcept { return Load(now, 0); }
  /// The same, but the belief fades to `usual`, the mean load of servers like this one.
  [[nodiscard]] double Load(core::TimePoint now, double usual) const noexcept;
  /// How much of the belief about others' requests still holds, from 1 to 0.
  [[nodiscard]] double LoadKnown(core::TimePoint now) const noexcept;
  [[nodiscard]] double LatencyRatio(core::TimePoint now) const noexcept;
  [[nodiscard]] double FailureRate(core::TimePoint now) const noexcept;
  [[nodiscard]] bool Cold(core::TimePoint now) const noexcept { return now < cold_until; }
};

using ServerPtr = std::shared_ptr<Server>;

}  // namespace vanilladeck::steering

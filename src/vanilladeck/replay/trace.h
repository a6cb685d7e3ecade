#pragma once

#include <array>
#include <cstdint>
#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/rank.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"

/// Recorded arrivals and incidents, replayed through the decision modules in simulated time.
namespace vanilladeck::replay {

/// A request of a client in `region` (index into the deployment's regions) that holds a slot for
/// `service` on a warm server.
struct Arrival {
  core::Duration at{0};
  std::uint32_t region = 0;
  core::Rank rank = core::Rank::kNormal;
  core::Duration service{0};
};

enum class IncidentKind : std::uint8_t {
  kRegionLost,    ///< The region's instances and servers vanish; clients go to another region.
  kReportsStop,   ///< Servers send no more load reports.
  kReportsZero,   ///< Servers report that they are idle, whatever they do.
  kServerLeaves,  ///< One server is leaving; the list says so after the list's delay.
  kRegionDrains,  ///< All servers of the region are leaving; its instances forward.
};

inline constexpr std::array<std::string_view, 5> kIncidentNames{
    "region-lost", "reports-stop", "reports-zero", "server-leaves", "region-drains"};

struct Incident {
  core::Duration at{0};
  IncidentKind kind = IncidentKind::kReportsStop;
  std::string subject;  ///< Region or server address; empty if it concerns all.
};

/// Stated outcomes. That no server runs more than its slots, that shift caps hold and that each
/// request ends exactly once is checked always.
struct Expectations {
  /// Limit for the 99th percentile of urgent latency, as a multiple of the unloaded one, plus the
  /// clients' round trip. Requests that were forwarded do not count.
  std::optional<double> urgent_p99_ratio;
  /// Part of its floor that each rank must get; ranks without enough work do not count.
  std::optional<double> kept_floor;
  /// Least part of the capacity that completed requests use.
  std::optional<double> goodput;
  /// Latest start of new work on a leaving server after the incident.
  std::optional<core::Duration> leaving_stops;
  /// Least number of requests that must have been forwarded and completed.
  std::optional<std::uint64_t> forwarded;
};

struct Trace {
  std::string name;
  config::Deployment deployment;  ///< With exactly one service.
  core::Duration one_way{0};      ///< Latency between regions.
  core::Duration round_trip{0};   ///< Between clients and entry instances.
  core::Duration measure_from{0};
  core::Duration measure_to{0};
  double cold_factor = 1;  ///< Service time of shifted requests on a server with a cold cache.
  std::uint32_t cold_requests = 0;  ///< Shifted requests until a server's cache is warm.
  Expectations expect;
  std::vector<Arrival> arrivals;  ///< In order of time.
  std::vector<Incident> incidents;
};

struct TraceError {
  std::size_t line = 0;  ///< From 1.
  std::string problem;
};

/// Reads JSON lines: the header with deployment and expectations, then `[us, region, rank, us]` per
/// arrival and an object per incident.
[[nodiscard]] core::Result<Trace, TraceError> ReadTrace(std::istream& in);

void WriteTrace(const Trace& trace, std::ostream& out);

}  // namespace vanilladeck::replay

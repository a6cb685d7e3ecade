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

/// Traces of arrivals and incidents, replayed through the decision modules in simulated time.
namespace vanilladeck::replay {

/// A request of a client in `region` (index into the deployment's regions), which occupies a slot
/// of a server with a warm cache for the time `service`.
struct Arrival {
  core::Duration at{0};
  std::uint32_t region = 0;
  core::Rank rank = core::Rank::kNormal;
  core::Duration service{0};
};

enum class IncidentKind : std::uint8_t {
  kRegionLost,    ///< The region's instances and servers fail; clients use another region.
  kReportsStop,   ///< Servers stop sending load reports.
  kReportsZero,   ///< Servers always report zero load.
  kServerLeaves,  ///< One server is leaving; the server list shows it after a delay.
  kRegionDrains,  ///< All servers of the region are leaving; its instances forward requests.
};

inline constexpr std::array<std::string_view, 5> kIncidentNames{
    "region-lost", "reports-stop", "reports-zero", "server-leaves", "region-drains"};

struct Incident {
  core::Duration at{0};
  IncidentKind kind = IncidentKind::kReportsStop;
  std::string subject;  ///< Region or server address; empty if all are affected.
};

/// Expected results of a replay. Three rules are always checked in addition: no server runs more
/// requests than it has slots, shift caps hold, and each request ends exactly once.
struct Expectations {
  /// Limit of the 99th percentile of urgent latency, as a multiple of the value without load; the
  /// clients' round trip is added. Forwarded requests are not counted.
  std::optional<double> urgent_p99_ratio;
  /// Fraction of its floor that each rank must get; ranks without enough load are not checked.
  std::optional<double> kept_floor;
  /// Minimum fraction of the capacity that completed requests use.
  std::optional<double> goodput;
  /// Latest start of a request on a leaving server, counted from the incident.
  std::optional<core::Duration> leaving_stops;
  /// Minimum number of requests that are forwarded and completed.
  std::optional<std::uint64_t> forwarded;
};

struct Trace {
  std::string name;
  config::Deployment deployment;  ///< Has exactly one service.
  core::Duration one_way{0};      ///< One-way latency between regions.
  core::Duration round_trip{0};   ///< Round trip between clients and entry instances.
  core::Duration measure_from{0};
  core::Duration measure_to{0};
  double cold_factor = 1;           ///< Service time factor of shifted requests on a cold cache.
  std::uint32_t cold_requests = 0;  ///< Number of shifted requests that warm a server's cache.
  Expectations expect;
  std::vector<Arrival> arrivals;  ///< In order of time.
  std::vector<Incident> incidents;
};

struct TraceError {
  std::size_t line = 0;  ///< Starts at 1.
  std::string problem;
};

/// Reads JSON lines: a header with deployment and expectations, then an object per incident and an
/// array `[arrival_us, region, rank, service_us]` per arrival.
[[nodiscard]] core::Result<Trace, TraceError> ReadTrace(std::istream& in);

void WriteTrace(const Trace& trace, std::ostream& out);

}  // namespace vanilladeck::replay

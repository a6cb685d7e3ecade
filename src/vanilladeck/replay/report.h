#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "vanilladeck/core/rank.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/replay/trace.h"

namespace vanilladeck::replay {

/// Highest values seen of traffic shifted from one region to another.
struct ShiftPeak {
  std::uint32_t rate = 0;  ///< Requests admitted in the worst second.
  std::uint32_t in_flight = 0;
};

struct RankReport {
  std::uint64_t offered = 0;  ///< Arrivals in the measured time.
  std::uint64_t completed = 0;
  std::uint64_t rejected = 0;
  double offered_share = 0;  ///< Slot time asked for, as part of the capacity.
  double share = 0;          ///< Slot time got, as part of the capacity.
  core::Duration p50{0};
  core::Duration p99{0};
  core::Duration unloaded_p99{0};
};

/// What a replay showed. Ranks cover arrivals within the measured time.
struct Report {
  core::PerRank<RankReport> ranks;
  double goodput = 0;            ///< Slot time of completed requests, as part of the capacity.
  std::uint64_t overloads = 0;   ///< Requests started on a server whose slots were all in use.
  std::uint64_t unfinished = 0;  ///< Requests that did not end exactly once.
  std::uint64_t lost = 0;        ///< Requests in a region when it was lost.
  std::uint64_t forwarded = 0;   ///< Forwarded requests that completed.
  std::map<std::pair<std::string, std::string>, ShiftPeak> shifts;
  /// Last start on a leaving server, and the end of its last request, since the incident.
  std::optional<core::Duration> last_start_on_leaving;
  std::optional<core::Duration> drained_after;
};

/// The differences between the report and the trace's stated outcomes; empty if there are none.
[[nodiscard]] std::vector<std::string> Faults(const Trace& trace, const Report& report);

}  // namespace vanilladeck::replay

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

/// Peak values of the traffic shifted from one region to another.
struct ShiftPeak {
  std::uint32_t rate = 0;  ///< Most requests admitted within one second.
  std::uint32_t in_flight = 0;
};

struct RankReport {
  std::uint64_t offered = 0;  ///< Arrivals in the measurement period.
  std::uint64_t completed = 0;
  std::uint64_t rejected = 0;
  double offered_share = 0;  ///< Slot time requested, as a fraction of the capacity.
  double share = 0;          ///< Slot time used, as a fraction of the capacity.
  core::Duration p50{0};
  core::Duration p99{0};
  core::Duration unloaded_p99{0};
};

/// Results of a replay. `ranks` covers arrivals within the measurement period.
struct Report {
  core::PerRank<RankReport> ranks;
  double goodput = 0;  ///< Slot time of completed requests, as a fraction of the capacity.
  std::uint64_t starts_over_capacity = 0;  ///< Starts on a server with all slots in use.
  std::uint64_t unfinished = 0;            ///< Requests that did not end exactly once.
  std::uint64_t lost = 0;                  ///< Requests that were in a region when it was lost.
  std::uint64_t forwarded = 0;             ///< Forwarded requests that completed.
  std::map<std::pair<std::string, std::string>, ShiftPeak> shifts;
  /// Times of the last start and of the last end of a request on a leaving server, counted from the
  /// moment when it began to leave.
  std::optional<core::Duration> last_start_on_leaving;
  std::optional<core::Duration> drained_after;
};

/// Describes where the report violates the trace's expectations or the rules that always hold;
/// empty if there are no violations.
[[nodiscard]] std::vector<std::string> FindViolations(const Trace& trace, const Report& report);

}  // namespace vanilladeck::replay

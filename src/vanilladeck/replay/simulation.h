#pragma once

#include <optional>
#include <string>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/replay/report.h"
#include "vanilladeck/replay/trace.h"

namespace vanilladeck::replay {

/// Changes to what a trace states. All but the first two break a rule on purpose, to show that the
/// replay reports the fault.
struct SimulationOptions {
  std::optional<config::SchedulerKind> scheduler;  ///< Instead of the trace's own.
  bool first_come = false;  ///< Baseline: servers in turn, first come first served, no ranks.
  bool without_floors = false;
  bool without_seats = false;    ///< Every instance uses all slots of its domain's servers.
  bool without_credits = false;  ///< Instances forward whatever they cannot serve.
  bool ignore_leaving = false;   ///< Instances do not learn that servers are leaving.
};

struct SimulationError {
  std::string problem;
};

/// Replays a trace through the real `Scheduler`, `ServerPool`, `CreditLedger` and `SenderCredits`
/// of every entry instance, in simulated time against simulated servers.
[[nodiscard]] core::Result<Report, SimulationError> Replay(const Trace& trace,
                                                           const SimulationOptions& options);

}  // namespace vanilladeck::replay

#pragma once

#include <optional>
#include <string>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/replay/report.h"
#include "vanilladeck/replay/trace.h"

namespace vanilladeck::replay {

/// Deviations from the trace. All but the first two deliberately break a rule, to show that the
/// report reveals the violation.
struct SimulationOptions {
  std::optional<config::SchedulerKind> scheduler;  ///< Replaces the scheduler of the trace.
  bool fcfs_baseline = false;  ///< Baseline: round-robin, first come, first served, no ranks.
  bool without_floors = false;
  bool without_seats = false;    ///< Every instance uses all slots of its domain's servers.
  bool without_credits = false;  ///< Instances forward whatever they cannot serve.
  bool ignore_leaving = false;   ///< Instances do not learn that servers are leaving.
};

struct SimulationError {
  std::string problem;
};

/// Replays a trace through the production `Scheduler`, `ServerPool`, `CreditLedger` and
/// `SenderCredits` of every entry instance, in simulated time against simulated servers.
[[nodiscard]] core::Result<Report, SimulationError> Replay(const Trace& trace,
                                                           const SimulationOptions& options);

}  // namespace vanilladeck::replay

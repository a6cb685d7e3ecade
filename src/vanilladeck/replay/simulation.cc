#include "vanilladeck/replay/simulation.h"

#include "vanilladeck/replay/impl/engine.h"

namespace vanilladeck::replay {

core::Result<Report, SimulationError> Replay(const Trace& trace, const SimulationOptions& options) {
  if (trace.deployment.services.size() != 1 ||
      trace.deployment.services.front().places.size() != trace.deployment.failure_domains.size()) {
    return SimulationError{
        "the trace must have exactly one service, with a place in every failure domain"};
  }
  return impl::Engine(trace, options).Run();
}

}  // namespace vanilladeck::replay

#include "process/store_return_fixture.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)

// Guards against gateways that keep what the store lost, and drop what is written after its return,
// because no response states the store's era (CONFIG, DRAIN).
TEST_CASE("a policy and a leaving after the return of a store without eras are known in time",
          "[process]") {
  Fleet fleet({});
  fleet.store().behavior.states_era = false;
  WriteWhatIsLost(fleet);
  LoseStoreAndWait(fleet);
  fleet.RunFor(kAfterReturn);
  CheckPolicyAndLeaving(fleet, 0);
  CheckFleet(fleet);
}

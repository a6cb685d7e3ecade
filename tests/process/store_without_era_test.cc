#include "process/store_return_fixture.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)

namespace {

void ReturnWithoutEra(Fleet& fleet) {
  WriteWhatIsLost(fleet);
  LoseStoreAndWait(fleet);
  fleet.RunFor(kAfterReturn);
  CheckPolicyAndLeaving(fleet, 0);
  CheckFleet(fleet);
}

}  // namespace

// Guards against gateways that keep what the store lost, and drop what is written after its return,
// because no response states the store's era (CONFIG, DRAIN).
TEST_CASE("a policy and a leaving after the return of a store without eras are known in time",
          "[process]") {
  FleetOptions options;
  options.store.states_era = false;
  Fleet fleet(options);
  ReturnWithoutEra(fleet);
}

// Guards against the same where the store stated its era until a while before the loss, as if its
// header were dropped on the way from then on.
TEST_CASE("a policy and a leaving after the return of a store that stopped stating eras are known",
          "[process]") {
  Fleet fleet({});
  fleet.store().behavior.states_era = false;
  ReturnWithoutEra(fleet);
}

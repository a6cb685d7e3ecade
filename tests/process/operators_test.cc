#include <catch2/catch.hpp>

#include "process/system.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)

// Guards against an accepted change that a concurrent change silently overwrites, and against
// daemons that end up with different versions.
TEST_CASE("of two concurrent changes to the same version exactly one is accepted", "[process]") {
  constexpr int kExitConflict = 3;
  System system;
  for (int version = 1; version <= 3; ++version) {
    Child first = system.StartApply(0, version, {.queue_limit = 300 + version});
    Child second = system.StartApply(3, version, {.queue_limit = 400 + version});
    const auto first_status = first.Wait(kSettleTimeout);
    const auto second_status = second.Wait(kSettleTimeout);
    INFO("version " << version << ": " << first.Stdout() << first.Stderr() << second.Stdout()
                    << second.Stderr());
    REQUIRE(((first_status == 0 && second_status == kExitConflict) ||
             (first_status == kExitConflict && second_status == 0)));
    // The rejected operator is shown the accepted change.
    const Child& rejected = first_status == 0 ? second : first;
    const std::string accepted_value = std::to_string((first_status == 0 ? 300 : 400) + version);
    CHECK((rejected.Stdout() + rejected.Stderr()).find(accepted_value) != std::string::npos);
    for (std::size_t i = 0; i < System::kDaemons; ++i) {
      INFO("daemon " << i);
      CHECK(WaitUntil(milliseconds(5000), [&] { return system.ConfigVersion(i) == version + 1; }));
    }
  }
}

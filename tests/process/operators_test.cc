#include <catch2/catch.hpp>

#include "process/system.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)

// Guards against an accepted change that another operator's change silently replaces, and against
// daemons that end up with different versions.
TEST_CASE("of two operators who edit the same version exactly one wins", "[process]") {
  constexpr int kConflict = 3;
  System system;
  for (int version = 1; version <= 3; ++version) {
    Child first = system.StartApply(0, version, {.queue_limit = 300 + version});
    Child second = system.StartApply(3, version, {.queue_limit = 400 + version});
    const auto a = first.Wait(kSettleLimit);
    const auto b = second.Wait(kSettleLimit);
    INFO("version " << version << ": " << first.Output() << first.Errors() << second.Output()
                    << second.Errors());
    REQUIRE(((a == 0 && b == kConflict) || (a == kConflict && b == 0)));
    // The one who lost is shown the change of the other.
    const Child& lost = a == 0 ? second : first;
    const std::string change = std::to_string((a == 0 ? 300 : 400) + version);
    CHECK((lost.Output() + lost.Errors()).find(change) != std::string::npos);
    for (std::size_t i = 0; i < System::kDaemons; ++i) {
      INFO("daemon " << i);
      CHECK(Within(milliseconds(5000), [&] { return system.Version(i) == version + 1; }));
    }
  }
}

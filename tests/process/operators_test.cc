#include <catch2/catch.hpp>

#include "process/system.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)

// Guards against an accepted change that another operator's change silently replaces, and against
// daemons that end up with different versions.
TEST_CASE("two operators at once: every accepted change gets a version of its own", "[process]") {
  System system;
  int version = 1;
  for (int round = 0; round < 3; ++round) {
    Child first = system.StartApply(0, {.queue_limit = 300 + round});
    Child second = system.StartApply(3, {.queue_limit = 400 + round});
    const auto a = first.Wait(kSettleLimit);
    const auto b = second.Wait(kSettleLimit);
    REQUIRE(a.has_value());
    REQUIRE(b.has_value());
    REQUIRE((a == 0 || b == 0));
    version += (a == 0 ? 1 : 0) + (b == 0 ? 1 : 0);
    for (const auto& [status, tool] : {std::pair{a, &first}, std::pair{b, &second}}) {
      // A refused operator must learn why.
      if (status != 0) CHECK_FALSE((tool->Output() + tool->Errors()).empty());
    }
    for (std::size_t i = 0; i < System::kDaemons; ++i) {
      INFO("round " << round << ", daemon " << i);
      CHECK(Within(milliseconds(5000), [&] { return system.Version(i) == version; }));
    }
  }
}

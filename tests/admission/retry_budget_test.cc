#include "vanilladeck/admission/retry_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

using vanilladeck::admission::RetryBudget;

// Guards against retries that multiply the load on failing servers.
TEST_CASE("retries stay within the budget per first attempt", "[admission]") {
  REQUIRE_FALSE(RetryBudget::Create(1.1));
  REQUIRE_FALSE(RetryBudget::Create(-0.1));
  REQUIRE(rc::check("retry ratio", [](const std::vector<bool>& attempts) {
    RetryBudget budget = RetryBudget::Create(0.1).value();
    std::size_t first = 0;
    std::size_t retries = 0;
    for (bool retry : attempts) {
      if (!retry) budget.OnFirstAttempt();
      first += retry ? 0 : 1;
      retries += retry && budget.TryRetry() ? 1 : 0;
      RC_ASSERT(10 * retries <= first);
    }
  }));
  RetryBudget budget = RetryBudget::Create(0.1).value();
  for (int i = 0; i < 10; ++i) budget.OnFirstAttempt();
  REQUIRE(budget.TryRetry());
  REQUIRE_FALSE(budget.TryRetry());
}

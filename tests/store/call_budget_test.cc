#include "vanilladeck/store/call_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace vanilladeck::store {
namespace {

constexpr auto kTick = std::chrono::milliseconds(1);

CallBudget MakeBudget(double writes_per_s, core::TimePoint now) {
  BudgetOptions options;
  options.writes_per_s = writes_per_s;
  return CallBudget::Make(options, now).value();
}

}  // namespace

// Guards against a fleet that exceeds the store's rate with any mix of classes.
TEST_CASE("budget stays within its rate", "[store]") {
  REQUIRE(rc::check("calls over 20 s", [](const std::vector<std::uint8_t>& classes) {
    core::TimePoint now;
    auto budget = MakeBudget(50, now);
    int taken = 0;
    for (int ms = 0; ms < 20'000; ++ms, now += kTick) {
      const auto index =
          classes.empty() ? 0 : classes[static_cast<std::size_t>(ms) % classes.size()];
      const auto wanted = static_cast<CallClass>(index % kCallClasses);
      taken += budget.TryTake(CallKind::kWrite, wanted, now) ? 1 : 0;
    }
    RC_ASSERT(taken <= 50 * 20);
  }));
}

// Guards against a flood of one class that uses up the shares of the others.
TEST_CASE("flood of one class leaves the others their share", "[store]") {
  core::TimePoint now;
  auto budget = MakeBudget(100, now);
  int bulk = 0;
  int urgent = 0;
  int control = 0;
  for (int ms = 0; ms < 10'000; ++ms, now += kTick) {
    for (int i = 0; i < 5; ++i) {
      bulk += budget.TryTake(CallKind::kWrite, CallClass::kBulk, now) ? 1 : 0;
    }
    if (ms % 40 == 0) urgent += budget.TryTake(CallKind::kWrite, CallClass::kUrgent, now) ? 1 : 0;
    if (ms % 50 == 0) control += budget.TryTake(CallKind::kWrite, CallClass::kControl, now) ? 1 : 0;
  }
  REQUIRE(urgent >= 249);  // 25/s requested, 35/s granted; the buckets start empty.
  REQUIRE(control >= 199);
  REQUIRE(bulk >= 400);  // Its own 15/s and the unused shares of the others.
  REQUIRE(bulk + urgent + control <= 1'000);
}

// Guards against budgets that silently grant nothing or too much.
TEST_CASE("budget options are checked", "[store]") {
  BudgetOptions options;
  options.writers = 0;
  REQUIRE(CallBudget::Make(options, {}).error().code == BudgetErrorCode::kInstances);
  options = {};
  options.reads_per_s = 0;
  REQUIRE(CallBudget::Make(options, {}).error().code == BudgetErrorCode::kRate);
  options = {};
  options.shares = {0.5, 0.5, 0.5, 0};
  REQUIRE(CallBudget::Make(options, {}).error().code == BudgetErrorCode::kShares);
}

// Guards against callers that poll before a token is available.
TEST_CASE("refused call can be retried at the reported time", "[store]") {
  core::TimePoint now;
  auto budget = MakeBudget(10, now);
  REQUIRE_FALSE(budget.TryTake(CallKind::kWrite, CallClass::kUrgent, now));
  now = budget.AvailableAt(CallKind::kWrite, CallClass::kUrgent, now) + kTick;
  REQUIRE(budget.TryTake(CallKind::kWrite, CallClass::kUrgent, now));
}

}  // namespace vanilladeck::store

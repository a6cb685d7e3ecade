#include "vanilladeck/core/byte_budget.h"

#include <catch2/catch.hpp>
#include <deque>

namespace vanilladeck::core {
namespace {

struct Holder {
  explicit Holder(const ByteBudgetPtr& budget) : account(budget, [this] { ++evicted; }) {
    account.SetEvictable(true);
  }
  int evicted = 0;
  ByteBudget::Account account;
};

// Guards against a sender without end that leaves no room for small messages.
TEST_CASE("the largest account gives way to a small one") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  Holder small(budget);
  Holder large(budget);
  REQUIRE(small.account.TryResize(100));
  REQUIRE(large.account.TryResize(900));
  CHECK(small.account.TryResize(150));
  CHECK(large.evicted == 1);
  CHECK(budget->used() == 150);
  CHECK(budget->evictions() == 1);
}

TEST_CASE("the largest account does not grow at the cost of smaller ones") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  Holder small(budget);
  Holder large(budget);
  REQUIRE(small.account.TryResize(300));
  REQUIRE(large.account.TryResize(600));
  CHECK_FALSE(large.account.TryResize(800));
  CHECK(large.account.bytes() == 600);
  // The log and the metrics would otherwise hide the message that is cut off.
  CHECK(budget->evictions() == 1);
  CHECK(small.evicted == 0);
}

TEST_CASE("an account that must not be evicted is never chosen") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  Holder held(budget);
  Holder other(budget);
  held.account.SetEvictable(false);
  REQUIRE(held.account.TryResize(900));
  CHECK_FALSE(other.account.TryResize(200));
  CHECK(held.evicted == 0);
  // A buffer that exists already counts, also beyond the capacity.
  other.account.Resize(200);
  CHECK(budget->used() == 1100);
}

// Guards against a flood of small requests that keeps the store's answers out.
TEST_CASE("a preferred account takes the room of smaller ones") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  std::deque<Holder> small;
  for (int i = 0; i < 10; ++i) REQUIRE(small.emplace_back(budget).account.TryResize(100));
  Holder preferred(budget);
  preferred.account.SetEvictable(false);
  CHECK_FALSE(preferred.account.TryResize(300));
  preferred.account.SetPreferred();
  CHECK(preferred.account.TryResize(300));
  CHECK(budget->used() <= 1000);
}

// Guards against bytes of an evicted message that are counted twice or never released.
TEST_CASE("an evicted account holds nothing until it is cleared") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  Holder first(budget);
  Holder second(budget);
  REQUIRE(first.account.TryResize(900));
  REQUIRE(second.account.TryResize(200));
  CHECK(first.account.evicted());
  CHECK_FALSE(first.account.TryResize(10));
  first.account.Resize(10);
  CHECK(budget->used() == 200);
  first.account.Clear();
  CHECK(first.account.TryResize(10));
  CHECK(budget->used() == 210);
}

TEST_CASE("an account that ends releases its bytes") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  {
    Holder holder(budget);
    REQUIRE(holder.account.TryResize(900));
  }
  CHECK(budget->used() == 0);
}

}  // namespace
}  // namespace vanilladeck::core

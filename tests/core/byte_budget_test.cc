#include "vanilladeck/core/byte_budget.h"

#include <catch2/catch.hpp>
#include <deque>

namespace vanilladeck::core {
namespace {

struct TestAccount {
  explicit TestAccount(const ByteBudgetPtr& budget) : account(budget, [this] { ++evicted; }) {
    account.SetEvictable(true);
  }
  int evicted = 0;
  ByteBudget::Account account;
};

// Guards against an endless message that starves small ones.
TEST_CASE("growth of a small account evicts the largest one") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  TestAccount small(budget);
  TestAccount large(budget);
  REQUIRE(small.account.TryResize(100));
  REQUIRE(large.account.TryResize(900));
  CHECK(small.account.TryResize(150));
  CHECK(large.evicted == 1);
  CHECK(budget->used() == 150);
  CHECK(budget->evictions() == 1);
}

TEST_CASE("growth of the largest account does not evict smaller ones") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  TestAccount small(budget);
  TestAccount large(budget);
  REQUIRE(small.account.TryResize(300));
  REQUIRE(large.account.TryResize(600));
  CHECK_FALSE(large.account.TryResize(800));
  CHECK(large.account.bytes() == 600);
  // A rejected resize counts as an eviction, so that logs and metrics show the truncated message.
  CHECK(budget->evictions() == 1);
  CHECK(small.evicted == 0);
}

TEST_CASE("an account that is not evictable is never evicted") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  TestAccount pinned(budget);
  TestAccount other(budget);
  pinned.account.SetEvictable(false);
  REQUIRE(pinned.account.TryResize(900));
  CHECK_FALSE(other.account.TryResize(200));
  CHECK(pinned.evicted == 0);
  // Resize accounts for an allocated buffer even beyond the capacity.
  other.account.Resize(200);
  CHECK(budget->used() == 1100);
}

// Guards against a flood of small requests that leaves no memory for responses of the store.
TEST_CASE("a preferred account evicts smaller ones") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  std::deque<TestAccount> small;
  for (int i = 0; i < 10; ++i) REQUIRE(small.emplace_back(budget).account.TryResize(100));
  TestAccount preferred(budget);
  preferred.account.SetEvictable(false);
  CHECK_FALSE(preferred.account.TryResize(300));
  preferred.account.SetPreferred();
  CHECK(preferred.account.TryResize(300));
  CHECK(budget->used() <= 1000);
}

// Guards against counting the bytes of an evicted message twice or never releasing them.
TEST_CASE("an evicted account holds nothing until it is cleared") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  TestAccount first(budget);
  TestAccount second(budget);
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

TEST_CASE("a destroyed account releases its bytes") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  {
    TestAccount scoped(budget);
    REQUIRE(scoped.account.TryResize(900));
  }
  CHECK(budget->used() == 0);
}

}  // namespace
}  // namespace vanilladeck::core

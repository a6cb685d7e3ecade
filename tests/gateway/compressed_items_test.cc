#include "vanilladeck/gateway/compressed_items.h"

#include <catch2/catch.hpp>

#include "vanilladeck/core/deflate.h"

namespace vanilladeck::gateway {
namespace {

constexpr std::size_t kMaxBytes = 1000;

std::string Served(CompressedItems& items, const std::string& value, store::Position position) {
  return core::Inflate(items.Get({"op/config", value, position}), kMaxBytes).value_or("");
}

}  // namespace

// Guards against instances that get what the store has lost: its revision is given out again.
TEST_CASE("a revision that is given out again yields the new value") {
  CompressedItems items;
  CHECK(Served(items, "lost", {1, 300}) == "lost");
  CHECK(Served(items, "new", {2, 300}) == "new");
}

// Guards against instances that get the copy's older policy: the policy in force takes its place at
// the same position.
TEST_CASE("another value at the same position is compressed anew") {
  CompressedItems items;
  CHECK(Served(items, "of the copy", {2, 20}) == "of the copy");
  CHECK(Served(items, "in force", {2, 20}) == "in force");
}

// Guards against compressing a policy anew for each instance of a region after each of its reports.
TEST_CASE("the same value is compressed once, also at a later position") {
  CompressedItems items;
  const std::string* first = &items.Get({"op/config", "v", {1, 3}});
  const std::string bytes = *first;
  const std::string* second = &items.Get({"op/config", "v", {2, 9}});
  CHECK(first == second);
  CHECK(bytes == *second);
}

}  // namespace vanilladeck::gateway

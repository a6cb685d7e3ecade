#include "vanilladeck/core/json.h"

#include <catch2/catch.hpp>

namespace vanilladeck::core {
namespace {

// Guards against a text of a few megabytes that takes many times as much memory once parsed.
TEST_CASE("a text with more than kMaxJsonValues values is discarded") {
  CHECK(ParseJson(std::string(kMaxJsonValues + 1, '[')).is_discarded());
  std::string list = "[0";
  for (std::size_t i = 0; i < kMaxJsonValues; ++i) list += ",0";
  CHECK(ParseJson(list + "]").is_discarded());
}

TEST_CASE("characters inside strings are not counted as values") {
  const std::string text = "[\"" + std::string(2 * kMaxJsonValues, ',') + "\\\"[{\"]";
  CHECK(ParseJson(text).is_array());
}

TEST_CASE("malformed text is discarded without an exception") {
  for (const char* it : {"", "{", "[1,", "\"", "\"\\", "nul", "\xff"}) {
    CHECK(ParseJson(it).is_discarded());
  }
}

}  // namespace
}  // namespace vanilladeck::core

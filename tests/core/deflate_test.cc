#include "vanilladeck/core/deflate.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace vanilladeck::core {
namespace {

std::string RandomBytes(std::size_t n) {
  std::mt19937 random(7);  // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible.
  std::string bytes(n, '\0');
  for (char& it : bytes) it = static_cast<char>(random());
  return bytes;
}

TEST_CASE("what was deflated is inflated") {
  for (const std::size_t n : {0U, 1U, 65535U, 65536U, 65537U, 1'000'000U}) {
    CAPTURE(n);
    const std::string random = RandomBytes(n);
    CHECK(Inflate(Deflate(random), n) == random);
    const std::string zeros(n, '\0');
    CHECK(Inflate(Deflate(zeros), n) == zeros);
  }
  CHECK(Deflate(std::string(1'000'000, 'x')).size() < 10'000);
}

// Guards against memory without bound for a small stream.
TEST_CASE("a stream that holds more than the limit is rejected") {
  const std::string stream = Deflate(std::string(1'000'000, 'x'));
  CHECK(Inflate(stream, 1'000'000).has_value());
  CHECK_FALSE(Inflate(stream, 999'999).has_value());
  CHECK_FALSE(Inflate(stream, 65'536).has_value());
  CHECK_FALSE(Inflate(stream, 0).has_value());
}

TEST_CASE("truncated streams and trailing bytes are rejected") {
  const std::string stream = Deflate("{\"version\":\"0000000c\",\"resources\":[]}");
  for (std::size_t n = 0; n < stream.size(); ++n) {
    CHECK_FALSE(Inflate(stream.substr(0, n), 1000).has_value());
  }
  CHECK_FALSE(Inflate(stream + "x", 1000).has_value());
}

TEST_CASE("arbitrary bytes are inflated within the limit or rejected") {
  REQUIRE(rc::check("inflate arbitrary bytes", [](const std::string& stream) {
    const auto bytes = Inflate(stream, 1000);
    RC_ASSERT(!bytes || bytes->size() <= 1000);
  }));
}

}  // namespace
}  // namespace vanilladeck::core

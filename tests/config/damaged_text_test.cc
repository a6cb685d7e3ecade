#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <sstream>
#include <string>

#include "vanilladeck/config/parse_deployment.h"
#include "vanilladeck/core/toml.h"

namespace vanilladeck::config {
namespace {

std::string ExampleText() {
  std::ifstream in(std::string(VANILLADECK_SOURCE_DIR) + "/examples/kawabata.toml");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Guards against a malformed text that aborts the process: assertions of the TOML parser failed on
// these.
TEST_CASE("malformed table headers are errors with a position") {
  for (const std::string& malformed : {std::string("[[[service.place]]"), std::string("[\0x]", 4),
                                       std::string("[[\x7f"), std::string("[ \x01]")}) {
    const auto result = ParseDeployment("a = 1\n\n" + malformed + "\nb = 2\n", "t.toml");
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().at(0).code == ConfigErrorCode::kMalformedToml);
    CHECK(result.error().at(0).at.line == 3);
  }
}

TEST_CASE("deep nesting and oversized texts are errors") {
  CHECK_FALSE(core::ParseToml("a = " + std::string(100'000, '['), "t").has_value());
  CHECK_FALSE(core::ParseToml(std::string(core::kMaxTomlBytes + 1, ' '), "t").has_value());
}

TEST_CASE("mutated copies of an example text give errors or a deployment") {
  const std::string text = ExampleText();
  REQUIRE_FALSE(text.empty());
  std::mt19937 random(20261204);
  constexpr int kCopies = 10'000;
  constexpr std::string_view kSyntaxChars = "[]{}=\",.#'\n\\_-0a";
  int errors = 0;
  for (int i = 0; i < kCopies; ++i) {
    std::string mutated = text;
    const int mutations = 1 + static_cast<int>(random() % 5);
    for (int k = 0; k < mutations && !mutated.empty(); ++k) {
      const std::size_t at = random() % mutated.size();
      switch (random() % 4) {
        case 0:
          mutated[at] = static_cast<char>(random() % 256);
          break;
        case 1:
          mutated.erase(at, 1 + random() % 20);
          break;
        case 2:
          mutated.insert(at, 1, kSyntaxChars[random() % kSyntaxChars.size()]);
          break;
        default:
          mutated.resize(at + 1);
          break;
      }
    }
    if (!ParseDeployment(mutated, "t.toml")) ++errors;
  }
  CHECK(errors > kCopies / 2);
}

}  // namespace
}  // namespace vanilladeck::config

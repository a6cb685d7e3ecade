#include "vanilladeck/daemon/settings.h"

#include <catch2/catch.hpp>

using vanilladeck::daemon::Settings;
using vanilladeck::daemon::SettingsError;
using vanilladeck::daemon::SettingsErrorCode;

namespace {

constexpr const char* kValidSettings = R"(deployment = "kawabata"
failure_domain = "fukuoka-a"
seat = 1
[listen]
callers = "127.0.0.1:7001"
peers = "[::1]:7002"
operators = "127.0.0.1:7003"
[platform]
address = "127.0.0.1:8500"
token = "hush"
[limits]
max_connections = 10
[telemetry]
spans_file = "spans.jsonl"
)";

}  // namespace

TEST_CASE("settings file is parsed with all its sections", "[settings]") {
  auto settings = Settings::Parse(kValidSettings, "good.toml");
  REQUIRE(settings.has_value());
  CHECK(settings.value().deployment == "kawabata");
  CHECK(settings.value().seat == 1);
  CHECK(settings.value().listen.peers.ToString() == "[::1]:7002");
  CHECK(settings.value().platform.token.Reveal() == "hush");
  CHECK(settings.value().limits.max_connections == 10);
  CHECK(settings.value().limits.max_header_bytes == 16'384);
}

// Guards against errors that appear only after start, or one at a time.
TEST_CASE("every error in a settings file is reported with its position", "[settings]") {
  const auto settings = Settings::Parse(R"(deployment = 7
failure_domain = ""
seat = -1
colour = "red"
[listen]
callers = "localhost:70"
peers = "127.0.0.1:70000"
[platform]
address = "127.0.0.1:8500"
token = "hush"
[limits]
max_connections = 0
)",
                                        "bad.toml");
  REQUIRE(settings.has_error());
  std::vector<std::string> texts;
  for (const SettingsError& error : settings.error()) texts.push_back(error.ToString());
  const auto has_error_at = [&texts](const std::string& start) {
    return std::any_of(texts.begin(), texts.end(),
                       [&](const std::string& text) { return text.rfind(start, 0) == 0; });
  };
  CHECK(texts.size() == 8);
  CHECK(has_error_at("bad.toml:1:14: wrong-type: deployment"));
  CHECK(has_error_at("bad.toml:2:18: out-of-range: failure_domain"));
  CHECK(has_error_at("bad.toml:3:8: out-of-range: seat"));
  CHECK(has_error_at("bad.toml:4:1: unknown-key: colour"));
  CHECK(has_error_at("bad.toml:6:11: bad-address: listen.callers"));
  CHECK(has_error_at("bad.toml:7:9: bad-address: listen.peers"));
  CHECK(has_error_at("bad.toml:5:1: missing-key: listen.operators"));
  CHECK(has_error_at("bad.toml:12:19: out-of-range: limits.max_connections"));
  for (const std::string& text : texts) CHECK(text.find("hush") == std::string::npos);
}

TEST_CASE("unreadable and malformed settings files are errors", "[settings]") {
  const auto unreadable = Settings::Load("/nonexistent/settings.toml");
  REQUIRE(unreadable.has_error());
  CHECK(unreadable.error().front().code == SettingsErrorCode::kUnreadable);
  const auto malformed = Settings::Parse("seat = \n", "x.toml");
  REQUIRE(malformed.has_error());
  CHECK(malformed.error().front().code == SettingsErrorCode::kSyntax);
  CHECK(malformed.error().front().line == 1);
}

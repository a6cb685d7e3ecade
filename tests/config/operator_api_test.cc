#include "vanilladeck/config/operator_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "config/fake_daemon.h"
#include "config/sample_text.h"

using namespace vanilladeck::config;
using nlohmann::json;
using vanilladeck::config::testing::FakeDaemon;
using vanilladeck::config::testing::FakeStore;
using vanilladeck::config::testing::SampleText;

namespace {

struct Api {
  FakeStore store;
  FakeDaemon daemon{store};

  json Call(unsigned status, const std::string& method, const std::string& target,
            const json& body = nullptr) {
    const auto response = daemon.Serve({method, target, body.is_null() ? "" : body.dump()});
    CAPTURE(target, response.body);
    REQUIRE(response.status == status);
    return json::parse(response.body);
  }
  json Apply(unsigned status, int retention, std::uint64_t base, const std::string& mark) {
    return Call(
        status, "POST", "/v1/config/apply",
        {{"text", SampleText(retention)}, {"base_version", base}, {"who", "ada"}, {"mark", mark}});
  }
};

}  // namespace

// Guards against responses that differ from docs/CONFIGURATION.md.
TEST_CASE("operators' API publishes and shows versions", "[config]") {
  Api api;
  REQUIRE(api.Call(503, "GET", "/v1/config")["error"] == "no-configuration");
  REQUIRE(api.Call(200, "GET", "/v1/status")["reason"].get<std::string>().find(
              "no configuration") == 0);
  REQUIRE(api.Apply(200, 1, 0, "a")["version"] == 1);
  REQUIRE(api.Apply(200, 2, 1, "b")["already_accepted"] == false);
  REQUIRE(api.Apply(200, 2, 1, "b")["already_accepted"] == true);
  const auto conflict = api.Apply(409, 3, 1, "c");
  REQUIRE(conflict["changes"][0]["mark"] == "b");
  REQUIRE(conflict["difference"].get<std::string>().find("+record_retention_s = 2") !=
          std::string::npos);

  REQUIRE(api.Call(200, "GET", "/v1/config")["text"] == SampleText(2));
  const auto history = api.Call(200, "GET", "/v1/config/history");
  REQUIRE(history["accepted"].size() == 2);
  REQUIRE(history["accepted"][0]["version"] == 2);
  REQUIRE(history["in_force"][0]["to_ms"].is_null());
  const std::int64_t second = history["in_force"][0]["from_ms"];
  REQUIRE(history["in_force"][1]["to_ms"] == second);
  const auto before = api.Call(200, "GET", "/v1/config/show?at=" + std::to_string(second - 1));
  REQUIRE(before["version"] == 1);
  REQUIRE(before["text"] == SampleText(1));
  REQUIRE(api.Call(404, "GET", "/v1/config/show?at=5")["error"] == "not-kept");
  const auto status = api.Call(200, "GET", "/v1/status");
  REQUIRE(status["version"] == 2);
  REQUIRE(status["daemon"]["load"] == 1);
}

// Guards against error responses without a position or reason, and against accepting malformed
// requests.
TEST_CASE("operators' API reports errors", "[config]") {
  Api api;
  const auto check =
      api.Call(200, "POST", "/v1/config/check", {{"text", SampleText(0)}, {"file", "f.toml"}});
  REQUIRE(check["valid"] == false);
  REQUIRE(check["errors"][0]["file"] == "f.toml");
  REQUIRE(check["errors"][0]["line"] == 3);
  REQUIRE(check["errors"][0]["rule"] == "not-positive");
  const auto refused = api.Apply(422, 0, 0, "a");
  REQUIRE(refused["reason"] == "invalid-text");
  REQUIRE(refused["errors"].size() == 1);
  api.Call(400, "POST", "/v1/config/apply", {{"text", SampleText(1)}});
  api.Call(400, "POST", "/v1/config/apply");
  api.Call(404, "GET", "/v2/config");
  api.Call(405, "GET", "/v1/config/apply");
  api.Call(400, "GET", "/v1/explain?service=%4");
  api.store.is_down = true;
  REQUIRE(api.Apply(503, 1, 0, "a")["reason"] == "store-unavailable");
}

// Guards against explanations that ignore the client's region or the links.
TEST_CASE("explain names the client's region and the shift cap", "[config]") {
  Api api;
  api.Apply(200, 1, 0, "a");
  const auto in_region =
      api.Call(200, "GET", "/v1/explain?service=front&client=10.2.3.4&rank=urgent");
  REQUIRE(in_region["client_region"] == "south");
  REQUIRE(in_region["rank"] == "urgent");
  REQUIRE(in_region["sites"][0]["slots"] == 8);
  const auto shifted = api.Call(200, "GET", "/v1/explain?service=front&client=10.1.3.4");
  REQUIRE(shifted["rank"] == "normal");
  REQUIRE(shifted["sites"][0]["shift_cap_rps"] == 50);
  REQUIRE(shifted["sites"][0]["reason"] == "shift from region north");
  api.Call(404, "GET", "/v1/explain?service=gone&client=10.1.3.4");
  api.Call(400, "GET", "/v1/explain?service=front&client=x");
  api.Call(400, "GET", "/v1/explain?service=front&client=10.1.3.4&rank=x");
}

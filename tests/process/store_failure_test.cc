#include <catch2/catch.hpp>

#include "process/system.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)
using boost::beast::http::verb;

namespace {

FetchResult Deposit(const System& system, std::size_t i, const std::string& key) {
  return system.Send(i, verb::post, "/deposit", {{"Idempotency-Key", key}}, "x");
}

}  // namespace

// Guards against a store outage that stops requests which need no record, and against operations
// that run without one.
TEST_CASE("idempotent requests go on while the store is down", "[process]") {
  System system;
  const auto fault = GENERATE(Json{{"mode", "refuse"}}, Json{{"partition", {"127.0.0.1"}}});
  system.PlatformFault(fault);
  system.StartLoad(8, 30, 0);
  const std::string key = system.OperationKey(2);
  const auto refused = Deposit(system, 2, key);
  CHECK(refused.status() == 503);
  REQUIRE(refused.response.has_value());
  // A store that is silent may still apply the claim, so the owner may not know more.
  if (fault.contains("mode")) CHECK((*refused.response)["Request-Outcome"] == "not-run");
  const Json summary = system.FinishLoad();
  INFO(summary.dump(2));
  for (const auto& [rank, it] : summary["ranks"].items()) CHECK(it["ok"] == it["sent"]);
  CHECK(system.RunsOf(key) == 0);
  system.PlatformFault({{"mode", "ok"}});
  const std::string later = system.OperationKey(2);
  CHECK(Within(kSettleLimit, [&] { return Deposit(system, 2, later).status() == 200; }));
  CHECK(system.RunsOf(later) == 1);
}

// Guards against a claim that is taken twice, or forgotten, when the store's answer is lost.
TEST_CASE("lost store answers repeat and lose no operation", "[process]") {
  System system;
  system.PlatformFault({{"mode", "lose_answers"}, {"probability", 0.3}});
  system.StartLoad(8, 20, 1);
  const Json summary = system.FinishLoad();
  INFO(summary.dump(2));
  system.CheckOperations();
  system.PlatformFault({{"mode", "ok"}});
  const std::string key = system.OperationKey(0);
  CHECK(Within(kSettleLimit, [&] { return Deposit(system, 0, key).status() == 200; }));
  CHECK(system.RunsOf(key) == 1);
}

// Guards against an accepted configuration that needs the store to reach the other daemons.
TEST_CASE("a configuration is active everywhere with the store down after acceptance",
          "[process]") {
  System system;
  Child tool = system.StartApply(0, 1, {.lookup_ttl_s = 3});
  REQUIRE(tool.Wait(kSettleLimit) == 0);
  system.PlatformFault({{"mode", "refuse"}});
  for (std::size_t i = 0; i < System::kDaemons; ++i) {
    INFO("daemon " << i);
    CHECK(Within(milliseconds(5000), [&] { return system.Version(i) == 2; }));
  }
}

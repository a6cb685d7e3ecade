#include <catch2/catch.hpp>

#include "process/system.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)
using boost::beast::http::verb;

namespace {

FetchResult Deposit(const System& system, std::size_t i, const std::string& key) {
  return system.Send(i, verb::post, "/deposit", {{"Idempotency-Key", key}}, "x");
}

}  // namespace

// Guards against a store outage that fails requests which need no record in the store, and against
// operations that run without one.
TEST_CASE("idempotent requests are served while the store is down", "[process]") {
  System system;
  const auto fault = GENERATE(Json{{"mode", "refuse"}}, Json{{"partition", {"127.0.0.1"}}});
  system.SetPlatformFault(fault);
  system.StartLoad(8, 30, 0);
  const std::string key = system.OperationKey(2);
  const auto refused = Deposit(system, 2, key);
  CHECK(refused.status() == 503);
  REQUIRE(refused.response.has_value());
  // An unresponsive store may still apply the claim, so the daemon may not know the outcome.
  if (fault.contains("mode")) CHECK((*refused.response)["Request-Outcome"] == "not-run");
  const Json summary = system.FinishLoad();
  INFO(summary.dump(2));
  for (const auto& [rank, stats] : summary["ranks"].items()) CHECK(stats["ok"] == stats["sent"]);
  CHECK(system.RunCount(key) == 0);
  system.SetPlatformFault({{"mode", "ok"}});
  const std::string later_key = system.OperationKey(2);
  CHECK(WaitUntil(kSettleTimeout, [&] { return Deposit(system, 2, later_key).status() == 200; }));
  CHECK(system.RunCount(later_key) == 1);
}

// Guards against a claim that is granted twice or lost when the store's response is lost.
TEST_CASE("no operation is repeated or lost when store responses are lost", "[process]") {
  System system;
  system.SetPlatformFault({{"mode", "lose_answers"}, {"probability", 0.3}});
  system.StartLoad(8, 20, 1);
  const Json summary = system.FinishLoad();
  INFO(summary.dump(2));
  system.CheckOperationRuns();
  system.SetPlatformFault({{"mode", "ok"}});
  const std::string key = system.OperationKey(0);
  CHECK(WaitUntil(kSettleTimeout, [&] { return Deposit(system, 0, key).status() == 200; }));
  CHECK(system.RunCount(key) == 1);
}

// Guards against daemons that can get an accepted configuration only from the store.
TEST_CASE("an accepted configuration reaches every daemon while the store is down", "[process]") {
  System system;
  Child ctl = system.StartApply(0, 1, {.lookup_ttl_s = 3});
  REQUIRE(ctl.Wait(kSettleTimeout) == 0);
  system.SetPlatformFault({{"mode", "refuse"}});
  for (std::size_t i = 0; i < System::kDaemons; ++i) {
    INFO("daemon " << i);
    CHECK(WaitUntil(milliseconds(5000), [&] { return system.ConfigVersion(i) == 2; }));
  }
}

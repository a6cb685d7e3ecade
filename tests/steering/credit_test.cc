#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "vanilladeck/steering/credit_ledger.h"
#include "vanilladeck/steering/sender_credits.h"

using namespace vanilladeck::steering;  // NOLINT(google-build-using-namespace): tests of it
using std::chrono::milliseconds;
using std::chrono::seconds;
using vanilladeck::config::Deployment;
using vanilladeck::core::Duration;
using vanilladeck::core::InstanceId;
using vanilladeck::core::TimePoint;
using vanilladeck::peer::CreditGrant;
using vanilladeck::peer::CreditRequest;

namespace {

constexpr std::uint32_t kRateCap = 10;
constexpr std::uint32_t kInflightCap = 7;
constexpr IdleSlots kIdle{100, true};

TimePoint At(Duration since_start) { return TimePoint(std::chrono::hours(1) + since_start); }

Deployment MakeDeployment() {
  Deployment deployment;
  deployment.regions = {{"east", {}}, {"west", {}}, {"south", {}}};
  deployment.failure_domains = {{"e1", "east", 1}, {"w1", "west", 2}, {"w2", "west", 1}};
  deployment.links = {{"east", "west", 0, kRateCap + 0.5, kInflightCap},
                      {"south", "west", 0, 4, 2}};
  return deployment;
}

CreditLedger MakeLedger(const std::string& domain, const std::vector<std::uint32_t>& seats,
                        const InstanceId& self) {
  const Deployment deployment = MakeDeployment();
  CreditLedger ledger = CreditLedger::Create(deployment, "west", self).value();
  ledger.SetSeats(NumberSeats(deployment, domain, seats), At(std::chrono::hours(10)));
  return ledger;
}

CreditLedger WholeRegion() {
  CreditLedger ledger = CreditLedger::Create(MakeDeployment(), "west", {"w", 1}).value();
  ledger.SetSeats({{0, 1, 2}, 3}, At(std::chrono::hours(10)));
  return ledger;
}

InstanceId Sender() { return {"e", 1}; }

CreditRequest MakeRequest(std::uint32_t wanted, const InstanceId& sender = Sender(),
                          const std::string& region = "east") {
  return {sender, region, "stock", wanted};
}

/// Requests and uses credits at constant demand; returns the credits used in each second.
std::vector<std::uint32_t> UsePerSecond(CreditLedger& ledger, IdleSlots idle, int from, int to) {
  std::vector<std::uint32_t> used;
  for (int second = from; second < to; ++second) {
    used.push_back(0);
    for (int step = 0; step < 10; ++step) {
      const TimePoint now = At(seconds(second) + milliseconds(100) * step);
      (void)ledger.Grant(MakeRequest(50), idle, now);
      while (ledger.Admit(Sender(), "east", "stock", now)) {
        ++used.back();
        ledger.Finish("east", now);
      }
    }
  }
  return used;
}

/// Counts the requests between a pair of regions, independently of the ledgers.
struct PairMonitor {
  std::deque<TimePoint> uses;
  std::uint32_t in_flight = 0;

  std::size_t Use(TimePoint now) {
    while (!uses.empty() && uses.front() + seconds(1) <= now) uses.pop_front();
    uses.push_back(now);
    ++in_flight;
    return uses.size();
  }
};

}  // namespace

// Guards against forwarded traffic above the shift caps: through accumulated grants, senders that
// fail or pause while holding credits, clock steps, and several receivers.
TEST_CASE("shift caps hold under any schedule", "[steering]") {
  REQUIRE(rc::check("caps", [] {
    std::vector<CreditLedger> ledgers{MakeLedger("w1", {0}, {"w1a", 1}),
                                      MakeLedger("w1", {1}, {"w1b", 1}),
                                      MakeLedger("w2", {0}, {"w2a", 1})};
    const std::vector<InstanceId> ids{{"w1a", 1}, {"w1b", 1}, {"w2a", 1}};
    std::vector<SenderCredits> sender_credits(2);
    std::vector<InstanceId> senders{{"e", 1}, {"e", 2}};
    PairMonitor monitor;
    std::vector<std::uint32_t> running(ledgers.size());
    Duration now{0};
    for (int step : *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 20))) {
      const auto ledger = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
      const auto sender = static_cast<std::size_t>(*rc::gen::inRange(0, 2));
      // Mostly small steps, some pauses, and steps backwards.
      now += milliseconds(*rc::gen::weightedElement<int>({{20, 30}, {3, 400}, {1, 2500}}));
      const TimePoint seen = At(now - milliseconds(*rc::gen::element(0, 0, 0, 50)));
      if (step < 8) {
        const auto grant = ledgers[ledger].Grant(MakeRequest(9, senders[sender]), kIdle, seen);
        const Duration transit = milliseconds(*rc::gen::element(0, 60, 1990));
        if (grant) (void)sender_credits[sender].Add(grant.value(), "stock", seen - transit, seen);
      } else if (step < 16) {
        const auto use = sender_credits[sender].Take(ids[ledger], "stock", seen);
        if (!use) continue;
        RC_ASSERT(use.value().remaining > Duration::zero());
        now += milliseconds(*rc::gen::element(0, 55));
        if (!ledgers[ledger].Admit(senders[sender], "east", "stock", At(now))) continue;
        ++running[ledger];
        RC_ASSERT(monitor.Use(At(now)) <= kRateCap);
        RC_ASSERT(monitor.in_flight <= kInflightCap);
      } else if (step < 19) {
        if (running[ledger] == 0) continue;
        --running[ledger];
        --monitor.in_flight;
        ledgers[ledger].Finish("east", seen);
      } else {
        // The sender fails and loses its credits; it restarts as another incarnation.
        sender_credits[sender] = SenderCredits();
        senders[sender].incarnation += 2;
      }
    }
  }));
}

// Guards against a split of the caps that loses a share or counts it twice.
TEST_CASE("the shares of the seats sum to the caps", "[steering]") {
  std::uint32_t rate = 0;
  for (const auto& [domain, seat] :
       std::vector<std::pair<std::string, std::uint32_t>>{{"w1", 0}, {"w1", 1}, {"w2", 0}}) {
    CreditLedger ledger = MakeLedger(domain, {seat}, {"w", 1});
    const auto used = UsePerSecond(ledger, kIdle, 0, 12);
    rate += *std::ranges::max_element(used);
  }
  REQUIRE(rate == kRateCap);
}

// Guards against full load on cold caches: traffic grows by a factor of 1.5 per second from one
// request, and not at all without recent load reports.
TEST_CASE("shifted traffic grows slowly and not without measurements", "[steering]") {
  CreditLedger ledger = WholeRegion();
  auto used = UsePerSecond(ledger, kIdle, 0, 3);
  REQUIRE(used[0] == 1);
  REQUIRE(used[2] <= 3);
  const auto unmeasured = UsePerSecond(ledger, {100, false}, 3, 9);
  REQUIRE(unmeasured.back() >= 1);
  REQUIRE(unmeasured.back() <= 3);
  used = UsePerSecond(ledger, kIdle, 9, 20);
  REQUIRE(used.back() == kRateCap);
  ledger.OnShed("east", At(seconds(20)));
  REQUIRE(UsePerSecond(ledger, kIdle, 20, 21)[0] <= 7);    // Half of ten, after a second of growth.
  REQUIRE(UsePerSecond(ledger, kIdle, 100, 101)[0] == 1);  // Cold again.
}

// Guards against credits for slots that are in use or reserved by other credits.
TEST_CASE("credits are granted from idle slots only", "[steering]") {
  CreditLedger ledger = WholeRegion();
  (void)UsePerSecond(ledger, kIdle, 0, 12);
  const TimePoint now = At(seconds(14));
  REQUIRE(ledger.Grant(MakeRequest(9), {0, true}, now).value().count == 0);
  REQUIRE(ledger.Grant(MakeRequest(9), {2, true}, now).value().count == 2);
  REQUIRE(ledger.Grant(MakeRequest(9, {"e", 7}), {2, true}, now).value().count == 0);
  REQUIRE(ledger.Outstanding("stock", now) == 2);
  REQUIRE(ledger.Grant(MakeRequest(2), {9, true}, now).value().count == 0);  // Held already.
  const CreditRequest own{{"w9", 1}, "west", "stock", 50};
  REQUIRE(ledger.Grant(own, {40, true}, now).value().count == 38);  // No cap within the region.
}

// Guards against the use of expired credits by a paused sender, and of credits of another
// incarnation, for another service, or at a receiver that lost its seat or restarted.
TEST_CASE("credits expire and are bound to incarnations", "[steering]") {
  CreditLedger ledger = WholeRegion();
  const InstanceId receiver{"w", 1};
  SenderCredits credits;
  const auto grant = ledger.Grant(MakeRequest(1), kIdle, At({})).value();
  REQUIRE(grant.count == 1);
  REQUIRE(grant.granter == receiver);
  REQUIRE(credits.Add(grant, "stock", At(seconds(-3)), At({})).error().code ==
          SenderCreditsErrorCode::kExpired);
  REQUIRE(credits.Add(grant, "stock", At(milliseconds(-100)), At({})));
  REQUIRE(credits.Available(receiver, "stock", At(milliseconds(1899))) == 1);
  REQUIRE(credits.Available(receiver, "stock", At(milliseconds(1900))) == 0);
  REQUIRE_FALSE(credits.Take({"w", 2}, "stock", At({})));
  REQUIRE_FALSE(ledger.Admit({"e", 2}, "east", "stock", At({})));
  REQUIRE_FALSE(ledger.Admit(Sender(), "east", "audit", At({})));
  CreditLedger restarted = WholeRegion();
  REQUIRE(restarted.Admit(Sender(), "east", "stock", At({})).error().code ==
          CreditRefusal::kNoCredit);
  // The credit of a failed sender reserves the slot until it expires.
  REQUIRE(ledger.Grant(MakeRequest(1, {"e", 2}), kIdle, At(milliseconds(1999))).value().count == 0);
  REQUIRE(ledger.Grant(MakeRequest(1, {"e", 2}), kIdle, At(seconds(2))).value().count == 1);
  REQUIRE_FALSE(credits.Take(receiver, "stock", At(milliseconds(1900))));
  REQUIRE(credits.Add(grant, "stock", At({}), At({})));
  credits.Drop(receiver);
  REQUIRE_FALSE(credits.Take(receiver, "stock", At({})));
  ledger.SetSeats({{0, 1, 2}, 3}, At(seconds(3)));
  const auto last = ledger.Grant(MakeRequest(1, {"e", 3}), kIdle, At(milliseconds(2500))).value();
  REQUIRE(last.ttl_ms <= 500);
  REQUIRE(ledger.Admit({"e", 2}, "east", "stock", At(seconds(3))).error().code ==
          CreditRefusal::kSeatExpired);
  REQUIRE(ledger.Grant(MakeRequest(1, Sender(), "north"), kIdle, At({})).error().code ==
          CreditRefusal::kUnknownRegion);
  REQUIRE_FALSE(CreditLedger::Create(MakeDeployment(), "north", receiver));
}

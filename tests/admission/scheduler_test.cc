#include "vanilladeck/admission/scheduler.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

using std::chrono::milliseconds;
using std::chrono::seconds;
using vanilladeck::admission::RejectionCode;
using vanilladeck::admission::RequestId;
using vanilladeck::admission::Scheduler;
using vanilladeck::admission::SchedulerErrorCode;
using vanilladeck::config::Policy;
using vanilladeck::config::RankTargets;
using vanilladeck::config::SchedulerKind;
using vanilladeck::core::Duration;
using vanilladeck::core::Index;
using vanilladeck::core::kAllRanks;
using vanilladeck::core::PerRank;
using vanilladeck::core::Rank;
using vanilladeck::core::TimePoint;

namespace {

constexpr SchedulerKind kKinds[] = {SchedulerKind::kStrict, SchedulerKind::kWeightedFair,
                                    SchedulerKind::kDeadline};

PerRank<RankTargets> Ranks(double urgent, double normal, double bulk) {
  return {RankTargets{seconds(1), 100, urgent}, RankTargets{seconds(3), 10, normal},
          RankTargets{seconds(10), 1, bulk}};
}

Scheduler Make(SchedulerKind kind, const PerRank<RankTargets>& ranks, std::uint32_t limit = 50) {
  Policy policy;
  policy.scheduler = kind;
  policy.queue_limit = limit;
  return Scheduler::Create(policy, ranks).value();
}

TimePoint At(Duration since_start) { return TimePoint(std::chrono::hours(1) + since_start); }

/// Ids encode their rank, so that tests need no map.
RequestId IdOf(std::uint64_t number, Rank rank) { return 3 * number + Index(rank); }
Rank RankOf(RequestId id) { return kAllRanks.at(id % 3); }

/// Share of the slot time that each rank gets while every rank always has waiting requests.
PerRank<double> SharesUnderFlood(Scheduler scheduler, std::uint32_t slots, unsigned seed) {
  constexpr Duration kLength = seconds(60);
  constexpr Duration kStep = milliseconds(2);
  std::mt19937 random(seed);
  std::exponential_distribution<double> exponential(1.0);
  std::multimap<Duration, RequestId> running;
  PerRank<double> shares{};
  std::uint64_t number = 0;
  scheduler.SetCapacity(slots, At({}));
  for (Duration now{0}; now < kLength; now += kStep) {
    while (!running.empty() && running.begin()->first <= now) {
      scheduler.OnFinished(running.begin()->second, milliseconds(50), At(now));
      running.erase(running.begin());
    }
    for (Rank rank : kAllRanks) {
      while (scheduler.Waiting(rank) < 3 &&
             scheduler.Offer(IdOf(++number, rank), rank, {}, At(now))) {
      }
    }
    while (const auto id = scheduler.Next(At(now))) {
      const std::chrono::duration<double, std::milli> runs(25 + 25 * exponential(random));
      running.emplace(now + std::chrono::duration_cast<Duration>(runs), *id);
    }
    (void)scheduler.TakeDropped(At(now));
    for (const auto& [end, id] : running) {
      shares[Index(RankOf(id))] += std::chrono::duration<double>(kStep) / kLength / slots;
    }
  }
  return shares;
}

}  // namespace

// Guards against a rank that loses its floor to a flood of other ranks, in particular with a floor
// below one slot, and against idle capacity.
TEST_CASE("floors hold within 5% as shares of time", "[admission]") {
  REQUIRE(rc::check("floors under floods", [] {
    const auto kind = kKinds[*rc::gen::inRange(0, 3)];
    const auto slots = static_cast<std::uint32_t>(*rc::gen::inRange(2, 24));
    PerRank<double> floors{};
    int left = 90;
    for (double& floor : floors) {
      const int percent = *rc::gen::inRange(0, left / 2 + 1);
      left -= percent;
      floor = percent / 100.0;
    }
    const auto ranks = Ranks(floors[0], floors[1], floors[2]);
    const auto shares = SharesUnderFlood(Make(kind, ranks), slots,
                                         static_cast<unsigned>(*rc::gen::inRange(1, 999)));
    double sum = 0;
    for (Rank rank : kAllRanks) {
      RC_ASSERT(shares[Index(rank)] >= 0.95 * floors[Index(rank)]);
      sum += shares[Index(rank)];
    }
    RC_ASSERT(sum >= 0.95);
  }));
}

// Guards against requests that are lost, run twice or exceed the capacity, for any order of calls.
TEST_CASE("every accepted request ends exactly once", "[admission]") {
  REQUIRE(rc::check("conservation", [] {
    Scheduler scheduler = Make(kKinds[*rc::gen::inRange(0, 3)], Ranks(0.3, 0.3, 0.1), 5);
    std::set<RequestId> waiting;
    std::set<RequestId> running;
    Duration now{0};
    std::uint64_t number = 0;
    scheduler.SetCapacity(4, At(now));
    for (int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9))) {
      now += milliseconds(*rc::gen::inRange(-5, 300));
      const Rank rank = kAllRanks.at(static_cast<std::size_t>(step % 3));
      if (step < 3) {
        const RequestId id = IdOf(++number, rank);
        std::optional<TimePoint> deadline;
        if (*rc::gen::inRange(0, 2) == 0) deadline = At(now + milliseconds(200));
        if (scheduler.Offer(id, rank, deadline, At(now))) waiting.insert(id);
      } else if (step == 3 && !running.empty()) {
        scheduler.OnFinished(*running.begin(), milliseconds(20), At(now));
        running.erase(running.begin());
      } else if (step == 4 && !waiting.empty()) {
        const RequestId id = *waiting.begin();
        if (scheduler.Cancel(id, At(now))) waiting.erase(id);
      } else if (step == 5 && !running.empty()) {
        scheduler.Requeue(*running.begin(), At(now));
        waiting.insert(running.extract(running.begin()));
      } else if (step == 6) {
        for (const auto& dropped : scheduler.TakeDropped(At(now))) {
          RC_ASSERT(waiting.erase(dropped.id) == 1U);
        }
      } else if (const auto id = scheduler.Next(At(now))) {
        RC_ASSERT(waiting.erase(*id) == 1U);
        RC_ASSERT(running.insert(*id).second);
        RC_ASSERT(running.size() <= 4U);
      }
    }
    for (const auto& dropped : scheduler.TakeDropped(At(now))) waiting.erase(dropped.id);
    std::size_t left = 0;
    for (Rank rank : kAllRanks) left += scheduler.Waiting(rank);
    RC_ASSERT(left == waiting.size());
  }));
}

// Guards against requests that are queued although they cannot be served in time.
TEST_CASE("requests that cannot be on time are rejected early", "[admission]") {
  Scheduler scheduler = Make(SchedulerKind::kWeightedFair, Ranks(0.3, 0.3, 0.1), 6);
  REQUIRE(scheduler.Offer(1, Rank::kNormal, {}, At({})).error().code == RejectionCode::kOverload);
  scheduler.SetCapacity(1, At({}));
  REQUIRE(scheduler.Offer(1, Rank::kNormal, {}, At({})));
  REQUIRE(scheduler.Offer(1, Rank::kNormal, {}, At({})).error().code ==
          RejectionCode::kDuplicateId);
  REQUIRE(scheduler.Next(At({})) == 1);
  scheduler.OnFinished(1, milliseconds(400), At(milliseconds(400)));
  const auto now = At(milliseconds(400));
  REQUIRE(scheduler.Offer(2, Rank::kNormal, {}, now));
  REQUIRE(scheduler.Next(now) == 2);
  const auto late = scheduler.Offer(3, Rank::kNormal, now + milliseconds(700), now);
  REQUIRE(late.error().code == RejectionCode::kDeadline);
  REQUIRE(late.error().retry_after == milliseconds(400));
  REQUIRE(scheduler.Offer(3, Rank::kNormal, now + milliseconds(900), now));
  REQUIRE(scheduler.TakeDropped(now + milliseconds(899)).empty());
  const auto dropped = scheduler.TakeDropped(now + milliseconds(900));
  REQUIRE(dropped.size() == 1);
  REQUIRE(dropped[0].id == 3);
  RequestId id = 10;
  while (scheduler.Offer(++id, Rank::kBulk, {}, now)) {
  }
  REQUIRE(scheduler.Waiting(Rank::kBulk) == 6);
  REQUIRE(scheduler.Offer(id, Rank::kBulk, {}, now).error().code == RejectionCode::kQueueFull);
}

// Guards against a rank that stays shed because a slow period left a high estimate.
TEST_CASE("a stale estimate does not shed a rank permanently", "[admission]") {
  Scheduler scheduler = Make(SchedulerKind::kStrict, Ranks(0.3, 0.3, 0.1));
  scheduler.SetCapacity(2, At({}));
  REQUIRE(scheduler.Offer(1, Rank::kUrgent, {}, At({})));
  REQUIRE(scheduler.Next(At({})) == 1);
  scheduler.OnFinished(1, seconds(30), At(seconds(30)));
  Duration now = seconds(30);
  std::uint64_t rejected = 0;
  for (RequestId id = 2; id < 200; ++id) {
    now += milliseconds(100);
    if (!scheduler.Offer(id, Rank::kUrgent, At(now + seconds(1)), At(now))) ++rejected;
    while (const auto next = scheduler.Next(At(now))) {
      scheduler.OnFinished(*next, milliseconds(50), At(now + milliseconds(50)));
    }
  }
  REQUIRE(rejected == 0);
}

// Guards against a wrong order within and between ranks.
TEST_CASE("order of dispatch", "[admission]") {
  const auto order = [](SchedulerKind kind, const PerRank<RankTargets>& ranks) {
    Scheduler scheduler = Make(kind, ranks);
    scheduler.SetCapacity(1, At({}));
    REQUIRE(scheduler.Offer(1, Rank::kBulk, {}, At({})));
    REQUIRE(scheduler.Offer(2, Rank::kUrgent, {}, At({})));
    REQUIRE(scheduler.Offer(3, Rank::kUrgent, At(milliseconds(500)), At({})));
    std::vector<RequestId> ids;
    for (int i = 0; i < 3; ++i) {
      ids.push_back(scheduler.Next(At({})).value());
      scheduler.Requeue(ids.back(), At({}));
      REQUIRE(scheduler.Next(At({})) == ids.back());
      scheduler.OnFinished(ids.back(), milliseconds(1), At({}));
    }
    return ids;
  };
  using Ids = std::vector<RequestId>;
  REQUIRE(order(SchedulerKind::kStrict, Ranks(0, 0, 0)) == Ids{2, 3, 1});
  REQUIRE(order(SchedulerKind::kDeadline, Ranks(0, 0, 0)) == Ids{3, 2, 1});
  REQUIRE(order(SchedulerKind::kStrict, Ranks(0, 0, 1)) == Ids{1, 2, 3});
  REQUIRE(order(SchedulerKind::kDeadline, Ranks(0, 0, 1)) == Ids{1, 3, 2});
}

// Guards against urgent requests that wait for long requests of other ranks, and against headroom
// that costs more than its share of the capacity.
TEST_CASE("a slot is held for urgent arrivals while other ranks run long requests", "[admission]") {
  Scheduler scheduler = Make(SchedulerKind::kStrict, Ranks(0.3, 0.3, 0));
  scheduler.SetCapacity(4, At({}));
  REQUIRE(scheduler.Offer(1, Rank::kUrgent, {}, At({})));
  REQUIRE(scheduler.Next(At({})) == 1);
  scheduler.OnFinished(1, milliseconds(10), At(milliseconds(10)));
  RequestId id = 100;
  for (int i = 0; i < 9; ++i) REQUIRE(scheduler.Offer(++id, Rank::kBulk, {}, At(seconds(1))));
  REQUIRE(scheduler.Offer(2, Rank::kUrgent, {}, At(seconds(1))));
  REQUIRE(scheduler.Next(At(seconds(1))) == 2);
  scheduler.OnFinished(2, milliseconds(10), At(milliseconds(1010)));
  for (int i = 0; i < 3; ++i) REQUIRE(scheduler.Next(At(milliseconds(1010))));
  REQUIRE_FALSE(scheduler.Next(At(milliseconds(1010))));
  REQUIRE(scheduler.Offer(3, Rank::kUrgent, {}, At(milliseconds(1020))));
  REQUIRE(scheduler.Next(At(milliseconds(1020))) == 3);
  scheduler.OnFinished(3, milliseconds(10), At(milliseconds(1030)));
  Duration held = milliseconds(1030);
  while (!scheduler.Next(At(held))) held += milliseconds(1);
  REQUIRE(held > milliseconds(1030));
  // At most the credit of one second, 4% of four slots, and what accrues meanwhile.
  REQUIRE(held < milliseconds(1030 + 191));
}

// Guards against floors that exceed the capacity, and other invalid targets.
TEST_CASE("invalid rank targets are rejected", "[admission]") {
  const auto code = [](const PerRank<RankTargets>& ranks) {
    return Scheduler::Create(Policy{}, ranks).error().code;
  };
  REQUIRE(code(Ranks(0.5, 0.5, 0.1)) == SchedulerErrorCode::kFloorSumAboveOne);
  REQUIRE(code(Ranks(-0.1, 0.5, 0.1)) == SchedulerErrorCode::kFloorOutOfRange);
  auto ranks = Ranks(0.1, 0.1, 0.1);
  ranks[1].worth = 0;
  REQUIRE(code(ranks) == SchedulerErrorCode::kBadWorth);
  ranks = Ranks(0.1, 0.1, 0.1);
  ranks[2].target = milliseconds(0);
  Scheduler scheduler = Make(SchedulerKind::kStrict, Ranks(0.1, 0.1, 0.1));
  REQUIRE(scheduler.Configure(Policy{}, ranks).error().code == SchedulerErrorCode::kBadTarget);
}

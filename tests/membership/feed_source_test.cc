#include "vanilladeck/membership/feed_source.h"

#include <catch2/catch.hpp>
#include <set>

#include "support/positions.h"
#include "vanilladeck/membership/store_follower.h"

namespace vanilladeck::membership {
namespace {

using store::testing::Rev;

using namespace std::chrono_literals;

core::TimePoint At(core::Duration since) { return core::TimePoint(100s) + since; }

std::vector<FeedPeer> Peers(int n) {
  std::vector<FeedPeer> peers;
  peers.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) peers.push_back({"edge-" + std::to_string(i), "127.0.0.1:1"});
  return peers;
}

// Guards against readers whose links cannot carry the changes of their region.
TEST_CASE("the instances with the fastest links are the readers") {
  auto peers = Peers(20);
  const std::set<std::string> fast{"edge-3", "edge-17"};
  for (FeedPeer& it : peers) it.link_mbps = fast.count(it.name) > 0 ? 200 : 10;
  for (const FeedPeer& it : peers) {
    FeedSource source(it.name);
    source.SetPeers(peers);
    const FeedPeer* reader = source.Choose(At(0s));
    CHECK((reader == nullptr) == (fast.count(it.name) > 0));
    if (reader == nullptr) continue;
    CHECK(fast.count(reader->name) > 0);
    // The second one is asked after a failure of the first.
    source.OnFailure(reader->name, At(0s));
    const FeedPeer* second = source.Choose(At(0s));
    REQUIRE(second != nullptr);
    CHECK(fast.count(second->name) > 0);
  }
}

// Guards against an instance that asks the same unusable ones for ever: once their back-off periods
// had expired, they came before all that it had not asked yet.
TEST_CASE("without the store an instance passes over any number of unusable ones") {
  const auto peers = Peers(20);
  const int unusable_count = GENERATE(4, 6, 8, 18);
  // Of a refused connection or a lagging instance, or of one that does not answer.
  const auto failure_time = GENERATE(0ms, 1000ms);
  CAPTURE(unusable_count, failure_time.count());
  std::set<std::string> unusable;
  FeedSource order("edge-0");
  for (int i = 0; i < unusable_count; ++i) {
    const FeedPeer* it = order.ChooseWithoutStore(peers);
    REQUIRE(unusable.insert(it->name).second);
    order.OnFailure(it->name, At(i * 1ms));
  }
  FeedSource source("edge-0");
  int queries = 0;
  while (queries < 120) {
    const FeedPeer* it = source.ChooseWithoutStore(peers);
    ++queries;
    if (unusable.count(it->name) == 0) break;
    source.OnFailure(it->name, At(queries * 1s) + failure_time);
  }
  CHECK(queries == unusable_count + 1);
  // The usable one is kept, and after its failure the others are asked in turn.
  const std::string usable = source.ChooseWithoutStore(peers)->name;
  CHECK(unusable.count(usable) == 0);
  std::set<std::string> asked;
  for (int i = 0; i < 19; ++i) {
    const FeedPeer* it = source.ChooseWithoutStore(peers);
    CHECK(asked.insert(it->name).second);
    source.OnFailure(it->name, At(130s + i * 1s));
  }
}

/// A follower whose calls are answered by a store without changes, or by `reader` if there is one.
struct IdleFollower {
  explicit IdleFollower(core::Duration poll_interval, core::Duration store_time,
                        const StoreFollower* reader = nullptr)
      : store_time(store_time),
        reader(reader),
        follower(Settings(poll_interval),
                 {[](const store::Item&) {}, [](const std::string&) {}, {}, {}}) {}

  static FollowerSettings Settings(core::Duration poll_interval) {
    FollowerSettings settings;
    settings.poll_interval = poll_interval;
    settings.check_prefix = "op/";
    return settings;
  }

  void Run(core::TimePoint now, bool tick) {
    if (call && now >= answered) {
      const bool more = !AsksReader();
      Answer(now);
      if (more) Send(now);
    }
    if (!tick) return;
    follower.Tick(now);
    if (!call) Send(now);
  }
  [[nodiscard]] bool AsksReader() const { return reader != nullptr && follower.CanAskPeer(*call); }
  void Send(core::TimePoint now) {
    call = follower.Next(now);
    if (!call) return;
    const auto* watch = std::get_if<store::WatchChanges>(&*call);
    answered = now + store_time + (watch != nullptr ? watch->wait : core::Duration(0));
    if (AsksReader()) answered = now + 5ms;
  }
  void Answer(core::TimePoint now) {
    const bool reads_range = std::holds_alternative<store::ReadRange>(*call);
    const bool asks_reader = AsksReader();
    call.reset();
    if (asks_reader) {
      PeerChanges changes;
      changes.position = Rev(10);
      changes.age = now - reader->last_success();
      follower.OnPeerChanges(changes, FeedSource::kPollInterval, now);
    } else if (reads_range) {
      follower.OnAnswer(
          store::VersionedResult(store::VersionedAnswer(store::RangePage{{}, false, Rev(10)})),
          now);
    } else {
      follower.OnAnswer(store::VersionedResult(store::VersionedAnswer(store::Changes{{}, Rev(10)})),
                        now);
    }
  }

  core::Duration store_time;
  const StoreFollower* reader;
  StoreFollower follower;
  std::optional<store::VersionedCall> call;
  core::TimePoint answered;
};

// Guards against instances that ask others all the time although their reader and the store answer:
// the time until the next poll of the reader counted as a missed answer of the store.
TEST_CASE("an instance with a sound reader needs no other instance") {
  const auto store_time = GENERATE(5ms, 120ms);
  const auto poll_interval = GENERATE(1000ms, 1600ms);
  CAPTURE(store_time.count(), poll_interval.count());
  FeedSource source("edge-none");
  source.SetPeers(Peers(20));
  REQUIRE(source.Choose(At(0s)) != nullptr);
  IdleFollower reader(poll_interval, store_time);
  IdleFollower other(poll_interval, store_time, &reader.follower);
  int overdue = 0;
  for (auto time = 0ms; time < 120s; time += 5ms) {
    const core::TimePoint now = At(time);
    const bool tick = time % 100ms == 0ms;
    reader.Run(now, tick);
    other.Run(now, tick);
    if (!tick || time < 5s) continue;
    const core::Duration age = now - other.follower.last_success();
    if (!source.IsOwnStateCurrent(age, poll_interval, now)) ++overdue;
  }
  CHECK(overdue == 0);
}

// Guards against an allowance for polls that delays the requests to others when it does not apply.
TEST_CASE("an instance asks others soon after its reader or the store has failed") {
  const core::Duration interval = 1s;
  const auto oldest = [&](const FeedSource& source, core::TimePoint now) {
    core::Duration age{0};
    while (source.IsOwnStateCurrent(age + 1ms, interval, now)) age += 1ms;
    return age;
  };
  FeedSource source("edge-none");
  CHECK(oldest(source, At(0s)) <= 1450ms);  // Reads the store itself.
  source.SetPeers(Peers(20));
  CHECK(oldest(source, At(0s)) <= 2250ms);
  CHECK(oldest(source, At(0s)) < FollowerSettings{}.outage_timeout);
  for (int i = 0; i < 2; ++i) source.OnFailure(source.Choose(At(0s))->name, At(0s));
  REQUIRE(source.Choose(At(1s)) == nullptr);
  CHECK(oldest(source, At(1s)) <= 1450ms);
}

}  // namespace
}  // namespace vanilladeck::membership

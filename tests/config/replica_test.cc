#include "vanilladeck/config/replica.h"

#include <catch2/catch.hpp>

#include "config/fake_store.h"
#include "config/sample_text.h"
#include "vanilladeck/config/publisher.h"

using namespace vanilladeck::config;
using vanilladeck::config::testing::FakeStore;
using vanilladeck::config::testing::SampleText;
using vanilladeck::config::testing::StoreFault;
namespace core = vanilladeck::core;
namespace store = vanilladeck::store;

namespace {

constexpr core::TimePoint kStart{std::chrono::hours(1)};

VersionChain ChainOf(int versions, const std::string& name = "small") {
  VersionChain chain;
  for (int i = 1; i <= versions; ++i) {
    const auto mark = "m" + std::to_string(i);
    REQUIRE(chain.Append(chain.MakeNext(SampleText(i, name), name, "op", i, mark)));
  }
  return chain;
}

std::vector<std::string> Encoded(const VersionChain& chain, std::uint64_t after = 0) {
  std::vector<std::string> records;
  for (const auto& record : chain.RecordsAfter(after)) records.push_back(Encode(*record));
  return records;
}

/// Reports the newest version of `chain` as a peer and replies to the fetch with `records`.
void ReportPeerVersion(Replica& replica, const VersionChain& chain,
                       const std::vector<std::string>& records, std::int64_t wall_ms = 1) {
  const auto actions =
      replica.OnPeerVersion("peer", chain.NewestVersion(), chain.NewestHash(), kStart, wall_ms);
  for (const auto& action : actions) {
    if (const auto* fetch = std::get_if<ReplicaPeerFetch>(&action)) {
      (void)replica.OnPeerRecords(fetch->id, records, kStart, wall_ms);
    }
  }
}

PublishOutcome Publish(FakeStore& store, const VersionChain& chain, PublishRequest request,
                       std::uint64_t highest_known = 0) {
  Publisher publisher(std::move(request), chain, 1);
  auto now = kStart;
  auto step = publisher.Begin(highest_known, now);
  while (!std::holds_alternative<PublishOutcome>(step)) {
    if (const auto* wait = std::get_if<PublishWait>(&step)) {
      now = wait->until;
      step = publisher.OnTimer(highest_known, now);
    } else {
      const auto result = store.Call(std::get<store::Request>(step), StoreFault::kNone);
      step = publisher.OnResult(result, highest_known, now);
    }
  }
  return std::get<PublishOutcome>(step);
}

}  // namespace

// Guards against an instance that serves nothing without reporting a reason.
TEST_CASE("replica starts empty and reports why nothing is served", "[config]") {
  Replica replica({}, kStart);
  const auto actions = replica.OnTick(kStart, 1);
  REQUIRE(actions.size() == 1);
  const auto& call = std::get<ReplicaStoreCall>(actions[0]);
  REQUIRE(std::holds_alternative<store::Get>(call.request));
  const store::StoreError down{store::StoreErrorCode::kUnavailable, ""};
  (void)replica.OnStoreResult(call.id, core::failure(down), kStart, 2);
  REQUIRE(replica.Version() == 0);
  REQUIRE(replica.Status(3).reason == "no configuration: store unavailable, no peer heard");
  REQUIRE(replica.NextTick() > kStart);
}

// Guards against adopting lower versions, forked histories or other deployments from peers.
TEST_CASE("replica follows the hash chain of its deployment only", "[config]") {
  Replica replica({"small", 1}, kStart);
  ReportPeerVersion(replica, ChainOf(3, "other"), Encoded(ChainOf(3, "other")));
  REQUIRE(replica.Version() == 0);
  REQUIRE(replica.Status(1).problem == "version 1 is of deployment \"other\"");
  const auto chain = ChainOf(5);
  ReportPeerVersion(replica, chain, Encoded(chain), 10);
  REQUIRE(replica.Version() == 5);
  ReportPeerVersion(replica, ChainOf(3), Encoded(ChainOf(3)));
  REQUIRE(replica.Version() == 5);
  REQUIRE(replica.Status(1).lagging.size() == 1);

  auto fork = ChainOf(4);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(fork.Append(fork.MakeNext(SampleText(77), "small", "other", 1, "f")));
  }
  ReportPeerVersion(replica, fork, Encoded(fork, 5));
  REQUIRE(replica.Version() == 5);
  REQUIRE(replica.Status(1).problem == "rejected version 6: broken-chain");

  const auto newer = ChainOf(8);
  ReportPeerVersion(replica, newer, Encoded(newer, 5), 30);
  REQUIRE(replica.Version() == 8);
  REQUIRE(replica.Status(40).problem.empty());
  REQUIRE(replica.Status(40).age_ms == 10);
  REQUIRE(replica.Intervals().size() == 2);
  REQUIRE(replica.Intervals()[0].to_ms == 30);
}

// Guards against an instance that cannot catch up because its peers dropped the records it needs.
TEST_CASE("instance catches up from the store after a long partition", "[config]") {
  FakeStore store;
  VersionChain peer(64);
  Replica replica({}, kStart);
  for (int i = 1; i <= 200; ++i) {
    const auto mark = "m" + std::to_string(i);
    auto outcome = Publish(store, peer, {SampleText(i), peer.NewestVersion(), "op", mark, i});
    peer = std::get<PublishAccepted>(outcome).chain;
    if (i == 5) ReportPeerVersion(replica, peer, Encoded(peer));
  }
  REQUIRE(replica.Version() == 5);
  REQUIRE(replica.NextTick() == core::TimePoint::max());  // Peers suffice: no store read.
  ReportPeerVersion(replica, peer, Encoded(peer, 5));
  REQUIRE(replica.Version() == 5);
  int calls = 0;
  while (replica.NextTick() != core::TimePoint::max()) {
    auto actions = replica.OnTick(replica.NextTick(), 9);
    while (!actions.empty() && std::holds_alternative<ReplicaStoreCall>(actions[0])) {
      const auto call = std::get<ReplicaStoreCall>(actions[0]);
      const auto result = store.Call(call.request, StoreFault::kNone);
      actions = replica.OnStoreResult(call.id, result, kStart, 9);
      ++calls;
    }
  }
  REQUIRE(replica.Version() == 200);
  REQUIRE(replica.Chain().NewestHash() == peer.NewestHash());
  REQUIRE(calls == 5);  // The head and four groups of 64 versions.
}

// Guards against a head without its record, which no new instance can load, after the store is
// restored between the writes of the two.
TEST_CASE("accepted record is read back and written again if it is missing", "[config]") {
  FakeStore store;
  const auto chain = ChainOf(1);
  Replica replica({}, kStart);
  (void)replica.OnChainRead(chain, kStart, 1);
  (void)replica.OnAccepted(chain, kStart, 1);
  REQUIRE(replica.Version() == 1);
  auto actions = replica.OnTick(replica.NextTick(), 2);
  while (!actions.empty()) {
    const auto call = std::get<ReplicaStoreCall>(actions[0]);
    actions =
        replica.OnStoreResult(call.id, store.Call(call.request, StoreFault::kNone), kStart, 2);
  }
  REQUIRE(replica.NextTick() == core::TimePoint::max());
  const auto stored =
      store.Call(store::List{RecordPrefix(chain.Newest()->head)}, StoreFault::kNone);
  const auto records = JoinParts(std::get<store::ListReply>(stored.value()).entries);
  REQUIRE(records == std::vector<VersionRecord>{*chain.Newest()});
}

// Guards against a conflict that does not report the author and content of the other change.
TEST_CASE("conflict reports the other change and retries succeed", "[config]") {
  FakeStore store;
  REQUIRE(std::holds_alternative<PublishAccepted>(
      Publish(store, VersionChain(), {SampleText(1), 0, "ada", "a", 5})));
  const auto accepted = Publish(store, VersionChain(), {SampleText(2), 1, "ben", "b", 6});
  REQUIRE(std::get<PublishAccepted>(accepted).head.version == 2);
  const auto rejected = Publish(store, VersionChain(), {SampleText(3), 1, "cleo", "c", 7});
  const auto& conflict = std::get<PublishConflict>(rejected);
  REQUIRE(conflict.changes.size() == 1);
  REQUIRE(conflict.changes[0].who == "ben");
  REQUIRE(conflict.changes[0].when_ms == 6);
  REQUIRE(conflict.difference == "@@ line 3\n-record_retention_s = 1\n+record_retention_s = 2\n");
  const auto retried = Publish(store, VersionChain(), {SampleText(2), 1, "ben", "b", 9});
  REQUIRE(std::get<PublishAccepted>(retried).already_accepted);
  REQUIRE(std::get<PublishAccepted>(retried).head.version == 2);
}

// Guards against reporting an accepted change as a conflict after it was dropped from the history.
TEST_CASE("retry of a change older than the kept history is found in the store", "[config]") {
  FakeStore store;
  VersionChain chain(64);
  for (int i = 1; i <= 200; ++i) {
    auto outcome = Publish(
        store, chain, {SampleText(i), chain.NewestVersion(), "op", "m" + std::to_string(i), i});
    chain = std::get<PublishAccepted>(outcome).chain;
  }
  REQUIRE(chain.OldestVersion() > 3);
  const auto outcome = Publish(store, chain, {SampleText(3), 2, "op", "m3", 999});
  REQUIRE(std::get<PublishAccepted>(outcome).head.version == 3);
}

// Guards against writing a change that must be refused.
TEST_CASE("publisher refuses invalid changes, other deployments and wrong base versions",
          "[config]") {
  FakeStore store;
  const auto reason = [&store](PublishRequest request, std::uint64_t highest_known = 0) {
    const auto outcome = Publish(store, VersionChain(), std::move(request), highest_known);
    return std::get<PublishRefused>(outcome).reason;
  };
  REQUIRE(reason({"x = 1", 0, "op", "m", 1}) == PublishRefusal::kInvalidText);
  REQUIRE(reason({SampleText(1), 0, "", "m", 1}) == PublishRefusal::kInvalidRequest);
  REQUIRE(reason({SampleText(1), 0, "op", "", 1}) == PublishRefusal::kInvalidRequest);
  REQUIRE(reason({SampleText(1), 4, "op", "m", 1}) == PublishRefusal::kUnknownBase);
  REQUIRE(reason({SampleText(1), 0, "op", "m", 1}, 3) == PublishRefusal::kStoreBehind);
  (void)Publish(store, VersionChain(), {SampleText(1), 0, "op", "m", 1});
  REQUIRE(reason({SampleText(1, "other"), 1, "op", "n", 1}) == PublishRefusal::kOtherDeployment);
  REQUIRE(reason({SampleText(2), 1, "op", "m", 1}) == PublishRefusal::kMarkReused);
  store.is_down = true;
  REQUIRE(reason({SampleText(2), 1, "op", "o", 1}) == PublishRefusal::kStoreUnavailable);
}

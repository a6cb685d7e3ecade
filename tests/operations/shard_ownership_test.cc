#include "vanilladeck/operations/shard_ownership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "support/fake_store.h"

namespace vanilladeck::testing {
namespace {

using namespace vanilladeck::operations;

/// Instances that compete for shards; counts reads and writes of the store.
struct Fleet {
  explicit Fleet(std::uint64_t seed) : timeline(seed), store(timeline) {}

  std::size_t Add(const std::string& shard, std::uint32_t position) {
    const core::InstanceId id{"10.0.0." + std::to_string(members.size()) + ":7000",
                              members.size() + 1};
    members.push_back(std::make_unique<ShardOwnership>(OwnershipOptions{shard, id}, Clock()));
    members.back()->SetPosition(position);
    Schedule(members.size() - 1);
    return members.size() - 1;
  }
  [[nodiscard]] Now Clock() const { return {timeline.now(), timeline.WallMs()}; }
  void Schedule(std::size_t index) {
    timeline.After(Ms(5), [this, index] {
      if (members[index] == nullptr) return;
      members[index]->Tick(0, Clock());
      ProcessOutputs(index);
      Schedule(index);
    });
  }
  void ProcessOutputs(std::size_t index) {
    for (auto& output : members[index]->TakeOutputs()) {
      const auto* call = std::get_if<store::Call>(&output);
      if (call == nullptr) continue;
      const bool write = std::holds_alternative<store::CompareAndSwap>(call->request);
      ++(write ? writes : reads);
      store.Call(call->request, [this, index, id = call->id](const store::StoreResult& result) {
        if (members[index] == nullptr) return;
        members[index]->OnStoreResult(id, result, Clock());
        ProcessOutputs(index);
      });
    }
  }
  void Run(int ms) { timeline.RunUntil(timeline.now() + Ms(ms)); }
  [[nodiscard]] bool Owns(std::size_t index) const { return members[index]->Owns(timeline.now()); }

  Timeline timeline;
  FakeStore store;
  std::vector<std::unique_ptr<ShardOwnership>> members;
  int reads = 0;
  int writes = 0;
};

}  // namespace

// Guards against a takeover from a live owner, and against a shard that stays without an owner
// after its owner has failed.
TEST_CASE("lease passes to a peer only after a full lease without change", "[operations]") {
  Fleet fleet(GENERATE(1, 2, 3));
  const auto owner = fleet.Add("a", 0);
  fleet.Run(2'000);
  const auto peer = fleet.Add("a", 1);
  fleet.Run(10'000);
  REQUIRE(fleet.Owns(owner));
  REQUIRE_FALSE(fleet.Owns(peer));
  fleet.members[owner].reset();
  fleet.Run(1'500);
  REQUIRE_FALSE(fleet.Owns(peer));
  fleet.Run(8'000);
  REQUIRE(fleet.Owns(peer));
}

// Guards against a shutdown that leaves the shard without an owner for a whole lease.
TEST_CASE("released lease is acquired at once", "[operations]") {
  Fleet fleet(4);
  const auto owner = fleet.Add("a", 0);
  fleet.Run(2'000);
  const auto peer = fleet.Add("a", 0);
  fleet.Run(5'000);
  // Released during a renewal: the outstanding call completes first.
  fleet.store.lost_percent = GENERATE(0, 40);
  for (int writes = fleet.writes; writes == fleet.writes;) fleet.Run(1);
  fleet.members[owner]->Release(fleet.Clock());
  REQUIRE_FALSE(fleet.Owns(owner));
  for (int ms = 0; ms < 10'000 && !fleet.members[owner]->release_done(); ++ms) fleet.Run(1);
  REQUIRE(fleet.members[owner]->release_done());
  REQUIRE(fleet.members[owner]->observed_record()->released);
  fleet.store.lost_percent = 0;
  fleet.Run(1'600);
  REQUIRE(fleet.Owns(peer));
}

// Guards against a burst of writes after a store outage, when the owners of all 111 shards of a
// large deployment notice its end at the same time, and against polling that grows with the
// domain.
TEST_CASE("owners of all shards stay within the store's rate limits", "[operations]") {
  constexpr int kShards = 111;
  constexpr int kPeers = 32;
  Fleet fleet(5);
  for (int shard = 0; shard < kShards; ++shard) fleet.Add(std::to_string(shard), 0);
  fleet.Run(5'000);
  for (int peer = 1; peer < kPeers; ++peer) fleet.Add("0", static_cast<std::uint32_t>(peer));
  fleet.Run(20'000);
  fleet.reads = 0;
  fleet.Run(10'000);
  REQUIRE(fleet.reads <= 10 * (2 * kShards + 6));
  fleet.store.down = true;
  fleet.Run(20'000);
  fleet.store.down = false;
  int most = 0;
  for (int second = 0; second < 5; ++second) {
    fleet.writes = 0;
    fleet.Run(1'000);
    most = std::max(most, fleet.writes);
  }
  CAPTURE(most);
  REQUIRE(most <= 300);
  const auto owned = std::count_if(fleet.members.begin(), fleet.members.end(),
                                   [&](const auto& it) { return it->Owns(fleet.timeline.now()); });
  REQUIRE(owned == kShards);
}

}  // namespace vanilladeck::testing

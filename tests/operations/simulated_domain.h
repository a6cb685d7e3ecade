#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/fake_store.h"
#include "vanilladeck/operations/shard.h"
#include "vanilladeck/operations/shard_ownership.h"

namespace vanilladeck::testing {

using namespace vanilladeck::operations;

enum class FaultKind {
  kKill,
  kPause,
  kStoreDown,
  kStoreSlow,
  kStoreLossy,
  kLoseReplies,
  kFaultKinds
};

struct Fault {
  FaultKind kind = FaultKind::kKill;
  std::size_t node = 0;
  int at_ms = 0;
  int for_ms = 0;
};

/// Deliberate bugs in the code under test; `CheckInvariants` must report each of them.
enum class Variant { kCorrect, kGrantBeforeDurable, kBlindRepeatAtNextSeq };

/// What the backend servers and the clients observed of one key.
struct KeyHistory {
  int runs = 0;
  bool confirmed = false;
  bool may_have_run = false;  ///< At least one reply did not guarantee that nothing ran.
  std::string answer;
};

/// Simulates the instances of one failure domain. Each is an entry instance and may own the shard.
class SimulatedDomain {
 public:
  /// Without `leases`, no owner is told that its lease has ended: only the log fences it.
  SimulatedDomain(std::uint64_t seed, std::size_t nodes, Variant variant, bool leases = true);
  ~SimulatedDomain();
  SimulatedDomain(const SimulatedDomain&) = delete;
  SimulatedDomain& operator=(const SimulatedDomain&) = delete;

  void Inject(const std::vector<Fault>& faults);
  void StartClients(int keys, int requests, int until_ms);
  void Run(int ms) { timeline_.RunUntil(timeline_.now() + Ms(ms)); }
  /// Runs for 40 s, in which all faults end, and describes the first violated invariant; empty if
  /// none.
  [[nodiscard]] std::string CheckInvariants();

  [[nodiscard]] const std::map<std::string, KeyHistory>& history() const { return history_; }
  [[nodiscard]] FakeStore& store() { return store_; }
  [[nodiscard]] Timeline& timeline() { return timeline_; }

 private:
  struct Node;
  /// One request of a client at an entry instance.
  struct Attempt {
    std::string key;
    std::size_t entry = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t claim_id = 0;
    int sends = 0;
    bool done = false;
    std::optional<ClaimReply> probe;  ///< Reply to the final check, which runs nothing.
    bool probing = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void StartNode(std::size_t index);
  void KillNode(std::size_t index);
  void ProcessNode(std::size_t index);
  void OnShardOutput(std::size_t index, ShardOutput output);
  void OnOwnershipOutput(std::size_t index, OwnershipOutput output);
  void CallStore(std::size_t index, bool from_shard, const store::Call& call);
  void CallStoreWithBug(std::size_t index, store::CompareAndSwap swap, const FakeStore::Done& done);
  void RepeatAtNextSeq(std::size_t index, store::CompareAndSwap swap, const FakeStore::Done& done);
  [[nodiscard]] std::string CheckRuns(const std::string& key) const;
  [[nodiscard]] std::string CheckReply(const std::string& key, const ClaimReply& reply) const;
  /// Runs `event` on the process `incarnation` after `delay` and any pause, if it is still running.
  void RunOnNode(std::size_t index, std::uint64_t incarnation, core::Duration delay,
                 std::function<void()> event);
  [[nodiscard]] std::size_t PickLikelyOwner();
  [[nodiscard]] Now Clock() const { return {timeline_.now(), timeline_.WallMs()}; }

  AttemptPtr Request(const std::string& key, bool probing);
  void SendClaim(const AttemptPtr& attempt);
  void OnClaimReply(const AttemptPtr& attempt, const ClaimReply& reply);
  void RunAtBackend(const AttemptPtr& attempt, std::uint64_t number);
  void SendComplete(const AttemptPtr& attempt, const CompleteRequest& request, int tries);
  void AbandonClaim(const AttemptPtr& attempt);
  void ReleaseClaim(const AttemptPtr& attempt);
  [[nodiscard]] core::InstanceId HolderOf(const Attempt& attempt) const;

  Timeline timeline_;
  FakeStore store_;
  Variant variant_;
  bool leases_;
  int lost_reply_percent_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::string> keys_;
  std::map<std::string, KeyHistory> history_;
  std::uint64_t next_id_ = 1;
  bool leases_overlapped_ = false;
};

/// Name of the alternative that `reply` holds, for messages.
[[nodiscard]] std::string ReplyName(const ClaimReply& reply);

}  // namespace vanilladeck::testing

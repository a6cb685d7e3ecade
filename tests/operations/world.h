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

/// Deliberate faults of the code under test; each must be reported by the judge.
enum class Variant { kCorrect, kGrantBeforeDurable, kBlindRepeatAtNextSeq };

/// What the backend servers saw and what clients were told, by key.
struct KeyHistory {
  int runs = 0;
  bool confirmed = false;
  bool may_have_run = false;  ///< Some request was answered otherwise than not-run.
  std::string answer;
};

/// Several instances of one failure domain, each an entry instance and a possible owner.
class World {
 public:
  /// With `leases` off, no owner is told that its lease ended: the log alone has to fence.
  World(std::uint64_t seed, std::size_t nodes, Variant variant, bool leases = true);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void Inject(const std::vector<Fault>& faults);
  void StartClients(int keys, int requests, int until_ms);
  void Run(int ms) { timeline_.RunUntil(timeline_.now() + Ms(ms)); }
  /// Ends all faults, lets the instances settle, and reports the first broken property.
  [[nodiscard]] std::string Judge();

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
    std::optional<ClaimReply> probe;  ///< Reply of the final check; nothing is run.
    bool probing = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void Boot(std::size_t index);
  void Kill(std::size_t index);
  void Pump(std::size_t index);
  void OnShardOutput(std::size_t index, ShardOutput output);
  void OnOwnershipOutput(std::size_t index, OwnershipOutput output);
  void CallStore(std::size_t index, bool of_shard, const store::Call& call);
  void CallStoreBroken(std::size_t index, store::CompareAndSwap swap, const FakeStore::Done& done);
  void RepeatAtNextSeq(std::size_t index, store::CompareAndSwap swap, const FakeStore::Done& done);
  [[nodiscard]] std::string JudgeRuns(const std::string& key) const;
  [[nodiscard]] std::string JudgeReply(const std::string& key, const ClaimReply& reply) const;
  /// Runs `event` on the process `incarnation` once it is not paused, if it still lives.
  void On(std::size_t index, std::uint64_t incarnation, core::Duration delay,
          std::function<void()> event);
  [[nodiscard]] std::size_t GuessOwner();
  [[nodiscard]] Now Clock() const { return {timeline_.now(), timeline_.WallMs()}; }

  AttemptPtr Request(const std::string& key, bool probing);
  void SendClaim(const AttemptPtr& attempt);
  void OnClaimReply(const AttemptPtr& attempt, const ClaimReply& reply);
  void RunAtBackend(const AttemptPtr& attempt, std::uint64_t number);
  void SendComplete(const AttemptPtr& attempt, const CompleteRequest& request, int tries);
  void GiveUp(const AttemptPtr& attempt);
  void ReleaseClaim(const AttemptPtr& attempt);
  [[nodiscard]] core::InstanceId IdOf(const Attempt& attempt) const;

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

/// Reply to a claim as the name of its alternative, for messages.
[[nodiscard]] std::string NameOf(const ClaimReply& reply);

}  // namespace vanilladeck::testing

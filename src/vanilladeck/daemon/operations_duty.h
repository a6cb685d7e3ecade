#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/daemon/peer_calls.h"
#include "vanilladeck/daemon/store_gateway.h"
#include "vanilladeck/membership/view.h"
#include "vanilladeck/operations/claim.h"
#include "vanilladeck/operations/shard.h"
#include "vanilladeck/operations/shard_ownership.h"

namespace vanilladeck::daemon {

/// Owns the failure domain's shard of operation records when its turn has come, and brings claims
/// and completions of this instance to the owner that their key names.
class OperationsDuty {
 public:
  using ClaimDone = std::function<void(operations::ClaimReply)>;
  using CompleteDone = std::function<void(operations::CompleteReply)>;

  struct Options {
    std::string shard;  ///< Name of the own failure domain.
    core::InstanceId self;
    std::string salt;
    std::chrono::milliseconds retention{0};
  };

  /// `on_ready` runs when this instance has become the owner and serves claims.
  OperationsDuty(Options options, StoreGateway& store, PeerCalls& peers,
                 const membership::View& view, std::function<void()> on_ready);

  /// Call about every 10 ms; batches of claims are due within that time.
  void Tick();
  /// Call about every second: finds this instance's turn among the live ones.
  void Refresh();

  /// Asks the shard's owner for the right to run an operation. When the owner's answer is lost, the
  /// claim is released and the reply is `Unavailable`: this instance will not run the operation.
  /// While the shard has no owner the claim waits for up to `kClaimWait`.
  void Claim(operations::ClaimRequest request, const ClaimDone& done);

  /// Reports the end of an attempt; repeated until it is durable or `kCompleteLimit` has passed.
  void Complete(const operations::CompleteRequest& request, const CompleteDone& done);

  /// The same for requests that arrive from peers; only the own shard is served.
  void ServeClaim(const operations::ClaimRequest& request, ClaimDone done);
  void ServeComplete(const operations::CompleteRequest& request, CompleteDone done);

  void OnInstanceGone(const core::InstanceId& instance);
  /// A peer of the failure domain shuts down: the shard is taken over without waiting for a poll.
  void OnPeerLeaving(const core::InstanceId& peer) { leaving_peer_ = peer; }

  /// Writes what is pending and gives the shard up.
  void Resign();
  [[nodiscard]] bool resigned() const;

  /// Shards that this instance owns, for its heartbeats.
  [[nodiscard]] std::vector<std::string> OwnedShards() const;

  static constexpr core::Duration kClaimTimeout = std::chrono::milliseconds(1500);
  /// Longer than a planned change of the owner takes.
  static constexpr core::Duration kClaimWait = std::chrono::milliseconds(1500);
  static constexpr core::Duration kCompleteTimeout = std::chrono::milliseconds(1500);
  static constexpr core::Duration kCompleteLimit = std::chrono::seconds(5);
  /// A claim whose answer was lost is released within this time, or it reads unknown.
  static constexpr core::Duration kReleaseLimit = std::chrono::seconds(30);

 private:
  void TryClaim(const operations::ClaimRequest& request, core::TimePoint give_up,
                const ClaimDone& done);
  void OnClaimRefused(const operations::ClaimRequest& request, core::TimePoint give_up,
                      const ClaimDone& done, const operations::Unavailable& refusal);
  void RunRetries(core::TimePoint now);
  [[nodiscard]] std::string FindOwner(const std::string& shard) const;
  [[nodiscard]] std::uint32_t Position() const;
  void ReleaseLost(const operations::ClaimRequest& request);
  void TryComplete(const operations::CompleteRequest& request, core::TimePoint give_up,
                   const CompleteDone& done);
  void RetryComplete(const operations::CompleteRequest& request, core::TimePoint give_up,
                     const CompleteDone& done);
  void PumpOwnership();
  void PumpShard();
  void Execute(operations::OwnershipOutput output);
  void Execute(operations::ShardOutput output);

  struct Retry {
    core::TimePoint due;
    std::function<void()> run;
  };

  Options options_;
  StoreGateway& store_;
  PeerCalls& peers_;
  const membership::View& view_;
  operations::ShardOwnership ownership_;
  operations::Shard shard_;
  std::function<void()> on_ready_;
  std::optional<core::InstanceId> leaving_peer_;
  core::TimePoint next_poll_;
  bool resigning_ = false;
  bool taking_over_ = false;
  std::uint64_t known_seq_ = 0;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_claim_ = 1;
  std::unordered_map<std::uint64_t, ClaimDone> claims_;
  std::unordered_map<std::uint64_t, CompleteDone> completions_;
  std::vector<Retry> retries_;
};

}  // namespace vanilladeck::daemon

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

/// Owns the failure domain's shard of operation records while this instance holds its lease, and
/// routes this instance's claims and completions to the owner of the shard in their key.
class OperationsManager {
 public:
  using ClaimCallback = std::function<void(operations::ClaimReply)>;
  using CompleteCallback = std::function<void(operations::CompleteReply)>;

  struct Options {
    std::string shard;  ///< Name of this instance's failure domain.
    core::InstanceId self;
    std::string salt;
    std::chrono::milliseconds retention{0};
  };

  /// `on_ready` is called when this instance has become the owner and serves claims.
  OperationsManager(Options options, StoreGateway& store, PeerCalls& peers,
                    const membership::View& view, std::function<void()> on_ready);

  /// Call about every 10 ms; batches of claims are due within that time.
  void Tick();
  /// Call about every second: updates this instance's rank among the live candidates for ownership.
  void UpdateOwnershipRank();

  /// Claims an operation from the shard's owner before it is run. When the owner's reply is lost,
  /// the claim is released and the result is `Unavailable`: this instance will not run the
  /// operation. While the shard has no owner, the claim is retried for up to `kClaimWait`.
  void Claim(operations::ClaimRequest request, const ClaimCallback& done);

  /// Reports the outcome of an attempt; retried until it is durable or `kCompleteLimit` has passed.
  void Complete(const operations::CompleteRequest& request, const CompleteCallback& done);

  /// The same for requests from peers; only this failure domain's shard is served.
  void ServeClaim(const operations::ClaimRequest& request, ClaimCallback done);
  void ServeComplete(const operations::CompleteRequest& request, CompleteCallback done);

  void OnInstanceGone(const core::InstanceId& instance);
  /// A peer of the failure domain is shutting down: polls for its shard at once instead of at the
  /// next regular poll.
  void OnPeerLeaving(const core::InstanceId& peer) { leaving_peer_ = peer; }

  /// Writes pending entries and releases the shard.
  void Resign();
  [[nodiscard]] bool resigned() const;

  /// Shards that this instance owns, as announced in its heartbeats.
  [[nodiscard]] std::vector<std::string> OwnedShards() const;

  static constexpr core::Duration kClaimTimeout = std::chrono::milliseconds(1500);
  /// Longer than a planned handover of the shard takes.
  static constexpr core::Duration kClaimWait = std::chrono::milliseconds(1500);
  static constexpr core::Duration kCompleteTimeout = std::chrono::milliseconds(1500);
  static constexpr core::Duration kCompleteLimit = std::chrono::seconds(5);
  /// Time to release a claim whose reply was lost; after it the operation's outcome is unknown.
  static constexpr core::Duration kReleaseLimit = std::chrono::seconds(30);

 private:
  void TryClaim(const operations::ClaimRequest& request, core::TimePoint deadline,
                const ClaimCallback& done);
  void RetryClaim(const operations::ClaimRequest& request, core::TimePoint deadline,
                  const ClaimCallback& done, const operations::Unavailable& refusal);
  void RunDueRetries(core::TimePoint now);
  [[nodiscard]] std::string FindOwner(const std::string& shard) const;
  [[nodiscard]] std::uint32_t OwnershipRank() const;
  void ReleaseLostClaim(const operations::ClaimRequest& request);
  void TryComplete(const operations::CompleteRequest& request, core::TimePoint deadline,
                   const CompleteCallback& done);
  void RetryComplete(const operations::CompleteRequest& request, core::TimePoint deadline,
                     const CompleteCallback& done);
  void ProcessOwnershipOutputs();
  void ProcessShardOutputs();
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
  std::unordered_map<std::uint64_t, ClaimCallback> claims_;
  std::unordered_map<std::uint64_t, CompleteCallback> completions_;
  std::vector<Retry> retries_;
};

}  // namespace vanilladeck::daemon

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/config/chain_reader.h"
#include "vanilladeck/config/deployment.h"
#include "vanilladeck/config/replica_status.h"
#include "vanilladeck/config/retry_backoff.h"
#include "vanilladeck/config/version_chain.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::config {

/// Perform the call and pass its result to `Replica::OnStoreResult` with `id`.
struct ReplicaStoreCall {
  std::uint64_t id = 0;
  store::Request request;
};

/// Fetch the records after `after_version` from `peer` and pass them to `Replica::OnPeerRecords`.
struct ReplicaPeerFetch {
  std::uint64_t id = 0;
  std::string peer;
  std::uint64_t after_version = 0;
};

/// A new version is in force: serve it and announce it to the peers.
struct ReplicaInForce {
  std::uint64_t version = 0;
  std::shared_ptr<const Deployment> deployment;
};

using ReplicaAction = std::variant<ReplicaStoreCall, ReplicaPeerFetch, ReplicaInForce>;
using ReplicaActions = std::vector<ReplicaAction>;

/// The replicated configuration of one instance. The version in force only increases, and every
/// version must continue the hash chain.
///
/// State machine without I/O. Readers of a failure domain hold a blocking read on the head. The
/// other instances get versions from peers and read the store only while they have no version or
/// cannot append the records of a peer. If the head in the store is older than the newest local
/// version, the missing versions are written back.
class Replica {
 public:
  struct Options {
    std::string deployment;  ///< Only this deployment is accepted; if empty, the first one seen.
    std::uint64_t seed = 0;  ///< For the jitter of reads after an outage.
  };

  Replica(Options options, core::TimePoint now);

  /// Whether this instance is one of its failure domain's readers, see `ChooseReaders`.
  [[nodiscard]] ReplicaActions SetReader(bool reader, core::TimePoint now);
  /// Call at `NextTick`.
  [[nodiscard]] ReplicaActions OnTick(core::TimePoint now, std::int64_t wall_ms);
  [[nodiscard]] core::TimePoint NextTick() const noexcept;

  [[nodiscard]] ReplicaActions OnStoreResult(std::uint64_t id, const store::StoreResult& result,
                                             core::TimePoint now, std::int64_t wall_ms);
  /// A heartbeat of `peer` reported this version.
  [[nodiscard]] ReplicaActions OnPeerVersion(const std::string& peer, std::uint64_t version,
                                             const std::string& hash, core::TimePoint now,
                                             std::int64_t wall_ms);
  /// Encoded records from `EncodedRecordsAfter` of the peer; empty if the fetch failed.
  [[nodiscard]] ReplicaActions OnPeerRecords(std::uint64_t id,
                                             const std::vector<std::string>& records,
                                             core::TimePoint now, std::int64_t wall_ms);
  /// The local publisher's change was accepted; `chain` ends with it.
  [[nodiscard]] ReplicaActions OnAccepted(const VersionChain& chain, core::TimePoint now,
                                          std::int64_t wall_ms);
  /// Versions that the local publisher read from the store.
  [[nodiscard]] ReplicaActions OnChainRead(const VersionChain& chain, core::TimePoint now,
                                           std::int64_t wall_ms);
  /// The local publisher gave up without knowing whether `record` is accepted. If the head refers
  /// to it later and the store lost its parts, only this instance can supply them.
  [[nodiscard]] ReplicaActions OnUnknownOutcome(const VersionRecord& record, core::TimePoint now);
  /// A peer left; its version is ignored from now on.
  void ForgetPeer(const std::string& peer);

  /// Encoded records for a peer at `version`: about `kMaxTransferBytes` at most, but at least one
  /// record if there is a newer one.
  [[nodiscard]] std::vector<std::string> EncodedRecordsAfter(std::uint64_t version) const;

  [[nodiscard]] const VersionChain& Chain() const noexcept { return chain_; }
  [[nodiscard]] std::uint64_t Version() const noexcept { return in_force_version_; }
  [[nodiscard]] std::shared_ptr<const Deployment> InForce() const noexcept { return deployment_; }
  /// Newest version known to this instance or a peer; a publisher must not build on a lower head.
  [[nodiscard]] std::uint64_t HighestKnown() const noexcept;
  [[nodiscard]] const std::deque<InForceInterval>& Intervals() const noexcept { return intervals_; }
  [[nodiscard]] ReplicaStatus Status(std::int64_t wall_ms) const;

  /// Also bounds the time until a store that lost versions is detected. 222 readers make 11
  /// calls/s.
  static constexpr std::chrono::milliseconds kWatchWait = std::chrono::seconds(20);
  static constexpr core::Duration kFetchTimeout = std::chrono::seconds(2);
  /// Write-back to a restored store starts after a random delay up to this value, so that usually
  /// only one of the readers does it.
  static constexpr core::Duration kRestoreJitter = std::chrono::seconds(2);
  static constexpr std::size_t kMaxIntervals = 4096;
  static constexpr std::size_t kMaxTransferBytes = 8'000'000;

 private:
  enum class Activity : std::uint8_t {
    kIdle,
    kWatching,
    kReadingHead,
    kReadingRecords,
    kRestoring,
    kVerifying,
  };
  struct Fetch {
    std::uint64_t id = 0;
    std::string peer;
    core::TimePoint deadline;
  };
  struct Timestamps {
    core::TimePoint now;
    std::int64_t wall_ms;
  };

  [[nodiscard]] bool ShouldWatch() const noexcept { return reader_ || !unknown_outcomes_.empty(); }
  [[nodiscard]] bool ShouldReadStore() const noexcept {
    return ShouldWatch() || store_read_needed_ || !unverified_.empty() || chain_.IsEmpty();
  }
  /// Returns true if the chain held a newer version.
  bool AdoptChain(const VersionChain& chain, Timestamps at);
  [[nodiscard]] bool AdoptUnknownOutcome(ReplicaActions& out, Timestamps at);
  void StartStoreCall(ReplicaActions& out, Activity activity, store::Request request);
  void Schedule(core::TimePoint when) noexcept;
  void OnHead(ReplicaActions& out, const store::GetReply& reply, Timestamps at);
  void OnLowerHead(ReplicaActions& out, const std::optional<Head>& head, std::uint64_t index,
                   Timestamps at);
  void StartRestore(ReplicaActions& out, const std::optional<Head>& head, std::uint64_t index,
                    Timestamps at);
  void ContinueRestore(ReplicaActions& out, Timestamps at);
  void OnVerified(ReplicaActions& out, const store::ListReply& reply, Timestamps at);
  void OnRecords(ReplicaActions& out, const store::ListReply& reply, Timestamps at);
  void FetchFromPeers(ReplicaActions& out, Timestamps at);
  bool Adopt(VersionRecord record, Timestamps at);
  void Activate(ReplicaActions& out, Timestamps at);
  void Confirm(Timestamps at) noexcept;

  Options options_;
  RetryBackoff backoff_;
  std::mt19937_64 random_;
  VersionChain chain_;
  std::uint64_t in_force_version_ = 0;
  std::shared_ptr<const Deployment> deployment_;
  std::deque<InForceInterval> intervals_;
  std::map<std::string, PeerVersion> peers_;
  std::string problem_;
  std::string store_problem_ = "not read yet";
  std::int64_t confirmed_ms_ = 0;

  bool reader_ = false;
  bool store_read_needed_ = false;  ///< The records of a peer could not be appended to the chain.
  Activity activity_ = Activity::kIdle;
  std::uint64_t call_id_ = 0;  ///< Of the outstanding store call.
  std::uint64_t next_id_ = 1;
  core::TimePoint next_call_;
  std::uint64_t watch_index_ = 0;
  std::optional<ChainReader> chain_reader_;
  /// Versions of the local publisher to read back: if the store is restored between the writes of
  /// the parts and of the head, it holds the head only.
  std::deque<std::uint64_t> unverified_;
  bool restore_confirmed_ =
      false;  ///< If the next read shows a lower head too, the restore starts.
  std::vector<store::CompareAndSwap> restore_writes_;
  std::size_t next_restore_write_ = 0;
  std::optional<Fetch> fetch_;
  std::map<std::string, VersionRecord>
      unknown_outcomes_;  ///< By hash; only versions above the chain.
};

}  // namespace vanilladeck::config

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
#include "vanilladeck/config/retry_spread.h"
#include "vanilladeck/config/version_chain.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::config {

/// Perform the call and feed its result to `Replica::OnStoreResult` with `id`.
struct ReplicaStoreCall {
  std::uint64_t id = 0;
  store::Request request;
};

/// Ask `peer` for its records after `after_version`; answer with `Replica::OnPeerRecords`.
struct ReplicaPeerFetch {
  std::uint64_t id = 0;
  std::string peer;
  std::uint64_t after_version = 0;
};

/// Another version came into force: serve it and tell the peers.
struct ReplicaInForce {
  std::uint64_t version = 0;
  std::shared_ptr<const Deployment> deployment;
};

using ReplicaAction = std::variant<ReplicaStoreCall, ReplicaPeerFetch, ReplicaInForce>;
using ReplicaActions = std::vector<ReplicaAction>;

/// The version in force at one instance. It moves to higher versions only and only along the hash
/// chain.
///
/// State machine without I/O. Readers of a failure domain hold a blocking read on the head; the
/// other instances learn of versions from peers and read the store only while they have no version
/// or cannot link what a peer offers. When the store shows an older head than the newest version
/// here, the missing versions are written back.
class Replica {
 public:
  struct Options {
    std::string deployment;  ///< Only this deployment is accepted; empty: the first one seen.
    std::uint64_t seed = 0;  ///< Spreads reads after an outage.
  };

  Replica(Options options, core::TimePoint now);

  /// Whether this instance is one of its failure domain's readers, see `ChooseReaders`.
  [[nodiscard]] ReplicaActions SetReader(bool reader, core::TimePoint now);
  /// Call at `NextTick`.
  [[nodiscard]] ReplicaActions OnTick(core::TimePoint now, std::int64_t wall_ms);
  [[nodiscard]] core::TimePoint NextTick() const noexcept;

  [[nodiscard]] ReplicaActions OnStoreResult(std::uint64_t id, const store::StoreResult& result,
                                             core::TimePoint now, std::int64_t wall_ms);
  /// A heartbeat of `peer` carried this version.
  [[nodiscard]] ReplicaActions OnPeerVersion(const std::string& peer, std::uint64_t version,
                                             const std::string& hash, core::TimePoint now,
                                             std::int64_t wall_ms);
  /// Encoded records as `EncodedRecordsAfter` of the peer gave them; empty: the fetch failed.
  [[nodiscard]] ReplicaActions OnPeerRecords(std::uint64_t id,
                                             const std::vector<std::string>& records,
                                             core::TimePoint now, std::int64_t wall_ms);
  /// Versions that the local publisher got accepted.
  [[nodiscard]] ReplicaActions OnAccepted(const VersionChain& chain, core::TimePoint now,
                                          std::int64_t wall_ms);
  /// Versions that the local publisher read from the store.
  [[nodiscard]] ReplicaActions OnChainRead(const VersionChain& chain, core::TimePoint now,
                                           std::int64_t wall_ms);
  /// The local publisher gave up without knowing whether `record` is accepted. Should the head come
  /// to name it while the store lost its parts, this instance is the only one that has them.
  [[nodiscard]] ReplicaActions OnUnknownOutcome(const VersionRecord& record, core::TimePoint now);
  /// A peer left; its version no longer counts.
  void ForgetPeer(const std::string& peer);

  /// Records for a peer that has `version`, at most about `kMaxTransferBytes` but at least one.
  [[nodiscard]] std::vector<std::string> EncodedRecordsAfter(std::uint64_t version) const;

  [[nodiscard]] const VersionChain& Chain() const noexcept { return chain_; }
  [[nodiscard]] std::uint64_t Version() const noexcept { return in_force_version_; }
  [[nodiscard]] std::shared_ptr<const Deployment> InForce() const noexcept { return deployment_; }
  /// Newest version known here or at a peer; a publisher must not build on a lower head.
  [[nodiscard]] std::uint64_t HighestKnown() const noexcept;
  [[nodiscard]] const std::deque<InForceInterval>& Intervals() const noexcept { return intervals_; }
  [[nodiscard]] ReplicaStatus Status(std::int64_t wall_ms) const;

  /// Also bounds how long a store that lost versions goes unnoticed; 222 readers make 11 calls/s.
  static constexpr std::chrono::milliseconds kWatchWait = std::chrono::seconds(20);
  static constexpr core::Duration kFetchTimeout = std::chrono::seconds(2);
  /// Writing back a restored store starts after a random part of this time, so that usually one of
  /// the readers does it.
  static constexpr core::Duration kRestoreSpread = std::chrono::seconds(2);
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
  struct Moment {
    core::TimePoint now;
    std::int64_t wall_ms;
  };

  [[nodiscard]] bool Watches() const noexcept { return reader_ || !unsettled_.empty(); }
  [[nodiscard]] bool ReadsStore() const noexcept {
    return Watches() || need_store_ || !verify_.empty() || chain_.IsEmpty();
  }
  /// True when a version was new here.
  bool AdoptChain(const VersionChain& chain, Moment at);
  [[nodiscard]] bool AdoptUnsettled(ReplicaActions& out, Moment at);
  void Emit(ReplicaActions& out, Activity activity, store::Request request);
  void Schedule(core::TimePoint when) noexcept;
  void OnHead(ReplicaActions& out, const store::GetReply& reply, Moment at);
  void OnLowerHead(ReplicaActions& out, const std::optional<Head>& head, std::uint64_t index,
                   Moment at);
  void StartRestore(ReplicaActions& out, const std::optional<Head>& head, std::uint64_t index,
                    Moment at);
  void ContinueRestore(ReplicaActions& out, Moment at);
  void OnVerified(ReplicaActions& out, const store::ListReply& reply, Moment at);
  void OnRecords(ReplicaActions& out, const store::ListReply& reply, Moment at);
  void FetchFromPeers(ReplicaActions& out, Moment at);
  bool Adopt(VersionRecord record, Moment at);
  void Activate(ReplicaActions& out, Moment at);
  void Confirm(Moment at) noexcept;

  Options options_;
  RetrySpread spread_;
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
  bool need_store_ = false;  ///< A peer's offer could not be linked to the chain.
  Activity activity_ = Activity::kIdle;
  std::uint64_t call_id_ = 0;  ///< Of the outstanding store call.
  std::uint64_t next_id_ = 1;
  core::TimePoint next_call_;
  std::uint64_t watch_index_ = 0;
  std::optional<ChainReader> chain_reader_;
  /// Versions of the own publisher that are read back: a store restored between the writes of the
  /// parts and of the head holds the head only.
  std::deque<std::uint64_t> verify_;
  bool restore_confirmed_ = false;  ///< The next lower head starts the writes.
  std::vector<store::CompareAndSwap> restore_writes_;
  std::size_t next_restore_ = 0;
  std::optional<Fetch> fetch_;
  std::map<std::string, VersionRecord> unsettled_;  ///< By hash; only versions above the chain.
};

}  // namespace vanilladeck::config

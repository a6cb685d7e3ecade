#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "vanilladeck/operations/batch.h"
#include "vanilladeck/operations/claim.h"
#include "vanilladeck/operations/impl/batch_writer.h"
#include "vanilladeck/operations/impl/released_claims.h"
#include "vanilladeck/operations/now.h"
#include "vanilladeck/operations/record_index.h"
#include "vanilladeck/store/call.h"

namespace vanilladeck::operations {

struct ShardOptions {
  std::string shard;       ///< Name of the failure domain.
  core::InstanceId owner;  ///< This instance.
  std::string salt;        ///< Salt of the client digests, see `OperationKey`.
  std::chrono::milliseconds retention{900'000};
  std::chrono::milliseconds clock_skew{5'000};  ///< Largest difference of two wall clocks.
  /// How long a batch collects before it is written; keeps a shard under 50 writes a second.
  std::chrono::milliseconds linger{20};
  /// After this time a claim that is not durable is answered `Unavailable`.
  std::chrono::milliseconds claim_wait{2'000};
  std::size_t max_batch_bytes = 900'000;  ///< Margin below `store::kMaxValueBytes`.
  std::size_t max_answer_bytes = 65'536;  ///< Longer answers are not kept, see `Shard::Complete`.
  std::size_t max_outcome_backlog_bytes = 8'000'000;
  std::size_t max_index_bytes = 64'000'000;
};

struct ClaimAnswer {
  std::uint64_t ticket = 0;
  ClaimReply reply;
};
struct CompleteAnswer {
  std::uint64_t ticket = 0;
  CompleteReply reply;
};

enum class StopReason : std::uint8_t {
  kFenced,        ///< Another owner's batch occupies the next SEQ.
  kFenceExpired,  ///< No append for so long that the fence of a newer owner may be deleted.
  kReplaced,      ///< The lease record names another owner.
  kResigned,      ///< `Resign` was called and the open batch is durable.
};
inline constexpr std::array<std::string_view, 4> kStopReasonNames{"fenced", "fence-expired",
                                                                  "replaced", "resigned"};

/// The shard answers nothing more until the next `TakeOver`.
struct ShardStopped {
  StopReason reason = StopReason::kFenced;
};
/// The log has been read and the epoch batch is durable; claims are accepted.
struct ShardReady {
  std::uint64_t epoch = 0;
  std::size_t records = 0;
  bool gap = false;  ///< Part of the log is missing.
};

using ShardOutput =
    std::variant<store::Call, ClaimAnswer, CompleteAnswer, ShardStopped, ShardReady>;

/// Owner of one shard of operation records: a state machine without I/O.
///
/// Records live in a log of batches that are created at consecutive SEQ, at most one in flight. A
/// claim is granted only when its batch is durable. A newer owner appends at the SEQ that the
/// former owner would use next, so that the former owner's append fails and it stops.
///
/// The caller sends every `store::Call`, feeds the result to `OnStoreResult`, and calls `Tick` at
/// `NextWake`. All outputs are collected by `TakeOutputs`. Tickets are the caller's numbers.
class Shard {
 public:
  explicit Shard(ShardOptions options);

  /// Reads the log and starts a new epoch. `known_seq` is the highest SEQ that this instance has
  /// heard of (lease record, heartbeats): a log that ends before it has lost batches.
  /// Call `ExtendLease` first: a takeover whose lease has ended stops.
  void TakeOver(std::uint64_t known_seq, const Now& now);

  /// New claims are granted until `until` only; the shard keeps answering what it has recorded.
  void ExtendLease(core::TimePoint until) noexcept { lease_until_ = until; }

  /// Stops at once. Call it when the lease record names another owner; a lease that merely ran out
  /// needs no call, for nothing is granted after its end.
  void Stop(StopReason reason);

  /// Refuses new claims, writes what is pending and stops.
  void Resign(const Now& now);

  void Claim(std::uint64_t ticket, const ClaimRequest& request, const Now& now);

  /// Records an outcome or releases a claim. An answer above `max_answer_bytes` is replaced by a
  /// problem document with status 409 that states that the operation ran, its status and its
  /// length.
  void Complete(std::uint64_t ticket, const CompleteRequest& request, const Now& now);

  /// The process `holder` has ended: its open claims read unknown.
  void OnInstanceGone(const core::InstanceId& holder);

  /// The process `holder` was declared gone by mistake and is heard again.
  void OnInstanceBack(const core::InstanceId& holder);

  void OnStoreResult(std::uint64_t call_id, const store::StoreResult& result, const Now& now);
  void Tick(const Now& now);

  [[nodiscard]] core::TimePoint NextWake() const;
  [[nodiscard]] std::vector<ShardOutput> TakeOutputs();

  [[nodiscard]] bool active() const noexcept { return phase_ == Phase::kActive; }
  /// SEQ of the last durable batch, for the lease record.
  [[nodiscard]] std::uint64_t last_seq() const noexcept { return next_seq_ - 1; }
  [[nodiscard]] std::uint64_t epoch() const noexcept { return epoch_; }
  [[nodiscard]] const RecordIndex& index() const noexcept { return index_; }

 private:
  enum class Phase : std::uint8_t { kStopped, kListing, kAppendingEpoch, kActive };

  /// An entry that waits for a batch, with those who wait for it to be durable.
  struct Pending {
    LogEntry entry;
    std::size_t bytes = 0;
    core::Rank rank = core::Rank::kNormal;
    std::vector<std::uint64_t> tickets;
    core::TimePoint answer_by;
    bool abandoned = false;  ///< A claim that was answered `Unavailable` and must be released.
  };

  // shard_claims.cc
  [[nodiscard]] std::optional<ClaimReply> AnswerFromRecord(const ClaimRequest& request,
                                                           std::uint64_t ticket, const RecordId& id,
                                                           Record& record);
  [[nodiscard]] std::optional<ClaimReply> RefuseNew(const ClaimRequest& request, const RecordId& id,
                                                    const Now& now) const;
  void AddClaim(std::uint64_t ticket, const ClaimRequest& request, const RecordId& id,
                std::uint32_t attempt, const Now& now);
  void ReleaseByClaimId(std::uint64_t ticket, const CompleteRequest& request, const RecordId& id,
                        const Now& now);
  void AddOutcome(std::optional<std::uint64_t> ticket, OutcomeEntry end, Record& record,
                  const Now& now);
  void Enqueue(Pending pending, const Now& now);
  [[nodiscard]] RecordedAnswer KeptAnswer(const RecordedAnswer& answer) const;
  [[nodiscard]] Pending* FindPendingClaim(const RecordId& id);
  bool DropOpenClaim(const RecordId& id);
  void Revert(const Pending& claim);
  void RefuseLateClaims(const Now& now);
  void Settle(Pending& pending, const Now& now);

  // shard.cc
  void Answer(std::uint64_t ticket, ClaimReply reply);
  void Answer(std::uint64_t ticket, bool recorded);
  void Send(store::Request request, core::Rank rank);
  void StartBatch(const Now& now);
  void AdvanceWriter(const Now& now);
  void OnBatchDurable(const Now& now);
  void OnBatchNotSent(const Now& now);
  void Restart(const Now& now);
  void DeleteOldBucket();
  void OnListed(const store::StoreResult& result, const Now& now);
  void Replay(const std::vector<store::Entry>& entries, const Now& now);
  void TrimIndex(const Now& now);
  void RaiseFloor(const Now& now);
  void Housekeep(const Now& now);
  [[nodiscard]] core::TimePoint BatchDueAt() const;
  [[nodiscard]] core::Duration FenceWindow() const { return options_.retention / 2; }

  ShardOptions options_;
  Phase phase_ = Phase::kStopped;
  bool resigning_ = false;
  core::TimePoint lease_until_;
  std::uint64_t epoch_ = 0;
  std::uint64_t next_seq_ = 1;
  std::uint64_t known_seq_ = 0;
  bool gap_ = false;
  std::int64_t unknown_until_ms_ = 0;
  std::int64_t latest_wall_ms_ = 0;  ///< The wall clock never goes back for the age of keys.

  RecordIndex index_;
  std::deque<Pending> open_;        ///< The batch that collects.
  std::vector<Pending> in_flight_;  ///< The batch that is being written.
  std::size_t open_bytes_ = 0;
  std::size_t outcome_backlog_bytes_ = 0;
  core::TimePoint open_since_;
  impl::BatchWriter writer_;
  core::Rank in_flight_rank_ = core::Rank::kUrgent;
  std::uint64_t in_flight_floor_seq_ = 0;
  std::uint64_t batches_started_ = 0;
  core::TimePoint not_before_;  ///< Back-off after a call that was not sent.
  int failures_ = 0;
  std::optional<core::TimePoint> failing_since_;
  core::TimePoint last_append_;  ///< When the last durable batch was first sent.
  core::TimePoint list_sent_;
  core::TimePoint last_tick_;
  core::TimePoint next_housekeeping_;

  std::uint64_t durable_floor_seq_ = 0;
  std::uint64_t floor_seq_ = 0;
  std::map<std::uint64_t, std::int64_t> bucket_wall_ms_;  ///< Latest batch time by bucket.
  std::optional<std::uint64_t> deleting_bucket_;

  impl::ReleasedClaims released_claims_;
  std::deque<core::InstanceId> gone_holders_;  ///< Survives the replay of the log; bounded.

  std::uint64_t next_call_ = 1;
  std::uint64_t list_call_ = 0;
  std::uint64_t write_call_ = 0;
  std::uint64_t delete_call_ = 0;
  std::vector<ShardOutput> outputs_;
};

}  // namespace vanilladeck::operations

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
  std::string salt;        ///< Secret of the client digests, see `OperationKey`.
  std::chrono::milliseconds retention{900'000};
  std::chrono::milliseconds clock_skew{5'000};  ///< Largest difference between two wall clocks.
  /// How long entries are collected before a batch is written; limits a shard to 50 writes a
  /// second.
  std::chrono::milliseconds linger{20};
  /// A claim that is not durable after this time is answered with `Unavailable`.
  std::chrono::milliseconds claim_timeout{2'000};
  std::size_t max_batch_bytes = 900'000;  ///< Leaves a margin below `store::kMaxValueBytes`.
  std::size_t max_answer_bytes = 65'536;  ///< Limit of recorded answers.
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
  kFenced,        ///< Another owner's batch is stored at the next SEQ.
  kFenceExpired,  ///< No append for so long that the batch of a newer owner may have been deleted.
  kReplaced,      ///< The lease record names another owner.
  kResigned,      ///< `Resign` was called and all pending entries are durable.
};
inline constexpr std::array<std::string_view, 4> kStopReasonNames{"fenced", "fence-expired",
                                                                  "replaced", "resigned"};

/// The shard refuses all requests until the next `TakeOver`.
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
/// Records are stored in a log of batches, which are created at consecutive sequence numbers (SEQ)
/// with at most one write in flight. A claim is granted only when its batch is durable. A new owner
/// appends at the SEQ that the former owner would use next, so the former owner's append fails and
/// it stops.
///
/// The caller sends every `store::Call`, passes its result to `OnStoreResult`, and calls `Tick` at
/// `NextWake`. `TakeOutputs` returns all outputs. A `ticket` is a number that the caller chooses to
/// match an answer to its request.
class Shard {
 public:
  explicit Shard(ShardOptions options);

  /// Reads the log and starts a new epoch. `known_seq` is the highest SEQ that this instance knows
  /// of (lease record, heartbeats): a log that ends before it has lost batches.
  /// Call `ExtendLease` first: a takeover stops when the lease has expired.
  void TakeOver(std::uint64_t known_seq, const Now& now);

  /// New claims are granted only before `until`; recorded outcomes are answered after it, too.
  void ExtendLease(core::TimePoint until) noexcept { lease_until_ = until; }

  /// Stops at once. Call it when the lease record names another owner. An expired lease needs no
  /// call, because nothing is granted after its end.
  void Stop(StopReason reason);

  /// Refuses new claims, writes all pending entries and then stops.
  void Resign(const Now& now);

  void Claim(std::uint64_t ticket, const ClaimRequest& request, const Now& now);

  /// Records an outcome or releases a claim. An answer above `max_answer_bytes` is replaced by a
  /// problem document with status 409, which says that the operation ran and gives the status and
  /// length of the answer.
  void Complete(std::uint64_t ticket, const CompleteRequest& request, const Now& now);

  /// Call when the process `holder` has ended: its open claims are answered `OutcomeUnknown`.
  void OnInstanceGone(const core::InstanceId& holder);

  /// Reverts `OnInstanceGone` for a process that turned out to be alive.
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

  /// An entry that is not durable yet, with the requests that wait for it.
  struct Pending {
    LogEntry entry;
    std::size_t bytes = 0;
    core::Rank rank = core::Rank::kNormal;
    std::vector<std::uint64_t> tickets;
    core::TimePoint answer_by;
    bool abandoned = false;  ///< A claim that was answered `Unavailable`; released once durable.
  };

  // shard_claims.cc
  [[nodiscard]] std::optional<ClaimReply> AnswerFromRecord(const ClaimRequest& request,
                                                           std::uint64_t ticket, const RecordId& id,
                                                           Record& record);
  [[nodiscard]] std::optional<ClaimReply> RefuseNewAttempt(const ClaimRequest& request,
                                                           const RecordId& id,
                                                           const Now& now) const;
  void AddClaim(std::uint64_t ticket, const ClaimRequest& request, const RecordId& id,
                std::uint32_t attempt, const Now& now);
  void ReleaseByClaimId(std::uint64_t ticket, const CompleteRequest& request, const RecordId& id,
                        const Now& now);
  void AddOutcome(std::optional<std::uint64_t> ticket, OutcomeEntry entry, Record& record,
                  const Now& now);
  void Enqueue(Pending pending, const Now& now);
  [[nodiscard]] RecordedAnswer AnswerToRecord(const RecordedAnswer& answer) const;
  [[nodiscard]] Pending* FindPendingClaim(const RecordId& id);
  bool DropQueuedClaim(const RecordId& id);
  void UndoClaim(const Pending& claim);
  void RefuseLateClaims(const Now& now);
  void OnEntryDurable(Pending& pending, const Now& now);

  // shard.cc
  void Answer(std::uint64_t ticket, ClaimReply reply);
  void Answer(std::uint64_t ticket, bool recorded);
  void Send(store::Request request, core::Rank rank);
  void StartBatch(const Now& now);
  void AdvanceWriter(const Now& now);
  void OnBatchDurable(const Now& now);
  void OnBatchNotSent(const Now& now);
  void RestartTakeOver(const Now& now);
  void DeleteOldBucket();
  void OnListed(const store::StoreResult& result, const Now& now);
  void Replay(const std::vector<store::Entry>& entries, const Now& now);
  void TrimIndex(const Now& now);
  void AdvanceLogStart(const Now& now);
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
  std::int64_t latest_wall_ms_ = 0;  ///< Highest wall time so far; key ages do not shrink.

  RecordIndex index_;
  std::deque<Pending> open_batch_;  ///< Entries collected for the next batch.
  std::vector<Pending> in_flight_;  ///< Entries of the batch being written.
  std::size_t open_bytes_ = 0;
  std::size_t outcome_backlog_bytes_ = 0;
  core::TimePoint open_since_;
  impl::BatchWriter writer_;
  core::Rank in_flight_rank_ = core::Rank::kUrgent;
  std::uint64_t in_flight_log_start_seq_ = 0;
  std::uint64_t batches_started_ = 0;
  core::TimePoint not_before_;  ///< End of the back-off after a failed call.
  int failures_ = 0;
  std::optional<core::TimePoint> failing_since_;
  core::TimePoint last_append_;  ///< When the last durable batch was first sent.
  core::TimePoint list_sent_;
  core::TimePoint last_tick_;
  core::TimePoint next_housekeeping_;

  std::uint64_t durable_log_start_seq_ = 0;
  std::uint64_t log_start_seq_ = 0;
  std::map<std::uint64_t, std::int64_t> bucket_wall_ms_;  ///< Latest batch time.
  std::optional<std::uint64_t> deleting_bucket_;

  impl::ReleasedClaims released_claims_;
  std::deque<core::InstanceId> gone_holders_;  ///< Kept across replays; bounded.

  std::uint64_t next_call_ = 1;
  std::uint64_t list_call_ = 0;
  std::uint64_t write_call_ = 0;
  std::uint64_t delete_call_ = 0;
  std::vector<ShardOutput> outputs_;
};

}  // namespace vanilladeck::operations

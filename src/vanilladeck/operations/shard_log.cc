// Reads the log at a takeover and deletes its oldest buckets.
#include <algorithm>
#include <optional>
#include <utility>

#include "vanilladeck/operations/shard.h"

namespace vanilladeck::operations {
namespace {

/// Sequence numbers found while reading a log, used to detect missing batches.
struct LogSummary {
  std::uint64_t first_seq = 0;
  std::uint64_t last_seq = 0;
  std::uint64_t log_start_seq = 0;  ///< Value in the last batch.
  std::uint64_t batches_since_epoch =
      0;  ///< Batches read since the last epoch batch, including it.
  std::optional<std::uint64_t> epoch_seq;
  bool damaged = false;

  void Add(std::uint64_t seq, const Batch& batch) {
    if (first_seq == 0) first_seq = seq;
    last_seq = seq;
    log_start_seq = batch.log_start_seq;
    if (batch.takes_over) {
      epoch_seq = seq;
      batches_since_epoch = 0;
    }
    ++batches_since_epoch;
  }

  /// True when a batch after the last epoch batch is missing.
  ///
  /// Every takeover reads the whole log and records in its epoch batch what is missing before it,
  /// so only the batches after the last epoch batch need to be complete.
  [[nodiscard]] bool HasGap(std::uint64_t known_seq) const {
    if (damaged || known_seq > last_seq) return true;
    if (first_seq == 0) return false;
    // The first batch of a log is an epoch batch unless its bucket was deleted.
    const bool start_missing = !epoch_seq && first_seq > log_start_seq;
    return start_missing || batches_since_epoch != last_seq - epoch_seq.value_or(first_seq) + 1;
  }
};

}  // namespace

void Shard::Replay(const std::vector<store::Entry>& entries, const Now& now) {
  LogSummary log;
  index_ = RecordIndex{};
  bucket_wall_ms_.clear();
  unknown_until_ms_ = 0;
  for (const auto& entry : entries) {
    const auto seq = ParseBatchKey(options_.shard, entry.key);
    const auto decoded = Decode(entry.key, entry.value);
    if (!seq || *seq <= log.last_seq || decoded.has_error()) {
      log.damaged = true;
      continue;
    }
    const auto& batch = decoded.value();
    log.Add(*seq, batch);
    epoch_ = std::max(epoch_, batch.epoch);
    unknown_until_ms_ = std::max(unknown_until_ms_, batch.unknown_until_ms);
    auto& bucket_wall_ms = bucket_wall_ms_[*seq / kBatchesPerBucket];
    bucket_wall_ms = std::max(bucket_wall_ms, batch.wall_ms);
    for (const auto& change : batch.entries) index_.Apply(change);
  }
  index_.FinishReplay();
  for (const auto& holder : gone_holders_) index_.SetGone(holder, true);
  index_.Trim(now.wall_ms - (options_.retention + options_.clock_skew).count());
  gap_ = log.HasGap(known_seq_);
  if (gap_) {
    unknown_until_ms_ = std::max(unknown_until_ms_, now.wall_ms + options_.clock_skew.count());
  }
  log_start_seq_ = log.log_start_seq;
  durable_log_start_seq_ = log_start_seq_;
  ++epoch_;
  next_seq_ = std::max(log.last_seq, known_seq_) + 1;
}

void Shard::AdvanceLogStart(const Now& now) {
  // A key can be claimed until `retention` after its issue, and its record is written at most
  // `clock_skew` before the issue. The second `clock_skew` allows for the difference between the
  // writer's clock and this one.
  const auto keep = (options_.retention + 2 * options_.clock_skew).count();
  const std::uint64_t current = next_seq_ / kBatchesPerBucket;
  for (const auto& [bucket, wall_ms] : bucket_wall_ms_) {
    if (bucket >= current || wall_ms + keep >= now.wall_ms) break;
    log_start_seq_ = std::max(log_start_seq_, (bucket + 1) * kBatchesPerBucket);
  }
}

void Shard::DeleteOldBucket() {
  if (delete_call_ != 0 || bucket_wall_ms_.empty()) return;
  // The advanced start must be in the log first: a reader treats batches missing after it as lost.
  const std::uint64_t bucket = bucket_wall_ms_.begin()->first;
  if ((bucket + 1) * kBatchesPerBucket > durable_log_start_seq_) return;
  deleting_bucket_ = bucket;
  delete_call_ = next_call_;
  Send(store::DeletePrefix{BucketPrefix(options_.shard, bucket)}, core::Rank::kBulk);
}

}  // namespace vanilladeck::operations

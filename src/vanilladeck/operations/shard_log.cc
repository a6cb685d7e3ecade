// Reading the log at a takeover and deleting its oldest buckets.
#include <algorithm>
#include <optional>
#include <utility>

#include "vanilladeck/operations/shard.h"

namespace vanilladeck::operations {
namespace {

/// The batches of a log without their entries.
struct Summary {
  std::uint64_t first_seq = 0;
  std::uint64_t last_seq = 0;
  std::uint64_t floor_seq = 0;    ///< As the last batch states it.
  std::uint64_t since_epoch = 0;  ///< Batches read from the last epoch batch on.
  std::optional<std::uint64_t> epoch_seq;
  bool damaged = false;

  void Add(std::uint64_t seq, const Batch& batch) {
    if (first_seq == 0) first_seq = seq;
    last_seq = seq;
    floor_seq = batch.floor_seq;
    if (batch.takes_over) {
      epoch_seq = seq;
      since_epoch = 0;
    }
    ++since_epoch;
  }

  /// True when a batch after the last epoch batch is missing.
  ///
  /// Every takeover reads the whole log and accounts for what is missing before its epoch batch, so
  /// only the batches after the last epoch batch need to be complete.
  [[nodiscard]] bool HasGap(std::uint64_t known_seq) const {
    if (damaged || known_seq > last_seq) return true;
    if (first_seq == 0) return false;
    // The first batch of a log is an epoch batch unless its bucket was deleted.
    const bool head_lost = !epoch_seq && first_seq > floor_seq;
    return head_lost || since_epoch != last_seq - epoch_seq.value_or(first_seq) + 1;
  }
};

}  // namespace

void Shard::Replay(const std::vector<store::Entry>& entries, const Now& now) {
  Summary log;
  index_ = RecordIndex{};
  bucket_wall_ms_.clear();
  unknown_until_ms_ = 0;
  for (const auto& entry : entries) {
    const auto seq = SeqOf(options_.shard, entry.key);
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
  floor_seq_ = log.floor_seq;
  durable_floor_seq_ = floor_seq_;
  ++epoch_;
  next_seq_ = std::max(log.last_seq, known_seq_) + 1;
}

void Shard::RaiseFloor(const Now& now) {
  // A key can be claimed until retention after its issue, and a record is written at most the clock
  // skew before the issue; the other skew is that between the writer's clock and this one.
  const auto keep = (options_.retention + 2 * options_.clock_skew).count();
  const std::uint64_t current = next_seq_ / kBatchesPerBucket;
  for (const auto& [bucket, wall_ms] : bucket_wall_ms_) {
    if (bucket >= current || wall_ms + keep >= now.wall_ms) break;
    floor_seq_ = std::max(floor_seq_, (bucket + 1) * kBatchesPerBucket);
  }
}

void Shard::DeleteOldBucket() {
  if (delete_call_ != 0 || bucket_wall_ms_.empty()) return;
  // The raised floor must be in the log first: a reader takes what is missing above it for a loss.
  const std::uint64_t bucket = bucket_wall_ms_.begin()->first;
  if ((bucket + 1) * kBatchesPerBucket > durable_floor_seq_) return;
  deleting_bucket_ = bucket;
  delete_call_ = next_call_;
  Send(store::DeletePrefix{BucketPrefix(options_.shard, bucket)}, core::Rank::kBulk);
}

}  // namespace vanilladeck::operations

// Reading the log at a takeover and deleting its oldest buckets.
#include <algorithm>
#include <map>
#include <utility>

#include "vanilladeck/operations/shard.h"

namespace vanilladeck::operations {
namespace {

/// Checks that no batch after the last epoch batch is missing.
///
/// Every takeover reads the whole log and accounts for what is missing before its epoch batch, so
/// only the batches after the last epoch batch need to be complete.
bool HasGap(const std::map<std::uint64_t, Batch>& log, std::uint64_t known_seq) {
  if (log.empty()) return known_seq > 0;
  const auto last_epoch =
      std::find_if(log.rbegin(), log.rend(), [](const auto& row) { return row.second.takes_over; });
  const auto first = last_epoch == log.rend() ? log.begin() : std::prev(last_epoch.base());
  const std::uint64_t last_seq = log.rbegin()->first;
  const auto present = static_cast<std::uint64_t>(std::distance(first, log.end()));
  // The first batch of a log is an epoch batch unless its bucket was deleted.
  const bool head_lost = last_epoch == log.rend() && first->first > log.rbegin()->second.floor_seq;
  return head_lost || present != last_seq - first->first + 1 || known_seq > last_seq;
}

}  // namespace

void Shard::Replay(const std::vector<store::Entry>& entries, const Now& now) {
  std::map<std::uint64_t, Batch> log;
  bool damaged = false;
  index_ = RecordIndex{};
  bucket_wall_ms_.clear();
  for (const auto& entry : entries) {
    const auto seq = SeqOf(options_.shard, entry.key);
    auto batch = Decode(entry.key, entry.value);
    damaged = damaged || !seq || batch.has_error();
    if (!seq || batch.has_error()) continue;
    auto& bucket_wall_ms = bucket_wall_ms_[*seq / kBatchesPerBucket];
    bucket_wall_ms = std::max(bucket_wall_ms, batch.value().wall_ms);
    log.emplace(*seq, std::move(batch.value()));
  }
  gap_ = damaged || HasGap(log, known_seq_);
  const std::uint64_t last_seq = log.empty() ? 0 : log.rbegin()->first;
  floor_seq_ = log.empty() ? 0 : log.rbegin()->second.floor_seq;
  durable_floor_seq_ = floor_seq_;
  unknown_until_ms_ = gap_ ? now.wall_ms + options_.clock_skew.count() : 0;
  for (const auto& [seq, batch] : log) {
    epoch_ = std::max(epoch_, batch.epoch);
    unknown_until_ms_ = std::max(unknown_until_ms_, batch.unknown_until_ms);
    if (seq < floor_seq_) continue;
    for (const auto& entry : batch.entries) index_.Apply(entry);
  }
  index_.FinishReplay();
  for (const auto& holder : gone_holders_) index_.SetGone(holder, true);
  index_.Trim(now.wall_ms - (options_.retention + options_.clock_skew).count());
  ++epoch_;
  next_seq_ = std::max(last_seq, known_seq_) + 1;
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

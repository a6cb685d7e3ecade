#include "vanilladeck/operations/shard.h"

#include <algorithm>
#include <utility>

namespace vanilladeck::operations {
namespace {

// A batch of this size is written before the linger time ends.
constexpr std::size_t kFlushBytes = 256'000;
constexpr core::Duration kHousekeepingInterval = std::chrono::seconds(1);
// Interval of the check for claims that have timed out.
constexpr core::Duration kPendingCheckInterval = std::chrono::milliseconds(50);
constexpr std::size_t kMinBatchBytes = 100'000;

}  // namespace

Shard::Shard(ShardOptions options) : options_(std::move(options)) {}

void Shard::Answer(std::uint64_t ticket, ClaimReply reply) {
  outputs_.emplace_back(ClaimAnswer{ticket, std::move(reply)});
}

void Shard::Answer(std::uint64_t ticket, bool recorded) {
  outputs_.emplace_back(CompleteAnswer{ticket, CompleteReply{recorded}});
}

void Shard::Send(store::Request request, core::Rank rank) {
  outputs_.emplace_back(store::Call{next_call_++, std::move(request), rank});
}

std::vector<ShardOutput> Shard::TakeOutputs() { return std::exchange(outputs_, {}); }

void Shard::TakeOver(std::uint64_t known_seq, const Now& now) {
  known_seq_ = std::max(known_seq_, known_seq);
  resigning_ = false;
  failures_ = 0;
  RestartTakeOver(now);
  Tick(now);
}

void Shard::RestartTakeOver(const Now& now) {
  phase_ = Phase::kListing;
  list_call_ = 0;
  write_call_ = 0;
  delete_call_ = 0;
  deleting_bucket_.reset();
  writer_.Clear();
  not_before_ =
      now.steady + (failures_ > 0 ? impl::BackOff(failures_, next_call_) : core::Duration(0));
}

void Shard::Stop(StopReason reason) {
  if (phase_ == Phase::kStopped) return;
  phase_ = Phase::kStopped;
  writer_.Clear();
  const auto refuse = [this](const Pending& pending) {
    const bool claim = std::holds_alternative<ClaimEntry>(pending.entry);
    for (const auto ticket : pending.tickets) {
      if (claim) {
        Answer(ticket, Unavailable{});
      } else {
        Answer(ticket, false);
      }
    }
  };
  std::for_each(in_flight_.begin(), in_flight_.end(), refuse);
  std::for_each(open_batch_.begin(), open_batch_.end(), refuse);
  in_flight_.clear();
  open_batch_.clear();
  open_bytes_ = 0;
  outcome_backlog_bytes_ = 0;
  outputs_.emplace_back(ShardStopped{reason});
}

void Shard::Resign(const Now& now) {
  resigning_ = true;
  if (phase_ != Phase::kActive) Stop(StopReason::kResigned);
  Tick(now);
}

void Shard::OnStoreResult(std::uint64_t call_id, const store::StoreResult& result, const Now& now) {
  if (phase_ == Phase::kStopped) return;
  if (result.has_value()) {
    failing_since_.reset();
  } else if (!failing_since_) {
    failing_since_ = now.steady;
  }
  if (call_id == list_call_) {
    list_call_ = 0;
    OnListed(result, now);
  } else if (call_id == delete_call_) {
    delete_call_ = 0;
    if (result.has_value()) bucket_wall_ms_.erase(*deleting_bucket_);
    deleting_bucket_.reset();
  } else if (call_id == write_call_) {
    write_call_ = 0;
    const bool too_large =
        result.has_error() && result.error().code == store::StoreErrorCode::kTooLarge;
    if (too_large) {
      options_.max_batch_bytes = std::max(kMinBatchBytes, options_.max_batch_bytes / 2);
    }
    (void)writer_.OnResult(result, now.steady);
  }
  Tick(now);
}

void Shard::Tick(const Now& now) {
  last_tick_ = now.steady;
  latest_wall_ms_ = std::max(latest_wall_ms_, now.wall_ms);
  if (phase_ == Phase::kStopped) return;
  // An instance that lost the lease during its takeover must not fence the current owner with its
  // epoch batch.
  if (phase_ != Phase::kActive && now.steady >= lease_until_) return Stop(StopReason::kReplaced);
  if (phase_ == Phase::kListing) {
    if (list_call_ == 0 && now.steady >= not_before_) {
      list_call_ = next_call_;
      list_sent_ = now.steady;
      Send(store::List{ShardPrefix(options_.shard)}, core::Rank::kUrgent);
    }
    return;
  }
  RefuseLateClaims(now);
  AdvanceWriter(now);
  if (phase_ != Phase::kActive) return;
  if (now.steady >= next_housekeeping_) Housekeep(now);
  if (phase_ != Phase::kActive) return;
  if (writer_.state() == impl::WriteState::kIdle && !open_batch_.empty() &&
      now.steady >= BatchDueAt()) {
    StartBatch(now);
    AdvanceWriter(now);
  }
  if (resigning_ && open_batch_.empty() && in_flight_.empty()) Stop(StopReason::kResigned);
}

core::TimePoint Shard::BatchDueAt() const {
  const bool full = open_bytes_ >= kFlushBytes || resigning_;
  return std::max(not_before_, full ? core::TimePoint{} : open_since_ + options_.linger);
}

core::TimePoint Shard::NextWake() const {
  if (phase_ == Phase::kStopped) return core::TimePoint::max();
  if (phase_ == Phase::kListing) return list_call_ == 0 ? not_before_ : core::TimePoint::max();
  auto wake = std::max(next_housekeeping_, last_tick_);
  if (!open_batch_.empty() || !in_flight_.empty()) {
    wake = std::min(wake, last_tick_ + kPendingCheckInterval);
  }
  if (writer_.state() == impl::WriteState::kPending && !writer_.outstanding()) {
    wake = std::min(wake, writer_.not_before());
  }
  if (writer_.state() == impl::WriteState::kIdle && !open_batch_.empty()) {
    wake = std::min(wake, BatchDueAt());
  }
  return wake;
}

void Shard::StartBatch(const Now& now) {
  Batch batch;
  batch.epoch = epoch_;
  batch.owner = options_.owner;
  batch.takes_over = phase_ == Phase::kAppendingEpoch;
  // Unique among the batches of this process; the random incarnation distinguishes processes.
  constexpr std::uint64_t kOddStep = 0x9e3779b97f4a7c15ULL;
  batch.nonce = options_.owner.incarnation + ++batches_started_ * kOddStep;
  batch.wall_ms = now.wall_ms;
  batch.unknown_until_ms = unknown_until_ms_;
  batch.log_start_seq = log_start_seq_;
  in_flight_log_start_seq_ = log_start_seq_;
  std::size_t bytes = 0;
  auto rank = core::Rank::kBulk;
  while (!open_batch_.empty() && bytes + open_batch_.front().bytes <= options_.max_batch_bytes) {
    bytes += open_batch_.front().bytes;
    rank = std::min(rank, open_batch_.front().rank);
    batch.entries.push_back(open_batch_.front().entry);
    in_flight_.push_back(std::move(open_batch_.front()));
    open_batch_.pop_front();
  }
  open_bytes_ -= bytes;
  open_since_ = now.steady;
  // Epoch batches and the empty batches that confirm ownership serve every rank.
  in_flight_rank_ = batch.entries.empty() ? core::Rank::kUrgent : rank;
  writer_.Start(BatchKey(options_.shard, next_seq_), Encode(batch), batch.nonce, now.steady);
}

void Shard::AdvanceWriter(const Now& now) {
  using impl::WriteState;
  switch (writer_.state()) {
    case WriteState::kIdle:
      return;
    case WriteState::kPending:
      if (now.steady - last_append_ > FenceWindow()) {
        Stop(StopReason::kFenceExpired);
      } else if (!writer_.outstanding() && now.steady >= writer_.not_before()) {
        write_call_ = next_call_;
        Send(writer_.NextRequest(now.steady), in_flight_rank_);
      }
      return;
    case WriteState::kDurable:
      OnBatchDurable(now);
      return;
    case WriteState::kNotSent:
      OnBatchNotSent(now);
      return;
    case WriteState::kFenced:
      if (phase_ == Phase::kAppendingEpoch) {
        // The former owner or another candidate appended after the log was read.
        ++failures_;
        RestartTakeOver(now);
      } else {
        Stop(StopReason::kFenced);
      }
      return;
  }
}

void Shard::OnBatchDurable(const Now& now) {
  // An owner that was paused may write at a SEQ that a newer owner used and that has been deleted
  // since. Batches are kept for longer than the fence window, so this cannot happen within it.
  if (now.steady - last_append_ > FenceWindow()) {
    Stop(StopReason::kFenceExpired);
    return;
  }
  last_append_ = writer_.started();
  failures_ = 0;
  bucket_wall_ms_[next_seq_ / kBatchesPerBucket] = latest_wall_ms_;
  ++next_seq_;
  durable_log_start_seq_ = in_flight_log_start_seq_;
  writer_.Clear();
  if (phase_ == Phase::kAppendingEpoch) {
    phase_ = Phase::kActive;
    next_housekeeping_ = now.steady;
    outputs_.emplace_back(ShardReady{epoch_, index_.size(), gap_});
  }
  for (auto& pending : std::exchange(in_flight_, {})) OnEntryDurable(pending, now);
}

void Shard::OnBatchNotSent(const Now& now) {
  ++failures_;
  not_before_ = now.steady + impl::BackOff(failures_, next_call_);
  writer_.Clear();
  if (phase_ == Phase::kAppendingEpoch) {
    RestartTakeOver(now);
    return;
  }
  for (auto it = in_flight_.rbegin(); it != in_flight_.rend(); ++it) {
    if (it->abandoned) {
      UndoClaim(*it);
      continue;
    }
    open_bytes_ += it->bytes;
    open_batch_.push_front(std::move(*it));
  }
  in_flight_.clear();
}

void Shard::OnListed(const store::StoreResult& result, const Now& now) {
  const auto* reply = result.has_value() ? std::get_if<store::ListReply>(&result.value()) : nullptr;
  if (reply == nullptr) {
    ++failures_;
    RestartTakeOver(now);
    return;
  }
  Replay(reply->entries, now);
  phase_ = Phase::kAppendingEpoch;
  last_append_ = list_sent_;
  StartBatch(now);
}

void Shard::Housekeep(const Now& now) {
  next_housekeeping_ = now.steady + kHousekeepingInterval;
  index_.Trim(latest_wall_ms_ - (options_.retention + options_.clock_skew).count());
  AdvanceLogStart(now);
  DeleteOldBucket();
  if (writer_.state() != impl::WriteState::kIdle || now.steady < not_before_) return;
  if (now.steady - last_append_ > FenceWindow()) {
    Stop(StopReason::kFenceExpired);
  } else if (open_batch_.empty() && now.steady - last_append_ > FenceWindow() / 2) {
    StartBatch(now);  // An empty batch confirms that no newer owner has appended.
    AdvanceWriter(now);
  }
}

}  // namespace vanilladeck::operations

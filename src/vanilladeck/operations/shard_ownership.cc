#include "vanilladeck/operations/shard_ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "vanilladeck/core/hash.h"
#include "vanilladeck/operations/impl/batch_writer.h"

namespace vanilladeck::operations {
namespace {

using nlohmann::json;

// 2^4 renewals: in a domain of 32 instances all non-owners together read 4 times a second.
constexpr std::uint32_t kMaxPollDoublings = 4;

std::string LeaseKey(const std::string& shard) { return "ops-owner/" + shard; }

}  // namespace

std::string Encode(const OwnerRecord& record) {
  return json{{"address", record.owner.address}, {"incarnation", record.owner.incarnation},
              {"epoch", record.epoch},           {"renewal", record.renewal},
              {"renewed_ms", record.renewed_ms}, {"last_seq", record.last_seq},
              {"released", record.released}}
      .dump();
}

std::optional<OwnerRecord> DecodeOwnerRecord(std::string_view value) {
  try {
    const json doc = json::parse(value);
    OwnerRecord record;
    record.owner = {doc.at("address").get<std::string>(),
                    doc.at("incarnation").get<std::uint64_t>()};
    record.epoch = doc.at("epoch").get<std::uint64_t>();
    record.renewal = doc.at("renewal").get<std::uint64_t>();
    record.renewed_ms = doc.at("renewed_ms").get<std::int64_t>();
    record.last_seq = doc.at("last_seq").get<std::uint64_t>();
    record.released = doc.at("released").get<bool>();
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

ShardOwnership::ShardOwnership(OwnershipOptions options, const Now& now)
    : options_(std::move(options)),
      jitter_state_(
          core::Hash64(options_.shard + options_.self.address, options_.self.incarnation)) {
  next_step_ = now.steady + Jittered(options_.renewal / 2);
}

core::Duration ShardOwnership::Jittered(core::Duration full) {
  jitter_state_ = core::Hash64("jitter", jitter_state_);
  const auto part = static_cast<std::uint64_t>(full.count() / 4 + 1);
  return full - core::Duration(static_cast<std::int64_t>(jitter_state_ % part));
}

core::Duration ShardOwnership::PollInterval() {
  return Jittered(options_.renewal * (1 << std::min(position_, kMaxPollDoublings)));
}

std::vector<OwnershipOutput> ShardOwnership::TakeOutputs() { return std::exchange(outputs_, {}); }

core::TimePoint ShardOwnership::NextWake() const noexcept {
  const auto step = call_ == 0 && !release_done() ? next_step_ : core::TimePoint::max();
  return owner_ ? std::min(step, until_) : step;
}

void ShardOwnership::Lose() {
  if (std::exchange(owner_, false)) outputs_.emplace_back(LeaseLost{});
}

void ShardOwnership::Tick(std::uint64_t last_seq, const Now& now) {
  last_seq_ = std::max(last_seq_, last_seq);
  if (owner_ && now.steady >= until_) {
    Lose();
    have_read_ = false;
    seen_index_ = 0;
  }
  if (call_ != 0 || now.steady < next_step_) return;
  const bool settled = have_read_ && !settle_by_read_;
  if (released_ && settled) {
    if (!HoldsRecord()) return;
    OwnerRecord record = *seen_;
    record.released = true;
    Write(std::move(record), seen_index_, now);
  } else if (settled && owner_) {
    OwnerRecord record = *seen_;
    ++record.renewal;
    Write(std::move(record), seen_index_, now);
  } else if (settled && MayTake(now)) {
    OwnerRecord record{options_.self, (seen_ ? seen_->epoch : 0) + 1};
    continues_ = seen_ && seen_->owner == options_.self && seen_->epoch == held_epoch_;
    record.last_seq = seen_ ? seen_->last_seq : 0;
    Write(std::move(record), seen_index_, now);
  } else {
    Read(now);
  }
}

void ShardOwnership::Release(const Now& now) {
  released_ = true;
  Lose();
  if (call_ == 0) next_step_ = now.steady;
}

bool ShardOwnership::release_done() const noexcept {
  return released_ && call_ == 0 && have_read_ && !settle_by_read_ && !HoldsRecord();
}

bool ShardOwnership::HoldsRecord() const noexcept {
  return seen_ && seen_->owner == options_.self && !seen_->released;
}

bool ShardOwnership::MayTake(const Now& now) const {
  if (released_) return false;
  if (!seen_ || seen_->released || seen_->owner == options_.self) return true;
  return now.steady - unchanged_since_ >= options_.lease;
}

void ShardOwnership::Read(const Now& now) {
  call_ = next_call_++;
  call_sent_ = now.steady;
  outputs_.emplace_back(store::Call{call_, store::Get{LeaseKey(options_.shard)}});
}

void ShardOwnership::Write(OwnerRecord record, std::uint64_t index, const Now& now) {
  record.renewed_ms = now.wall_ms;
  record.last_seq = std::max(record.last_seq, last_seq_);
  call_ = next_call_++;
  call_sent_ = now.steady;
  write_sent_ = now.steady;
  outputs_.emplace_back(
      store::Call{call_, store::CompareAndSwap{LeaseKey(options_.shard), Encode(record), index}});
  writing_ = std::move(record);
}

void ShardOwnership::OnStoreResult(std::uint64_t call_id, const store::StoreResult& result,
                                   const Now& now) {
  if (call_id != call_) return;
  call_ = 0;
  if (result.has_error()) return OnError(result.error(), now);
  failures_ = 0;
  if (const auto* swap = std::get_if<store::CompareAndSwapReply>(&result.value())) {
    OnWritten(swap->swapped, now);
  } else if (const auto* get = std::get_if<store::GetReply>(&result.value())) {
    OnRead(*get, now);
  }
}

void ShardOwnership::OnError(const store::StoreError& error, const Now& now) {
  ++failures_;
  // Full jitter over a renewal: the owners of all shards find the store again at the same time.
  const auto retry = impl::BackOff(failures_, jitter_state_);
  jitter_state_ = core::Hash64("retry", jitter_state_);
  next_step_ = now.steady + retry;
  if (error.code == store::StoreErrorCode::kOutcomeUnknown ||
      error.code == store::StoreErrorCode::kProtocol) {
    settle_by_read_ = settle_by_read_ || writing_.has_value();
  } else if (!settle_by_read_) {
    writing_.reset();
  }
}

void ShardOwnership::OnWritten(bool swapped, const Now& now) {
  // The write's index is not in the reply: the next renewal needs one read first.
  next_step_ = now.steady;
  have_read_ = false;
  settle_by_read_ = true;
  if (swapped) return;
  writing_.reset();
  Lose();
}

void ShardOwnership::OnRead(const store::GetReply& reply, const Now& now) {
  const std::uint64_t index = reply.entry ? reply.entry->modify_index : 0;
  if (!have_read_ || index != seen_index_) unchanged_since_ = now.steady;
  have_read_ = true;
  settle_by_read_ = false;
  seen_index_ = index;
  seen_ = reply.entry ? DecodeOwnerRecord(reply.entry->value) : std::nullopt;
  if (seen_) outputs_.emplace_back(OwnerObserved{*seen_});
  const bool own_write = seen_ && writing_ && seen_->owner == options_.self &&
                         seen_->epoch == writing_->epoch && seen_->renewal == writing_->renewal;
  const bool own_record = seen_ && seen_->owner == options_.self;
  writing_.reset();
  if (own_write && !released_) {
    BecomeOwner(now);
    next_step_ = std::max(now.steady, write_sent_ + Jittered(options_.renewal));
    return;
  }
  if (owner_ && !own_record) Lose();
  next_step_ = now.steady + (owner_ ? core::Duration(0) : PollInterval());
  if (!owner_ && (released_ || MayTake(now))) next_step_ = now.steady;
}

void ShardOwnership::BecomeOwner(const Now& now) {
  until_ = write_sent_ + options_.lease;
  if (now.steady >= until_) return Lose();
  held_epoch_ = seen_->epoch;
  outputs_.emplace_back(LeaseRenewed{until_});
  if (!std::exchange(owner_, true)) {
    outputs_.emplace_back(LeaseAcquired{seen_->epoch, seen_->last_seq, continues_});
  }
}

}  // namespace vanilladeck::operations

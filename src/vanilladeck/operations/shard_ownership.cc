#include "vanilladeck/operations/shard_ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "vanilladeck/core/hash.h"
#include "vanilladeck/operations/impl/batch_writer.h"

namespace vanilladeck::operations {
namespace {

using nlohmann::json;

// 2^4 renewal intervals: in a domain of 32 instances, all non-owners together read 4 times a
// second.
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
  return is_owner_ ? std::min(step, lease_until_) : step;
}

void ShardOwnership::LoseLease() {
  if (std::exchange(is_owner_, false)) outputs_.emplace_back(LeaseLost{});
}

void ShardOwnership::Tick(std::uint64_t last_seq, const Now& now) {
  last_seq_ = std::max(last_seq_, last_seq);
  if (is_owner_ && now.steady >= lease_until_) {
    LoseLease();
    have_read_ = false;
    modify_index_ = 0;
  }
  if (call_ != 0 || now.steady < next_step_) return;
  const bool record_known = have_read_ && !must_read_back_;
  if (released_ && record_known) {
    if (!HoldsRecord()) return;
    OwnerRecord record = *record_;
    record.released = true;
    Write(std::move(record), modify_index_, now);
  } else if (record_known && is_owner_) {
    OwnerRecord record = *record_;
    ++record.renewal;
    Write(std::move(record), modify_index_, now);
  } else if (record_known && CanAcquire(now)) {
    OwnerRecord record{options_.self, (record_ ? record_->epoch : 0) + 1};
    continues_lease_ = record_ && record_->owner == options_.self && record_->epoch == held_epoch_;
    record.last_seq = record_ ? record_->last_seq : 0;
    Write(std::move(record), modify_index_, now);
  } else {
    Read(now);
  }
}

void ShardOwnership::Release(const Now& now) {
  released_ = true;
  LoseLease();
  if (call_ == 0) next_step_ = now.steady;
}

bool ShardOwnership::release_done() const noexcept {
  return released_ && call_ == 0 && have_read_ && !must_read_back_ && !HoldsRecord();
}

bool ShardOwnership::HoldsRecord() const noexcept {
  return record_ && record_->owner == options_.self && !record_->released;
}

bool ShardOwnership::CanAcquire(const Now& now) const {
  if (released_) return false;
  if (!record_ || record_->released || record_->owner == options_.self) return true;
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
  unconfirmed_write_ = std::move(record);
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
  // Jitter, because the owners of all shards notice at the same time that the store is back.
  const auto retry = impl::BackOff(failures_, jitter_state_);
  jitter_state_ = core::Hash64("retry", jitter_state_);
  next_step_ = now.steady + retry;
  if (error.code == store::StoreErrorCode::kOutcomeUnknown ||
      error.code == store::StoreErrorCode::kProtocol) {
    must_read_back_ = must_read_back_ || unconfirmed_write_.has_value();
  } else if (!must_read_back_) {
    unconfirmed_write_.reset();
  }
}

void ShardOwnership::OnWritten(bool swapped, const Now& now) {
  // The reply does not contain the index of the write, so the next renewal has to read it first.
  next_step_ = now.steady;
  have_read_ = false;
  must_read_back_ = true;
  if (swapped) return;
  unconfirmed_write_.reset();
  LoseLease();
}

void ShardOwnership::OnRead(const store::GetReply& reply, const Now& now) {
  const std::uint64_t index = reply.entry ? reply.entry->modify_index : 0;
  if (!have_read_ || index != modify_index_) unchanged_since_ = now.steady;
  have_read_ = true;
  must_read_back_ = false;
  modify_index_ = index;
  record_ = reply.entry ? DecodeOwnerRecord(reply.entry->value) : std::nullopt;
  if (record_) outputs_.emplace_back(OwnerObserved{*record_});
  const bool own_write = record_ && unconfirmed_write_ && record_->owner == options_.self &&
                         record_->epoch == unconfirmed_write_->epoch &&
                         record_->renewal == unconfirmed_write_->renewal;
  const bool own_record = record_ && record_->owner == options_.self;
  unconfirmed_write_.reset();
  if (own_write && !released_) {
    OnLeaseConfirmed(now);
    next_step_ = std::max(now.steady, write_sent_ + Jittered(options_.renewal));
    return;
  }
  if (is_owner_ && !own_record) LoseLease();
  next_step_ = now.steady + (is_owner_ ? core::Duration(0) : PollInterval());
  if (!is_owner_ && (released_ || CanAcquire(now))) next_step_ = now.steady;
}

void ShardOwnership::OnLeaseConfirmed(const Now& now) {
  lease_until_ = write_sent_ + options_.lease;
  if (now.steady >= lease_until_) return LoseLease();
  held_epoch_ = record_->epoch;
  outputs_.emplace_back(LeaseRenewed{lease_until_});
  if (!std::exchange(is_owner_, true)) {
    outputs_.emplace_back(LeaseAcquired{record_->epoch, record_->last_seq, continues_lease_});
  }
}

}  // namespace vanilladeck::operations

#include "vanilladeck/operations/impl/batch_writer.h"

#include <algorithm>
#include <utility>

#include "vanilladeck/core/hash.h"
#include "vanilladeck/operations/batch.h"

namespace vanilladeck::operations::impl {
namespace {

constexpr core::Duration kInitialBackOff = std::chrono::milliseconds(25);
constexpr core::Duration kMaxBackOff = std::chrono::seconds(1);
constexpr int kMaxDoublings = 6;

}  // namespace

core::Duration BackOff(int failures, std::uint64_t jitter_seed) noexcept {
  const auto full =
      std::min(kMaxBackOff, kInitialBackOff * (1 << std::clamp(failures - 1, 0, kMaxDoublings)));
  const std::uint64_t mixed =
      core::Hash64("backoff", jitter_seed + static_cast<std::uint64_t>(failures));
  return full / 2 + core::Duration(static_cast<std::int64_t>(
                        mixed % static_cast<std::uint64_t>(full.count() / 2)));
}

void BatchWriter::Start(std::string key, std::string value, std::uint64_t nonce,
                        core::TimePoint now) {
  *this = BatchWriter{};
  key_ = std::move(key);
  value_ = std::move(value);
  nonce_ = nonce;
  state_ = WriteState::kPending;
  started_ = now;
  not_before_ = now;
}

store::Request BatchWriter::NextRequest(core::TimePoint /*now*/) {
  outstanding_ = true;
  if (read_back_) return store::Get{key_};
  return store::CompareAndSwap{key_, value_, store::kCreateOnly};
}

WriteState BatchWriter::OnResult(const store::StoreResult& result, core::TimePoint now) {
  outstanding_ = false;
  if (!result.has_value()) return OnError(result.error(), now);
  failures_ = 0;
  const auto& reply = result.value();
  if (const auto* swap = std::get_if<store::CompareAndSwapReply>(&reply)) {
    if (swap->swapped) {
      state_ = WriteState::kDurable;
    } else if (maybe_sent_) {
      read_back_ = true;  // The SEQ may hold an earlier write of this batch.
    } else {
      state_ = WriteState::kFenced;
    }
  } else if (const auto* get = std::get_if<store::GetReply>(&reply)) {
    OnReadBack(*get);
  }
  return state_;
}

void BatchWriter::OnReadBack(const store::GetReply& reply) {
  read_back_ = false;
  if (!reply.entry) return;  // Not stored yet: send the same content again.
  const auto batch = Decode(key_, reply.entry->value);
  const bool own = batch.has_value() && batch.value().nonce == nonce_;
  state_ = own ? WriteState::kDurable : WriteState::kFenced;
}

WriteState BatchWriter::OnError(const store::StoreError& error, core::TimePoint now) {
  ++failures_;
  not_before_ = now + BackOff(failures_, nonce_);
  const bool no_effect = error.code == store::StoreErrorCode::kUnavailable ||
                         error.code == store::StoreErrorCode::kOverBudget ||
                         error.code == store::StoreErrorCode::kTooLarge;
  if (!read_back_ && !no_effect) {
    maybe_sent_ = true;
    read_back_ = true;
  }
  if (!maybe_sent_) state_ = WriteState::kNotSent;
  return state_;
}

}  // namespace vanilladeck::operations::impl

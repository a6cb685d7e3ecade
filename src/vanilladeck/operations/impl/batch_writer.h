#pragma once

#include <cstdint>
#include <string>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::operations::impl {

/// What became of the batch in flight.
enum class WriteState : std::uint8_t {
  kIdle,
  kPending,  ///< Not settled; `NextRequest` says what to send and `not_before` when.
  kDurable,  ///< The batch is in the store at its SEQ.
  kNotSent,  ///< No attempt reached the store; the content may be changed.
  kFenced,   ///< Another batch occupies the SEQ.
};

/// Brings one batch to its SEQ, whatever answers get lost.
///
/// Once a write may have reached the store, only the same content is sent to the same SEQ, and its
/// fate is read back: a write that lands late then either is this batch or fails.
class BatchWriter {
 public:
  void Start(std::string key, std::string value, std::uint64_t nonce, core::TimePoint now);

  /// The next call; valid while the state is kPending and no call is outstanding.
  [[nodiscard]] store::Request NextRequest(core::TimePoint now);

  WriteState OnResult(const store::StoreResult& result, core::TimePoint now);

  void Clear() noexcept { state_ = WriteState::kIdle; }

  [[nodiscard]] WriteState state() const noexcept { return state_; }
  [[nodiscard]] bool outstanding() const noexcept { return outstanding_; }
  [[nodiscard]] core::TimePoint not_before() const noexcept { return not_before_; }
  [[nodiscard]] core::TimePoint started() const noexcept { return started_; }

 private:
  WriteState OnError(const store::StoreError& error, core::TimePoint now);
  void OnReadBack(const store::GetReply& reply);

  std::string key_;
  std::string value_;
  std::uint64_t nonce_ = 0;
  WriteState state_ = WriteState::kIdle;
  bool outstanding_ = false;
  bool maybe_sent_ = false;  ///< Some write may have taken effect or may still do so.
  bool read_back_ = false;   ///< The next call reads the SEQ instead of writing it.
  int failures_ = 0;
  core::TimePoint started_;
  core::TimePoint not_before_;
};

/// Delay after the n-th failure in a row, with jitter so that owners do not retry in step.
[[nodiscard]] core::Duration BackOff(int failures, std::uint64_t jitter_seed) noexcept;

}  // namespace vanilladeck::operations::impl

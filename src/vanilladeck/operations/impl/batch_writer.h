#pragma once

#include <cstdint>
#include <string>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::operations::impl {

/// State of the batch in flight.
enum class WriteState : std::uint8_t {
  kIdle,
  kPending,  ///< Result not known; send `NextRequest` at `not_before`.
  kDurable,  ///< The batch is in the store at its SEQ.
  kNotSent,  ///< No write can have reached the store; the content may still be changed.
  kFenced,   ///< Another batch is stored at the SEQ.
};

/// Writes one batch to its SEQ, also when replies of the store are lost.
///
/// Once a write may have reached the store, only the same content is sent to the same SEQ, and the
/// SEQ is read back. A delayed write then either stores this batch or fails.
class BatchWriter {
 public:
  void Start(std::string key, std::string value, std::uint64_t nonce, core::TimePoint now);

  /// The next request to send. Call only while the state is kPending and no call is outstanding.
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
  bool maybe_sent_ = false;  ///< A write may have taken effect or may still do so.
  bool read_back_ = false;   ///< The next call reads the SEQ instead of writing it.
  int failures_ = 0;
  core::TimePoint started_;
  core::TimePoint not_before_;
};

/// Delay after the n-th consecutive failure: 25 ms, doubled up to 1 s. Jitter takes off up to half,
/// so that owners do not retry at the same time.
[[nodiscard]] core::Duration BackOff(int failures, std::uint64_t jitter_seed) noexcept;

}  // namespace vanilladeck::operations::impl

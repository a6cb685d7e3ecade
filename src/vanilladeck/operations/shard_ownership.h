#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/operations/now.h"
#include "vanilladeck/store/call.h"

namespace vanilladeck::operations {

struct OwnershipOptions {
  std::string shard;
  core::InstanceId self;
  core::Duration lease = std::chrono::seconds(3);
  core::Duration renewal = std::chrono::seconds(1);
};

/// The lease record, stored under `ops-owner/SHARD`.
struct OwnerRecord {
  core::InstanceId owner;
  std::uint64_t epoch = 0;      ///< Incremented by each change of the owner.
  std::uint64_t renewal = 0;    ///< Incremented by each renewal.
  std::int64_t renewed_ms = 0;  ///< Wall time of the owner, for operators only.
  std::uint64_t last_seq = 0;   ///< Last durable batch of the shard at the renewal.
  bool released = false;        ///< Released by its owner: can be acquired at once.
};

[[nodiscard]] std::string Encode(const OwnerRecord& record);
[[nodiscard]] std::optional<OwnerRecord> DecodeOwnerRecord(std::string_view value);

/// This instance now holds the lease; pass `known_seq` to `Shard::TakeOver`.
struct LeaseAcquired {
  std::uint64_t epoch = 0;
  std::uint64_t known_seq = 0;
  /// No other instance has owned the shard since this one did. A shard that is still active
  /// continues without reading its log; its appends fail if another owner has written.
  bool continued = false;
};
struct LeaseRenewed {
  core::TimePoint until;
};
/// Another instance owns the shard, or the lease expired before it was renewed.
struct LeaseLost {};
/// The record that was read from the store; tells non-owners where to send claims.
struct OwnerObserved {
  OwnerRecord record;
};

using OwnershipOutput =
    std::variant<store::Call, LeaseAcquired, LeaseRenewed, LeaseLost, OwnerObserved>;

/// Decides which instance of a failure domain owns the domain's shard.
///
/// The lease is a record that its owner rewrites every second by compare-and-swap. A peer acquires
/// it after it has read the record unchanged for a full lease on its own steady clock; clocks of
/// two instances are never compared. The owner's lease starts when it sends the successful write.
/// The log of the shard is safe even with two owners, see `Shard`.
class ShardOwnership {
 public:
  ShardOwnership(OwnershipOptions options, const Now& now);

  /// `position` is this instance's index in the rendezvous order of the domain's live instances.
  /// Position p polls every 2^p seconds, at most every 16 s, so that the reads of a domain do not
  /// grow with its size and the first instance in the order takes over first.
  void SetPosition(std::uint32_t position) noexcept { position_ = position; }

  void OnStoreResult(std::uint64_t call_id, const store::StoreResult& result, const Now& now);

  /// `last_seq` is stored with the next renewal.
  void Tick(std::uint64_t last_seq, const Now& now);

  /// Reads the record now instead of at the next poll, for instance when the owner is leaving.
  void PollNow(const Now& now) noexcept {
    if (!is_owner_ && call_ == 0) next_step_ = now.steady;
  }

  /// Releases the lease permanently. Call it after the shard has resigned, and keep calling `Tick`
  /// until `release_done`.
  void Release(const Now& now);
  [[nodiscard]] bool release_done() const noexcept;

  [[nodiscard]] bool Owns(core::TimePoint now) const noexcept {
    return is_owner_ && now < lease_until_;
  }
  [[nodiscard]] core::TimePoint lease_until() const noexcept { return lease_until_; }
  [[nodiscard]] const std::optional<OwnerRecord>& observed_record() const noexcept {
    return record_;
  }
  [[nodiscard]] core::TimePoint NextWake() const noexcept;
  [[nodiscard]] std::vector<OwnershipOutput> TakeOutputs();

 private:
  void OnRead(const store::GetReply& reply, const Now& now);
  void OnWritten(bool swapped, const Now& now);
  void OnError(const store::StoreError& error, const Now& now);
  void Write(OwnerRecord record, std::uint64_t index, const Now& now);
  void Read(const Now& now);
  void OnLeaseConfirmed(const Now& now);
  void LoseLease();
  [[nodiscard]] bool HoldsRecord() const noexcept;
  [[nodiscard]] bool CanAcquire(const Now& now) const;
  [[nodiscard]] core::Duration Jittered(core::Duration full);
  [[nodiscard]] core::Duration PollInterval();

  OwnershipOptions options_;
  std::uint32_t position_ = 0;
  std::optional<OwnerRecord> record_;
  std::uint64_t modify_index_ = 0;
  core::TimePoint unchanged_since_;  ///< When `modify_index_` was first read.
  bool have_read_ = false;

  bool is_owner_ = false;
  bool released_ = false;
  std::uint64_t held_epoch_ = 0;  ///< Epoch of the last lease held, 0 if none.
  bool continues_lease_ = false;  ///< The unconfirmed write continues that lease.
  core::TimePoint lease_until_;
  std::uint64_t last_seq_ = 0;

  std::optional<OwnerRecord> unconfirmed_write_;  ///< Result not known.
  core::TimePoint write_sent_;
  bool must_read_back_ = false;

  core::TimePoint next_step_;
  int failures_ = 0;
  std::uint64_t jitter_state_ = 0;
  std::uint64_t next_call_ = 1;
  std::uint64_t call_ = 0;  ///< The outstanding call, 0 if none.
  core::TimePoint call_sent_;
  std::vector<OwnershipOutput> outputs_;
};

}  // namespace vanilladeck::operations

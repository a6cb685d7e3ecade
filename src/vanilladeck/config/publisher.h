#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "vanilladeck/config/chain_reader.h"
#include "vanilladeck/config/publish_outcome.h"
#include "vanilladeck/config/retry_backoff.h"
#include "vanilladeck/config/version_chain.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::config {

/// The caller must call `Publisher::OnTimer` at `until`.
struct PublishWait {
  core::TimePoint until;
};

using PublishStep = std::variant<store::Request, PublishWait, PublishOutcome>;

/// Publishes one change: validates it, writes its record, then swaps the head.
///
/// State machine without I/O, one per change, with at most one outstanding call. If the reply to a
/// swap is lost, the head and the records are read and searched for the mark. Only if the head is
/// unchanged is the identical swap sent again: it has the same index, so that at most one of the
/// two can take effect.
class Publisher {
 public:
  /// `chain` is the local replica's; it is copied. `seed` is for the jitter of retries.
  Publisher(PublishRequest request, VersionChain chain, std::uint64_t seed);

  /// `highest_known` is the newest version known to the local replica and its peers. A store with a
  /// lower head was restored from a backup and must be repaired before anything is published.
  [[nodiscard]] PublishStep Begin(std::uint64_t highest_known, core::TimePoint now);
  [[nodiscard]] PublishStep OnResult(const store::StoreResult& result, std::uint64_t highest_known,
                                     core::TimePoint now);
  [[nodiscard]] PublishStep OnTimer(std::uint64_t highest_known, core::TimePoint now);

  /// Accepted versions read so far. Pass it to `Replica::OnChainRead` after every step, so that a
  /// version known here is not lost if the store is restored from a backup.
  [[nodiscard]] const VersionChain& Chain() const noexcept { return chain_; }

  /// Time limit for publishing a change; the operators' tool must wait longer than this.
  static constexpr core::Duration kPublishTimeout = std::chrono::seconds(10);
  /// Maximum number of record groups read to find out whether a change with an old base version was
  /// accepted.
  static constexpr std::uint64_t kMaxGroupsRead = 16;

 private:
  enum class State : std::uint8_t {
    kReadHead,
    kReadRecords,
    kWritePart,
    kSwapHead,
    kDeleteRecord,  ///< After a conflict, deletes the record that this publisher wrote.
  };

  [[nodiscard]] std::optional<PublishRefused> Validate();
  [[nodiscard]] PublishStep NextStep();
  [[nodiscard]] PublishStep RetryLater(std::string_view reason, core::TimePoint now);
  [[nodiscard]] PublishStep Refuse(PublishRefusal reason, std::string message);
  [[nodiscard]] PublishStep OnFailure(const store::StoreError& error, core::TimePoint now);
  [[nodiscard]] PublishStep OnHead(const store::GetReply& reply, core::TimePoint now);
  [[nodiscard]] PublishStep OnRecords(const store::ListReply& reply, core::TimePoint now);
  [[nodiscard]] PublishStep OnHeadSwapped(bool swapped);
  [[nodiscard]] PublishStep Decide();
  [[nodiscard]] PublishStep DecideOldBase();
  [[nodiscard]] PublishStep StartWrites();
  [[nodiscard]] PublishStep Conflict();
  [[nodiscard]] PublishStep Accept(bool already);

  PublishRequest request_;
  VersionChain chain_;
  std::string deployment_;
  RetryBackoff backoff_;
  State state_ = State::kReadHead;
  core::TimePoint deadline_;
  std::uint64_t highest_known_ = 0;
  std::optional<Head> store_head_;
  std::uint64_t head_index_ = store::kCreateOnly;
  std::optional<ChainReader> reader_;
  std::optional<VersionRecord> record_;  ///< The record to publish, once created.
  std::vector<store::CompareAndSwap> parts_;
  std::size_t next_part_ = 0;
  bool swap_outcome_unknown_ = false;  ///< A swap was sent and may have taken effect.
  bool old_base_was_read_ = false;
  std::optional<PublishOutcome> outcome_;
};

}  // namespace vanilladeck::config

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "vanilladeck/config/chain_reader.h"
#include "vanilladeck/config/publish_outcome.h"
#include "vanilladeck/config/retry_spread.h"
#include "vanilladeck/config/version_chain.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::config {

/// Ask the caller for `Publisher::OnTimer` at `until`.
struct PublishWait {
  core::TimePoint until;
};

using PublishStep = std::variant<store::Request, PublishWait, PublishOutcome>;

/// Publishes one change: checks it, writes its record, then swaps the head.
///
/// State machine without I/O, one per change; it has at most one call outstanding. A swap whose
/// answer was lost is settled by reading the head and the records and looking for the mark. Only
/// when that shows the head unchanged is the identical swap sent again: it names the same index,
/// so that at most one of the two can take effect.
class Publisher {
 public:
  /// `chain` is the local replica's; it is copied. `seed` spreads the repetitions.
  Publisher(PublishRequest request, VersionChain chain, std::uint64_t seed);

  /// `highest_known` is the newest version known to the local replica and its peers: a store whose
  /// head is lower was restored from a backup and must be repaired before anything is published.
  [[nodiscard]] PublishStep Begin(std::uint64_t highest_known, core::TimePoint now);
  [[nodiscard]] PublishStep OnResult(const store::StoreResult& result, std::uint64_t highest_known,
                                     core::TimePoint now);
  [[nodiscard]] PublishStep OnTimer(std::uint64_t highest_known, core::TimePoint now);

  /// Accepted versions read so far; feed it to `Replica::OnChainRead` after every step, so that a
  /// version known here is not lost when the store is restored.
  [[nodiscard]] const VersionChain& Chain() const noexcept { return chain_; }

  /// How long a change is tried; the operators' tool waits longer than this.
  static constexpr core::Duration kPublishLimit = std::chrono::seconds(10);
  /// Groups of records read to establish what became of an old base version.
  static constexpr std::uint64_t kMaxGroupsRead = 16;

 private:
  enum class State : std::uint8_t {
    kReadHead,
    kReadRecords,
    kWritePart,
    kSwapHead,
    kCleanUp,  ///< Lost; deletes the own record.
  };

  [[nodiscard]] std::optional<PublishRefused> Check();
  [[nodiscard]] PublishStep Emit();
  [[nodiscard]] PublishStep RetryLater(std::string_view reason, core::TimePoint now);
  [[nodiscard]] PublishStep Refuse(PublishRefusal reason, std::string message);
  [[nodiscard]] PublishStep OnFailure(const store::StoreError& error, core::TimePoint now);
  [[nodiscard]] PublishStep OnHead(const store::GetReply& reply, core::TimePoint now);
  [[nodiscard]] PublishStep OnRecords(const store::ListReply& reply, core::TimePoint now);
  [[nodiscard]] PublishStep OnSwapped(bool swapped);
  [[nodiscard]] PublishStep Decide();
  [[nodiscard]] PublishStep DecideOldBase();
  [[nodiscard]] PublishStep StartWrites();
  [[nodiscard]] PublishStep Conflict();
  [[nodiscard]] PublishStep Accept(bool already);

  PublishRequest request_;
  VersionChain chain_;
  std::string deployment_;
  RetrySpread spread_;
  State state_ = State::kReadHead;
  core::TimePoint deadline_;
  std::uint64_t highest_known_ = 0;
  std::optional<Head> store_head_;
  std::uint64_t head_index_ = store::kCreateOnly;
  std::optional<ChainReader> reader_;
  std::optional<VersionRecord> record_;  ///< The own record, once it was made.
  std::vector<store::CompareAndSwap> parts_;
  std::size_t next_part_ = 0;
  bool swap_unsettled_ = false;  ///< A swap was sent and its effect is not known.
  bool old_base_read_ = false;
  std::optional<PublishOutcome> outcome_;
};

}  // namespace vanilladeck::config

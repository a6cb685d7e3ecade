#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "vanilladeck/operations/batch.h"

namespace vanilladeck::operations {

enum class RecordState : std::uint8_t {
  kClaimed,   ///< The holder of the attempt may be running the operation or have run it.
  kReleased,  ///< The last attempt did not run; a new one can be claimed.
  kRan,       ///< The answer is recorded.
  kUnknown,   ///< The holder reported an unknown outcome.
};

/// State of one operation key. `service` and `holder` are numbers in the intern tables of the
/// index.
struct Record {
  RecordState state = RecordState::kClaimed;
  core::Rank rank = core::Rank::kNormal;
  bool durable = false;   ///< The last change of the record is in the store.
  bool orphaned = false;  ///< Granted by a former owner, or its outcome could not be recorded.
  std::uint32_t service = 0;
  std::uint32_t holder = 0;
  std::uint32_t attempt = 0;
  std::uint64_t claim_id = 0;
  Fingerprint fingerprint{};
  std::unique_ptr<const RecordedAnswer> answer;
};

/// Assigns consecutive numbers to values that many records share.
template <class T>
class InternTable {
 public:
  std::uint32_t Add(const T& value) {
    const auto [it, added] =
        numbers_.try_emplace(value, static_cast<std::uint32_t>(values_.size()));
    if (added) values_.push_back(value);
    return it->second;
  }
  [[nodiscard]] std::optional<std::uint32_t> Find(const T& value) const {
    const auto it = numbers_.find(value);
    return it == numbers_.end() ? std::nullopt : std::optional(it->second);
  }
  [[nodiscard]] const T& operator[](std::uint32_t number) const { return values_[number]; }
  [[nodiscard]] std::size_t size() const noexcept { return values_.size(); }

 private:
  std::unordered_map<T, std::uint32_t> numbers_;
  std::vector<T> values_;
};

/// The records of one shard in memory, rebuilt from the log at a takeover.
class RecordIndex {
 public:
  [[nodiscard]] Record* Find(const RecordId& id);

  /// Applies a log entry. Replaying the entries in log order yields the state of the shard.
  ///
  /// Returns the record of the entry; nullptr if the entry belongs to no known attempt.
  Record* Apply(const LogEntry& entry);

  void Erase(const RecordId& id);

  /// Removes the records of keys issued before `issue_ms`, rounded down to a whole minute. Returns
  /// the number of removed records.
  std::size_t Trim(std::int64_t issue_ms);

  /// Records whether the process `holder` has ended.
  void SetGone(const core::InstanceId& holder, bool gone);

  /// Call after replaying the log: marks all records durable, and open claims orphaned because a
  /// former owner granted them.
  void FinishReplay();

  /// True if the holder of a claim may no longer be working on it.
  [[nodiscard]] bool Orphaned(const Record& record) const {
    return record.orphaned || gone_[record.holder];
  }

  [[nodiscard]] std::optional<std::uint32_t> Service(const std::string& name) const {
    return services_.Find(name);
  }
  [[nodiscard]] const core::InstanceId& Holder(const Record& record) const {
    return holders_[record.holder];
  }
  [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

  /// Estimated memory of records and recorded answers, in bytes.
  [[nodiscard]] std::size_t bytes() const noexcept;

 private:
  Record* ApplyClaim(const ClaimEntry& claim);
  Record* ApplyOutcome(const OutcomeEntry& entry);
  void SubtractAnswerBytes(const Record& record);

  std::unordered_map<RecordId, Record, RecordIdHash> records_;
  /// Record ids by minute of issue, so that `Trim` does not visit every record.
  std::unordered_map<std::int64_t, std::vector<RecordId>> by_minute_;
  std::int64_t first_minute_ = 0;
  InternTable<std::string> services_;
  InternTable<core::InstanceId> holders_;
  std::vector<bool> gone_;  ///< Indexed by holder number.
  std::size_t answer_bytes_ = 0;
};

}  // namespace vanilladeck::operations

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/config/version_record.h"
#include "vanilladeck/core/result.h"

namespace vanilladeck::config {

enum class ChainErrorCode : std::uint8_t {
  kGap,              ///< A version is missing between the newest one and the record.
  kBrokenChain,      ///< `previous_hash` is not the hash of the newest record.
  kWrongHash,        ///< The record's hash does not match its fields.
  kWrongText,        ///< The rebuilt text does not match the record's text hash.
  kOtherDeployment,  ///< The record belongs to another deployment.
  kNoFullText,       ///< The first record of a chain must hold a full text.
  kMissingRecord,    ///< The store does not hold a record that the head refers to.
};

inline constexpr std::array<std::string_view, 7> kChainErrorNames{
    "gap",          "broken-chain",  "wrong-hash", "wrong-text", "other-deployment",
    "no-full-text", "missing-record"};

struct ChainError {
  ChainErrorCode code = ChainErrorCode::kGap;
  std::uint64_t version = 0;
};

[[nodiscard]] std::string Describe(const ChainError& error);

/// A bounded history of accepted versions, linked by hashes. Cheap to copy.
///
/// The oldest record always holds a full text, so that the text of every kept version can be
/// rebuilt.
class VersionChain {
 public:
  using RecordPtr = std::shared_ptr<const VersionRecord>;

  /// When there are more than `max_records`, the oldest whole groups are dropped.
  explicit VersionChain(std::size_t max_records = kDefaultMaxRecords) : max_records_(max_records) {}

  /// Verifies that the record follows the newest one and appends it; no effect on failure.
  [[nodiscard]] core::Result<void, ChainError> Append(VersionRecord record);

  /// Creates the record that follows the newest one; does not append it.
  [[nodiscard]] VersionRecord MakeNext(std::string_view text, std::string_view deployment,
                                       std::string_view who, std::int64_t when_ms,
                                       std::string_view mark) const;

  [[nodiscard]] bool IsEmpty() const noexcept { return records_.empty(); }
  [[nodiscard]] std::uint64_t OldestVersion() const noexcept;  ///< 0 when empty.
  [[nodiscard]] std::uint64_t NewestVersion() const noexcept;  ///< 0 when empty.
  [[nodiscard]] std::string NewestHash() const;                ///< Empty when empty.
  [[nodiscard]] RecordPtr Newest() const;                      ///< Null when empty.
  [[nodiscard]] RecordPtr Find(std::uint64_t version) const;   ///< Null when not kept.
  [[nodiscard]] RecordPtr FindByMark(std::string_view mark) const;

  /// Text of the newest version; null when empty.
  [[nodiscard]] std::shared_ptr<const std::string> Text() const noexcept { return text_; }
  [[nodiscard]] std::optional<std::string> TextAt(std::uint64_t version) const;
  /// Difference between two kept versions.
  [[nodiscard]] std::optional<LineDiff> Difference(std::uint64_t from, std::uint64_t to) const;

  /// Records after `version`; if some of them were dropped, those from the newest full text on.
  [[nodiscard]] std::vector<RecordPtr> RecordsAfter(std::uint64_t version) const;
  [[nodiscard]] const std::deque<RecordPtr>& Records() const noexcept { return records_; }

  /// A record takes about 600 bytes for a typical change; 1024 records cover half an hour at 47,000
  /// changes a day. Older records are read from the store.
  static constexpr std::size_t kDefaultMaxRecords = 1024;
  /// Groups are also dropped when the total content exceeds this size.
  static constexpr std::size_t kMaxContentBytes = 16'000'000;

 private:
  [[nodiscard]] core::Result<void, ChainError> Verify(const VersionRecord& record) const;
  void DropOldGroups();

  std::size_t max_records_;
  std::deque<RecordPtr> records_;
  std::size_t content_bytes_ = 0;
  std::shared_ptr<const std::string> text_;
};

}  // namespace vanilladeck::config

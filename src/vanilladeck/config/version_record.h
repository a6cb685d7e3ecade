#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/config/line_diff.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::config {

/// A full text every 64 versions bounds what a new instance reads to one group of records.
inline constexpr std::uint64_t kFullTextInterval = 64;

/// Values in the store stay below this size, header included.
inline constexpr std::size_t kMaxPartBytes = 524'288;

inline constexpr std::string_view kHeadKey = "config/head";

/// What `config/head` holds: the newest accepted version.
struct Head {
  std::uint64_t version = 0;
  std::string hash;
  std::string previous_hash;
  std::string deployment;
  std::string who;
  std::int64_t when_ms = 0;  ///< Wall time of the change.
  std::string mark;          ///< Token of the operators' tool; names one change.

  [[nodiscard]] bool operator==(const Head&) const = default;
};

/// One accepted version: its head and how to obtain its text.
struct VersionRecord {
  Head head;
  std::string text_hash;
  /// The full text, or the difference from the previous version.
  std::variant<std::string, LineDiff> content;

  [[nodiscard]] bool operator==(const VersionRecord&) const = default;
  [[nodiscard]] bool IsFullText() const noexcept {
    return std::holds_alternative<std::string>(content);
  }
};

/// Hash over the previous hash, the head's other fields and the text's hash.
[[nodiscard]] std::string RecordHash(const VersionRecord& record);

[[nodiscard]] std::string Encode(const Head& head);
[[nodiscard]] std::string Encode(const VersionRecord& record);
[[nodiscard]] std::optional<Head> DecodeHead(std::string_view text);
[[nodiscard]] std::optional<VersionRecord> DecodeRecord(std::string_view text);

/// First version of the group that holds `version`; its record carries the full text.
[[nodiscard]] constexpr std::uint64_t GroupStart(std::uint64_t version) noexcept {
  return version == 0 ? 1 : version - (version - 1) % kFullTextInterval;
}

/// Prefix below which the records of `version`'s group are kept, so that one list reads them.
[[nodiscard]] std::string GroupPrefix(std::uint64_t version);
[[nodiscard]] std::string VersionPrefix(std::uint64_t version);
/// The key contains the hash: concurrent publishers of one version never overwrite each other, and
/// a repeated or delayed write can only store the same content.
[[nodiscard]] std::string RecordPrefix(const Head& head);

/// Create-only writes of all parts of a record.
[[nodiscard]] std::vector<store::CompareAndSwap> PartWrites(const VersionRecord& record);

/// Records whose parts are all among `entries`; incomplete or malformed ones are left out.
[[nodiscard]] std::vector<VersionRecord> JoinParts(const std::vector<store::Entry>& entries);

}  // namespace vanilladeck::config

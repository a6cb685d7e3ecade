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

/// Every 64th version holds a full text, so that a new instance reads at most one group of records.
inline constexpr std::uint64_t kFullTextInterval = 64;

/// Maximum size of a value in the store, including the part header.
inline constexpr std::size_t kMaxPartBytes = 524'288;

inline constexpr std::string_view kHeadKey = "config/head";

/// Value of `config/head`: the newest accepted version.
struct Head {
  std::uint64_t version = 0;
  std::string hash;
  std::string previous_hash;
  std::string deployment;
  std::string who;
  std::int64_t when_ms = 0;  ///< Wall time of the change.
  std::string mark;          ///< Idempotency key of the change, chosen by the operators' tool.

  [[nodiscard]] bool operator==(const Head&) const = default;
};

/// One version: its head, and its text or the difference from the previous version.
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

/// SHA-256 over the previous hash, the other fields of the head and the text hash.
[[nodiscard]] std::string RecordHash(const VersionRecord& record);

[[nodiscard]] std::string Encode(const Head& head);
[[nodiscard]] std::string Encode(const VersionRecord& record);
[[nodiscard]] std::optional<Head> DecodeHead(std::string_view text);
[[nodiscard]] std::optional<VersionRecord> DecodeRecord(std::string_view text);

/// First version of the group of `version`; its record holds the full text.
[[nodiscard]] constexpr std::uint64_t GroupStart(std::uint64_t version) noexcept {
  return version == 0 ? 1 : version - (version - 1) % kFullTextInterval;
}

/// Key prefix of all records in the group of `version`, so that one list call reads them.
[[nodiscard]] std::string GroupPrefix(std::uint64_t version);
[[nodiscard]] std::string VersionPrefix(std::uint64_t version);
/// The key contains the hash, so that concurrent publishers of a version never overwrite each
/// other, and a repeated or delayed write can only store the same content.
[[nodiscard]] std::string RecordPrefix(const Head& head);

/// Create-only writes of the parts of a record.
[[nodiscard]] std::vector<store::CompareAndSwap> PartWrites(const VersionRecord& record);

/// Reassembles records from their parts; skips incomplete or malformed records.
[[nodiscard]] std::vector<VersionRecord> JoinParts(const std::vector<store::Entry>& entries);

}  // namespace vanilladeck::config

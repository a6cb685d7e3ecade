#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "vanilladeck/core/result.h"

namespace vanilladeck::operations {

enum class KeyErrorCode : std::uint8_t {
  kTooLong,
  kFieldCount,
  kShard,
  kIssueTime,
  kDigest,
  kRandom
};

inline constexpr std::array<std::string_view, 6> kKeyErrorNames{
    "key is too long",
    "key does not have four fields",
    "shard name is empty",
    "issue time is not a positive decimal number",
    "client digest is not 16 hexadecimal digits",
    "random part is not 32 hexadecimal digits"};

/// Describes a malformed operation key; `field` is the invalid part.
struct KeyError {
  KeyErrorCode code = KeyErrorCode::kFieldCount;
  std::string field;
};

/// Identity of an operation within its shard.
struct RecordId {
  std::int64_t issue_ms = 0;
  std::array<std::uint64_t, 2> random{};

  [[nodiscard]] auto operator<=>(const RecordId&) const = default;
};

struct RecordIdHash {
  [[nodiscard]] std::size_t operator()(const RecordId& id) const noexcept {
    return static_cast<std::size_t>(id.random[0] ^ static_cast<std::uint64_t>(id.issue_ms));
  }
};

/// The `Idempotency-Key` of a non-idempotent operation: `SHARD.ISSUE_MS.CLIENTDIGEST.RANDOM`.
///
/// The digest is an HMAC-SHA-256 under the deployment's salt over the client and the three other
/// fields. A client can therefore neither use another client's key nor change the shard or the
/// issue time, which determines how long the record is retained.
class OperationKey {
 public:
  /// Creates a key for `client`; `salt` is a secret shared by all instances.
  [[nodiscard]] static OperationKey Issue(std::string_view shard, std::int64_t wall_ms,
                                          std::string_view client, std::string_view salt);

  /// Checks the syntax only; `BelongsTo` verifies the digest.
  [[nodiscard]] static core::Result<OperationKey, KeyError> Parse(std::string_view text);

  [[nodiscard]] bool BelongsTo(std::string_view client, std::string_view salt) const;
  [[nodiscard]] std::string Text() const;

  [[nodiscard]] const std::string& shard() const noexcept { return shard_; }
  [[nodiscard]] const RecordId& id() const noexcept { return id_; }

 private:
  OperationKey() = default;
  [[nodiscard]] std::uint64_t Digest(std::string_view client, std::string_view salt) const;

  std::string shard_;
  RecordId id_;
  std::uint64_t digest_ = 0;
};

}  // namespace vanilladeck::operations

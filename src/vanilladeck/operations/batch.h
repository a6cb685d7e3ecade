#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/outcome.h"
#include "vanilladeck/core/rank.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/operations/claim.h"
#include "vanilladeck/operations/operation_key.h"

/// The batches of a shard's log, their encoding and their keys in the store.
namespace vanilladeck::operations {

/// First 128 bits of a request fingerprint; enough to distinguish the bodies sent with one key.
using Fingerprint = std::array<std::uint64_t, 2>;

/// Text that is not 64 lower-case hexadecimal digits is hashed with SHA-256 first.
[[nodiscard]] Fingerprint CompactFingerprint(std::string_view fingerprint);

/// A claim: `holder` may run the operation under the number `attempt`.
struct ClaimEntry {
  RecordId id;
  std::string service;
  Fingerprint fingerprint{};
  core::Rank rank = core::Rank::kNormal;
  core::InstanceId holder;
  std::uint64_t claim_id = 0;
  std::uint64_t attempt = 0;
};

/// The outcome of an attempt; kNotRun releases the claim.
struct OutcomeEntry {
  RecordId id;
  std::uint64_t attempt = 0;
  core::Outcome outcome = core::Outcome::kUnknown;
  std::optional<RecordedAnswer> answer;  ///< Present exactly when the outcome is kRan.
};

using LogEntry = std::variant<ClaimEntry, OutcomeEntry>;

/// Upper bound of the number of bytes that `entry` adds to an encoded batch.
[[nodiscard]] std::size_t EncodedBytes(const LogEntry& entry);

/// A group of log entries, stored as one value under `BatchKey`.
struct Batch {
  std::uint64_t epoch = 0;
  core::InstanceId owner;
  bool takes_over = false;  ///< First batch of its epoch; its owner has read the log up to here.
  std::uint64_t nonce = 0;  ///< Distinguishes this write from any other write to the same SEQ.
  std::int64_t wall_ms = 0;
  /// Operations whose keys were issued up to this time may have run although the log has no record
  /// of them; 0 if no batch was lost.
  std::int64_t unknown_until_ms = 0;
  std::uint64_t log_start_seq = 0;  ///< Batches before this SEQ may have been deleted.
  std::vector<LogEntry> entries;
};

struct BatchError {
  std::string key;
  std::string reason;
};

[[nodiscard]] std::string Encode(const Batch& batch);
[[nodiscard]] core::Result<Batch, BatchError> Decode(std::string_view key, std::string_view value);

/// Batches per bucket. The bucket is derived from SEQ. If it were derived from time, two owners
/// could create the same SEQ in different buckets, and create-only writes would not fence.
inline constexpr std::uint64_t kBatchesPerBucket = 256;

[[nodiscard]] std::string ShardPrefix(std::string_view shard);
[[nodiscard]] std::string BucketPrefix(std::string_view shard, std::uint64_t bucket);
[[nodiscard]] std::string BatchKey(std::string_view shard, std::uint64_t seq);
/// Returns the SEQ of a key in the form of `BatchKey`; nullopt for any other key.
[[nodiscard]] std::optional<std::uint64_t> ParseBatchKey(std::string_view shard,
                                                         std::string_view key);

}  // namespace vanilladeck::operations

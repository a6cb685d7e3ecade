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

/// The batches of which a shard's log consists, and their place in the store.
namespace vanilladeck::operations {

/// 128 bits of the request's fingerprint; enough to tell bodies of one client's key apart.
using Fingerprint = std::array<std::uint64_t, 2>;

[[nodiscard]] Fingerprint CompactFingerprint(std::string_view fingerprint);

/// `holder` may run the operation under `attempt`.
struct ClaimEntry {
  RecordId id;
  std::string service;
  Fingerprint fingerprint{};
  core::Rank rank = core::Rank::kNormal;
  core::InstanceId holder;
  std::uint64_t claim_id = 0;
  std::uint64_t attempt = 0;
};

/// The end of an attempt; kNotRun releases the claim.
struct OutcomeEntry {
  RecordId id;
  std::uint64_t attempt = 0;
  core::Outcome outcome = core::Outcome::kUnknown;
  std::optional<RecordedAnswer> answer;  ///< Present exactly when the outcome is kRan.
};

using LogEntry = std::variant<ClaimEntry, OutcomeEntry>;

/// Upper bound of the bytes that `entry` adds to an encoded batch.
[[nodiscard]] std::size_t EncodedBytes(const LogEntry& entry);

/// One value in the store.
struct Batch {
  std::uint64_t epoch = 0;
  core::InstanceId owner;
  bool takes_over = false;  ///< First batch of its epoch; its owner has read the log before it.
  std::uint64_t nonce = 0;  ///< Tells this write from any other write to the same SEQ.
  std::int64_t wall_ms = 0;
  /// Keys issued up to this time and absent from the log may have run; 0 when the log is whole.
  std::int64_t unknown_until_ms = 0;
  std::uint64_t floor_seq = 0;  ///< Batches below may have been deleted.
  std::vector<LogEntry> entries;
};

struct BatchError {
  std::string key;
  std::string reason;
};

[[nodiscard]] std::string Encode(const Batch& batch);
[[nodiscard]] core::Result<Batch, BatchError> Decode(std::string_view key, std::string_view value);

/// Batches per bucket. The bucket is a function of SEQ: were it a function of time, two owners
/// could create the same SEQ in different buckets, and create-only writes would no longer fence.
inline constexpr std::uint64_t kBatchesPerBucket = 256;

[[nodiscard]] std::string ShardPrefix(std::string_view shard);
[[nodiscard]] std::string BucketPrefix(std::string_view shard, std::uint64_t bucket);
[[nodiscard]] std::string BatchKey(std::string_view shard, std::uint64_t seq);
/// Reads SEQ from a key that `BatchKey` made.
[[nodiscard]] std::optional<std::uint64_t> SeqOf(std::string_view shard, std::string_view key);

}  // namespace vanilladeck::operations

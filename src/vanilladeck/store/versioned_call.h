#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/core/result.h"
#include "vanilladeck/store/position.h"

/// Typed calls on a key-value store with a store-wide revision counter, change history and leases.
///
/// A `VersionedCodec` translates them to a platform's protocol.
namespace vanilladeck::store {

struct Item {
  std::string key;
  std::string value;
  Position position;  ///< Of the last write.
};

/// A written item or, if `removed`, the removal of an item.
struct Change {
  Item item;
  bool removed = false;
};

/// Reads one page of the items below `prefix`.
struct ReadRange {
  std::string prefix;
  std::string after_key;      ///< Last key of the previous page; empty for the first.
  bool may_be_stale = false;  ///< Allows a cheaper read that may miss the last seconds.
};

/// Blocks for up to `wait` until there are changes after `after`.
struct WatchChanges {
  std::string prefix;
  Position after;
  std::chrono::milliseconds wait{0};
};

struct GrantLease {
  std::chrono::milliseconds ttl{0};
};

struct RenewLease {
  std::int64_t lease = 0;
};

/// Writes `value`; the key is removed when the lease ends.
struct PutItem {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
};

struct DeleteItem {
  std::string key;
};

using VersionedCall =
    std::variant<ReadRange, WatchChanges, GrantLease, RenewLease, PutItem, DeleteItem>;

inline constexpr std::array<std::string_view, 6> kVersionedCallNames{
    "read-range", "watch", "grant-lease", "renew-lease", "put", "delete"};

struct RangePage {
  std::vector<Item> items;
  bool more = false;
  Position position;  ///< Of the store, not of an item.
};

struct Changes {
  std::vector<Change> changes;
  Position position;  ///< To continue from in the next watch.
};

struct LeaseGranted {
  std::int64_t lease = 0;
  std::chrono::milliseconds ttl{0};
};

struct Done {};

using VersionedAnswer = std::variant<RangePage, Changes, LeaseGranted, Done>;

enum class CallErrorCode : std::uint8_t {
  kUnreachable,  ///< Not sent.
  kNoAnswer,     ///< Sent; a write may have taken effect or may still do so.
  kRefused,      ///< The store is overloaded or rejects this instance; no effect.
  kHistoryLost,  ///< The changes after the revision have been compacted.
  kLeaseEnded,   ///< No such lease.
  kConflict,     ///< A condition did not hold; no effect.
  kMalformed,    ///< The response cannot be parsed.
  kOtherEra,     ///< The response is of another era than the known one; a write may have been lost.
};

inline constexpr std::array<std::string_view, 8> kCallErrorNames{
    "unreachable", "no-answer", "refused",   "history-lost",
    "lease-ended", "conflict",  "malformed", "other-era"};

struct CallError {
  CallErrorCode code = CallErrorCode::kUnreachable;
  std::string detail;
};

using VersionedResult = core::Result<VersionedAnswer, CallError>;

/// A call as an HTTP request.
struct EncodedCall {
  std::string method;
  std::string target;
  std::string body;  ///< Empty if there is none.
};

/// Returns the value of a header field of a response; null if it has none of that name.
using FieldOf = std::function<std::optional<std::string>(std::string_view name)>;

/// Encodes calls and decodes responses; implemented by the adapter of a platform.
class VersionedCodec {
 public:
  virtual ~VersionedCodec() = default;
  [[nodiscard]] virtual EraReading DecodeEra(const FieldOf& field) const = 0;
  [[nodiscard]] virtual EncodedCall Encode(const VersionedCall& call) const = 0;
  /// `era` is that of the response.
  [[nodiscard]] virtual VersionedResult Decode(const VersionedCall& call, unsigned status,
                                               const std::string& body, Era era) const = 0;
};

}  // namespace vanilladeck::store

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/core/result.h"

/// Typed calls on the platform's key-value store.
///
/// State machines without I/O emit `Request` values and receive `Reply` values; the store client
/// translates them to HTTP calls. Values are at most `kMaxValueBytes` long.
namespace vanilladeck::store {

inline constexpr std::size_t kMaxValueBytes = 1'000'000;

/// Index for `CompareAndSwap` that lets the call succeed only if the key does not exist.
inline constexpr std::uint64_t kCreateOnly = 0;

/// A stored key with the index of its last modification.
struct Entry {
  std::string key;
  std::string value;
  std::uint64_t modify_index = 0;
};

struct Get {
  std::string key;
};

/// Reads every key below `prefix`.
struct List {
  std::string prefix;
};

/// Writes `value` if the key's modification index still equals `index`.
struct CompareAndSwap {
  std::string key;
  std::string value;
  std::uint64_t index = kCreateOnly;
};

/// Blocking read: returns when the key's index exceeds `index` or after `wait`.
struct Watch {
  std::string key;
  std::uint64_t index = 0;
  std::chrono::milliseconds wait{0};
};

struct DeletePrefix {
  std::string prefix;
};

/// Reads the platform's list of the instances of a service.
struct ListInstances {
  std::string service;
};

using Request = std::variant<Get, List, CompareAndSwap, Watch, DeletePrefix, ListInstances>;

enum class InstanceState : std::uint8_t { kLive, kLeaving };

/// One row of the platform's instance list, which is eventually consistent.
struct ListedInstance {
  std::string service;
  std::string address;  ///< "IP:port"
  std::string failure_domain;
  InstanceState state = InstanceState::kLive;
};

/// Reply to `Get` and `Watch`; `index` is the value to pass to the next `Watch`.
struct GetReply {
  std::optional<Entry> entry;
  std::uint64_t index = 0;
};

struct ListReply {
  std::vector<Entry> entries;  ///< Ordered by key.
};

/// `swapped` is false if the key had another index and nothing was written.
struct CompareAndSwapReply {
  bool swapped = false;
};

struct DeletePrefixReply {};

struct ListInstancesReply {
  std::vector<ListedInstance> instances;
};

using Reply =
    std::variant<GetReply, ListReply, CompareAndSwapReply, DeletePrefixReply, ListInstancesReply>;

enum class StoreErrorCode : std::uint8_t {
  kUnavailable,     ///< The call was not sent; it had no effect.
  kOutcomeUnknown,  ///< The call was sent but not answered; a write may have taken effect or may
                    ///< still do so later.
  kOverBudget,      ///< Refused by the local call budget; it had no effect.
  kTooLarge,        ///< The value exceeds `kMaxValueBytes`; it had no effect.
  kProtocol,        ///< The response of the store cannot be parsed.
};

inline constexpr std::array<std::string_view, 5> kStoreErrorNames{
    "unavailable", "outcome-unknown", "over-budget", "too-large", "protocol"};

/// Failure of a store call.
struct StoreError {
  StoreErrorCode code = StoreErrorCode::kUnavailable;
  std::string key;
};

using StoreResult = core::Result<Reply, StoreError>;

}  // namespace vanilladeck::store

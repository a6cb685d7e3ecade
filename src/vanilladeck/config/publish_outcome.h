#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/config/config_error.h"
#include "vanilladeck/config/version_chain.h"

namespace vanilladeck::config {

/// A change requested by an operator.
struct PublishRequest {
  std::string text;
  std::uint64_t base_version = 0;  ///< Version that the change is based on; 0 for the first text.
  std::string who;
  std::string mark;  ///< Idempotency key chosen by the operators' tool; the same for every retry.
  std::int64_t when_ms = 0;
};

/// The change is in force from `head.version` on.
struct PublishAccepted {
  Head head;
  /// The chain up to the accepted version, for the local replica.
  VersionChain chain;
  bool already_accepted = false;  ///< An earlier attempt with the same mark succeeded.
};

/// Another change was accepted first; this one was not accepted and will not be.
struct PublishConflict {
  std::uint64_t base_version = 0;
  std::vector<Head> changes;  ///< Versions accepted since the base, oldest first.
  std::string difference;     ///< From the base text to the newest; empty if the base is not kept.
};

enum class PublishRefusal : std::uint8_t {
  kInvalidText,
  kInvalidRequest,
  kOtherDeployment,
  kUnknownBase,
  kMarkReused,
  kStoreUnavailable,
  kStoreBehind,
  kBrokenHistory,
};

inline constexpr std::array<std::string_view, 8> kPublishRefusalNames{
    "invalid-text", "invalid-request",   "other-deployment", "unknown-base",
    "mark-reused",  "store-unavailable", "store-behind",     "broken-history"};

/// The change was not accepted and will not be.
struct PublishRefused {
  PublishRefusal reason = PublishRefusal::kInvalidText;
  std::string message;
  std::vector<ConfigError> errors;  ///< For `kInvalidText`.
};

/// It is unknown whether the change is accepted; retry it with the same mark to find out.
struct PublishUnknown {
  std::string message;
  /// The record that may be accepted later, for `Replica::OnUnknownOutcome`.
  std::optional<VersionRecord> record;
};

using PublishOutcome =
    std::variant<PublishAccepted, PublishConflict, PublishRefused, PublishUnknown>;

}  // namespace vanilladeck::config

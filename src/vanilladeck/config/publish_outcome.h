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

/// A change that an operator asks for.
struct PublishRequest {
  std::string text;
  std::uint64_t base_version = 0;  ///< Version the operator edited; 0 for the first text.
  std::string who;
  std::string mark;  ///< Chosen by the operators' tool; the same for every repetition.
  std::int64_t when_ms = 0;
};

/// The change is in force from `head.version` on.
struct PublishAccepted {
  Head head;
  /// The accepted chain, for the local replica.
  VersionChain chain;
  bool already_accepted = false;  ///< An earlier attempt with the same mark had succeeded.
};

/// Another change came first; this one was not accepted and will not be.
struct PublishConflict {
  std::uint64_t base_version = 0;
  std::vector<Head> changes;  ///< What was accepted since the base, oldest first.
  std::string difference;     ///< From the base text to the newest; empty when not kept.
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

/// The change may or may not be accepted; repeat it with the same mark to learn more.
struct PublishUnknown {
  std::string message;
  /// The record that may be accepted later, for `Replica::OnUnknownOutcome`.
  std::optional<VersionRecord> record;
};

using PublishOutcome =
    std::variant<PublishAccepted, PublishConflict, PublishRefused, PublishUnknown>;

}  // namespace vanilladeck::config

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace vanilladeck::config {

/// The validation rule that a deployment text violates.
enum class ConfigErrorCode : std::uint8_t {
  kMalformedToml,
  kUnknownKey,
  kWrongType,
  kMissingKey,
  kInvalidName,
  kInvalidValue,
  kNotPositive,
  kOutOfRange,
  kDuplicateName,
  kUnknownReference,
  kDependencyCycle,
  kServiceWithoutPlace,
  kRegionWithoutFailureDomain,
  kFloorAboveOne,
  kCapAboveCapacity,
  kInvalidPrefix,
  kOverlappingBlocks,
};

inline constexpr std::array<std::string_view, 17> kConfigErrorNames{
    "malformed-toml",
    "unknown-key",
    "wrong-type",
    "missing-key",
    "invalid-name",
    "invalid-value",
    "not-positive",
    "out-of-range",
    "duplicate-name",
    "unknown-reference",
    "dependency-cycle",
    "service-without-place",
    "region-without-failure-domain",
    "floor-above-one",
    "cap-above-capacity",
    "invalid-prefix",
    "overlapping-blocks",
};

[[nodiscard]] constexpr std::string_view Name(ConfigErrorCode code) noexcept {
  return kConfigErrorNames[static_cast<std::size_t>(code)];
}

/// 1-based line and column in a text.
struct SourcePosition {
  std::uint32_t line = 1;
  std::uint32_t column = 1;
};

/// A violated rule, with its position in the deployment text.
struct ConfigError {
  ConfigErrorCode code = ConfigErrorCode::kMalformedToml;
  std::string file;
  SourcePosition at;
  std::string message;
};

/// Formats as "FILE:LINE:COLUMN: RULE: MESSAGE".
[[nodiscard]] std::string Describe(const ConfigError& error);

/// One line per error.
[[nodiscard]] std::string Describe(const std::vector<ConfigError>& errors);

}  // namespace vanilladeck::config

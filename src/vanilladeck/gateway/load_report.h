#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "vanilladeck/core/result.h"
#include "vanilladeck/steering/server.h"

namespace vanilladeck::gateway {

/// Why a server's report of its load cannot be read.
enum class LoadReportError : std::uint8_t {
  kTooFewEntries,
  kMalformedEntry,
  kOutOfRange,
};

inline constexpr std::array<std::string_view, 3> kLoadReportErrorNames{
    "too-few-entries", "malformed-entry", "out-of-range"};

/// Parses "running,waiting,slots[,slowdown[,...]]", where the slowdown is in percent of the usual
/// time that work takes.
///
/// The first three entries are required. A slowdown that is absent, malformed or not positive is
/// not stated, and entries after it are ignored, so that a report that gains entries loses none of
/// its known part.
[[nodiscard]] core::Result<steering::ServerLoad, LoadReportError> ParseLoadReport(
    std::string_view text);

}  // namespace vanilladeck::gateway

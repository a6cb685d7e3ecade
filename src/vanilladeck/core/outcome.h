#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace vanilladeck::core {

/// What is known about whether a backend server executed a request.
enum class Outcome : std::uint8_t {
  kNotRun,   ///< No byte reached a backend server, or the server reported that it did not run it.
  kUnknown,  ///< The request may or may not have run.
  kRan,      ///< The request ran.
};

inline constexpr std::array<std::string_view, 3> kOutcomeNames{"not-run", "unknown", "ran"};

[[nodiscard]] constexpr std::string_view Name(Outcome outcome) noexcept {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

[[nodiscard]] constexpr std::optional<Outcome> ParseOutcome(std::string_view name) noexcept {
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
    if (kOutcomeNames[i] == name) return static_cast<Outcome>(i);
  }
  return std::nullopt;
}

}  // namespace vanilladeck::core

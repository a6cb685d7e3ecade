#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace vanilladeck::core {

/// Priority class of a request, most urgent first.
enum class Rank : std::uint8_t { kUrgent, kNormal, kBulk };

inline constexpr std::size_t kRankCount = 3;
inline constexpr std::array<Rank, kRankCount> kAllRanks{Rank::kUrgent, Rank::kNormal, Rank::kBulk};
inline constexpr std::array<std::string_view, kRankCount> kRankNames{"urgent", "normal", "bulk"};

/// Values indexed by rank, see `Index`.
template <class T>
using PerRank = std::array<T, kRankCount>;

[[nodiscard]] constexpr std::size_t Index(Rank rank) noexcept {
  return static_cast<std::size_t>(rank);
}

[[nodiscard]] constexpr std::string_view Name(Rank rank) noexcept {
  return kRankNames[Index(rank)];
}

[[nodiscard]] constexpr std::optional<Rank> ParseRank(std::string_view name) noexcept {
  for (Rank rank : kAllRanks) {
    if (Name(rank) == name) return rank;
  }
  return std::nullopt;
}

/// Maps an RFC 9218 urgency (0 to 7) to a rank: 0-1 urgent, 2-4 normal, 5-7 bulk.
[[nodiscard]] constexpr Rank RankFromUrgency(int urgency) noexcept {
  if (urgency <= 1) return Rank::kUrgent;
  return urgency <= 4 ? Rank::kNormal : Rank::kBulk;
}

}  // namespace vanilladeck::core

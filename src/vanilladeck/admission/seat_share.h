#pragma once

#include <cstdint>
#include <string_view>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::admission {

/// Share of `total` (slots or connections of one server) of seat `seat` out of `seat_count`.
///
/// The remainder rotates by a hash of the server's address, not by its list position, so that
/// instances with differently ordered lists agree. The shares of all seats sum to `total`.
[[nodiscard]] constexpr std::uint32_t SeatShare(std::uint32_t total, std::string_view address,
                                                std::uint32_t seat,
                                                std::uint32_t seat_count) noexcept {
  if (seat_count == 0 || seat >= seat_count) return 0;
  const auto offset = static_cast<std::uint32_t>(core::Hash64(address) % seat_count);
  const std::uint32_t position = (seat + offset) % seat_count;
  return total / seat_count + (position < total % seat_count ? 1U : 0U);
}

}  // namespace vanilladeck::admission

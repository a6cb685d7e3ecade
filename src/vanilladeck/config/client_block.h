#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>

namespace vanilladeck::config {

/// A CIDR prefix. IPv4 prefixes are mapped into ::ffff:0:0/96, so that both address families can
/// be compared.
struct ClientBlock {
  std::array<std::uint8_t, 16> address{};
  std::uint8_t bits = 0;  ///< Prefix length of the mapped address, 0 to 128.

  [[nodiscard]] bool operator==(const ClientBlock&) const = default;
  /// Orders by address, enclosing blocks before the blocks they contain.
  [[nodiscard]] bool operator<(const ClientBlock& other) const noexcept {
    return std::tie(address, bits) < std::tie(other.address, other.bits);
  }
  [[nodiscard]] bool Contains(const std::array<std::uint8_t, 16>& other) const noexcept;
};

/// Parses "ADDRESS/BITS". Fails when a bit beyond the prefix length is set.
[[nodiscard]] std::optional<ClientBlock> ParseClientBlock(std::string_view text);

/// Parses an IPv4 or IPv6 address; IPv4 addresses are mapped.
[[nodiscard]] std::optional<std::array<std::uint8_t, 16>> ParseClientAddress(std::string_view text);

}  // namespace vanilladeck::config

#include "vanilladeck/config/client_block.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace vanilladeck::config {
namespace {

constexpr std::uint8_t kMappedPrefixBits = 96;

std::array<std::uint8_t, 16> Masked(std::array<std::uint8_t, 16> address, unsigned bits) noexcept {
  for (unsigned i = 0; i < address.size(); ++i) {
    const unsigned kept_bits = std::clamp(static_cast<int>(bits) - static_cast<int>(8 * i), 0, 8);
    address[i] &= static_cast<std::uint8_t>(0xFFU << (8 - kept_bits));
  }
  return address;
}

}  // namespace

bool ClientBlock::Contains(const std::array<std::uint8_t, 16>& other) const noexcept {
  return Masked(other, bits) == address;
}

std::optional<std::array<std::uint8_t, 16>> ParseClientAddress(std::string_view text) {
  namespace ip = boost::asio::ip;
  boost::system::error_code ec;
  const auto address = ip::make_address(std::string(text), ec);
  if (ec) return std::nullopt;
  if (address.is_v6()) return address.to_v6().to_bytes();
  return ip::make_address_v6(ip::v4_mapped, address.to_v4()).to_bytes();
}

std::optional<ClientBlock> ParseClientBlock(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto address = ParseClientAddress(text.substr(0, slash));
  const auto digits = text.substr(slash + 1);
  unsigned bits = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), bits);
  if (!address || ec != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  const bool is_v4 = text.substr(0, slash).find(':') == std::string_view::npos;
  if (bits > (is_v4 ? 32U : 128U)) return std::nullopt;
  if (is_v4) bits += kMappedPrefixBits;
  if (Masked(*address, bits) != *address) return std::nullopt;
  return ClientBlock{*address, static_cast<std::uint8_t>(bits)};
}

}  // namespace vanilladeck::config

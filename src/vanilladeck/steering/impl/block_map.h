#pragma once

#include <array>
#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Longest-prefix match from client addresses to region numbers.
namespace vanilladeck::steering::impl {

using RegionIndex = std::uint16_t;
inline constexpr RegionIndex kNoRegion = 0xFFFF;

/// An IPv6 address as a number; IPv4 addresses are 32-bit integers.
struct Address128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  [[nodiscard]] bool operator==(const Address128&) const = default;
  [[nodiscard]] bool operator<(const Address128& other) const noexcept {
    return high != other.high ? high < other.high : low < other.low;
  }
};

/// Client blocks flattened to disjoint ranges: two parallel sorted arrays per address family.
///
/// Lookup is a binary search, narrowed for IPv4 by an index on the top 16 bits. A range takes 6
/// bytes for IPv4 and 18 for IPv6, and each block yields at most two ranges.
class BlockMap {
 public:
  class Builder {
   public:
    /// False if `cidr` is not a valid IPv4 or IPv6 prefix with all host bits zero.
    [[nodiscard]] bool Add(std::string_view cidr, RegionIndex region);
    void Reserve(std::size_t v4_blocks, std::size_t v6_blocks);
    /// Sorts and flattens; the builder is empty afterwards.
    [[nodiscard]] BlockMap Build();

   private:
    template <class Number>
    struct Block {
      Number first{};
      RegionIndex region = kNoRegion;
      std::uint8_t length = 0;
    };
    std::vector<Block<std::uint32_t>> v4_;
    std::vector<Block<Address128>> v6_;
    friend class BlockMap;
  };

  /// Region of the longest matching block, `kNoRegion` if there is none.
  [[nodiscard]] RegionIndex Find(const boost::asio::ip::address& address) const noexcept;

  [[nodiscard]] std::size_t Ranges() const noexcept {
    return v4_.starts.size() + v6_.starts.size();
  }
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  template <class Number>
  struct RangeArrays {
    std::vector<Number> starts;
    std::vector<RegionIndex> regions;
  };

  template <class Number>
  static RangeArrays<Number> Flatten(std::vector<Builder::Block<Number>>& blocks);

  RangeArrays<std::uint32_t> v4_;
  RangeArrays<Address128> v6_;
  std::vector<std::uint32_t> v4_index_;  ///< First range at or after each value of the top 16 bits.
};

}  // namespace vanilladeck::steering::impl

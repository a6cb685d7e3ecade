#include "vanilladeck/steering/impl/block_map.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

namespace vanilladeck::steering::impl {
namespace {

namespace ip = boost::asio::ip;

constexpr unsigned kIndexBits = 16;
constexpr unsigned kV4Bits = 32;
constexpr unsigned kV6Bits = 128;
constexpr unsigned kHalfBits = 64;

constexpr unsigned Bits(std::uint32_t) { return kV4Bits; }
constexpr unsigned Bits(const Address128&) { return kV6Bits; }

Address128 ToNumber(const ip::address_v6& address) {
  Address128 number;
  const auto bytes = address.to_bytes();
  constexpr std::size_t kHalf = 8;
  for (std::size_t i = 0; i < kHalf; ++i) number.high = (number.high << 8U) | bytes[i];
  for (std::size_t i = kHalf; i < bytes.size(); ++i) number.low = (number.low << 8U) | bytes[i];
  return number;
}

/// Mask of the bits after the prefix; `width` is 32 or 64.
template <class Word>
Word HostMask(unsigned length, unsigned width) {
  if (length >= width) return 0;
  return static_cast<Word>(~Word{0}) >> length;
}

std::uint32_t Last(std::uint32_t first, unsigned length) {
  return first | HostMask<std::uint32_t>(length, kV4Bits);
}

Address128 Last(const Address128& first, unsigned length) {
  const unsigned high = std::min(length, kHalfBits);
  const unsigned low = length - high;
  return {first.high | HostMask<std::uint64_t>(high, kHalfBits),
          first.low | HostMask<std::uint64_t>(low, kHalfBits)};
}

bool HostBitsZero(std::uint32_t first, unsigned length) {
  return (first & HostMask<std::uint32_t>(length, kV4Bits)) == 0;
}

bool HostBitsZero(const Address128& first, unsigned length) {
  const unsigned high = std::min(length, kHalfBits);
  return (first.high & HostMask<std::uint64_t>(high, kHalfBits)) == 0 &&
         (first.low & HostMask<std::uint64_t>(length - high, kHalfBits)) == 0;
}

/// Parses "a.b.c.d" without leading zeros, like `inet_pton` but without copying the text.
std::optional<std::uint32_t> ParseV4(std::string_view text) {
  constexpr unsigned kParts = 4;
  constexpr unsigned kMaxPart = 255;
  std::uint32_t number = 0;
  const char* at = text.data();
  const char* const end = at + text.size();
  for (unsigned part = 0; part < kParts; ++part) {
    if (part > 0 && (at == end || *at++ != '.')) return std::nullopt;
    std::uint32_t value = 0;
    const auto parsed = std::from_chars(at, end, value);
    const bool leading_zero = parsed.ptr - at > 1 && *at == '0';
    if (parsed.ec != std::errc{} || value > kMaxPart || leading_zero) return std::nullopt;
    number = (number << 8U) | value;
    at = parsed.ptr;
  }
  return at == end ? std::optional(number) : std::nullopt;
}

/// Advances to the next address; false at the end of the address space.
bool Increment(std::uint32_t& number) { return ++number != 0; }

bool Increment(Address128& number) {
  if (++number.low != 0) return true;
  return ++number.high != 0;
}

}  // namespace

bool BlockMap::Builder::Add(std::string_view cidr, RegionIndex region) {
  const std::size_t slash = cidr.find('/');
  if (slash == std::string_view::npos) return false;
  const std::string_view digits = cidr.substr(slash + 1);
  unsigned length = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length);
  if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) return false;
  const std::string_view base = cidr.substr(0, slash);
  const auto short_length = static_cast<std::uint8_t>(length);
  if (base.find(':') == std::string_view::npos) {
    const auto first = ParseV4(base);
    if (!first || length > kV4Bits || !HostBitsZero(*first, length)) return false;
    v4_.push_back({*first, region, short_length});
    return true;
  }
  boost::system::error_code ec;
  const Address128 first = ToNumber(ip::make_address_v6(std::string(base), ec));
  if (ec || length > kV6Bits || !HostBitsZero(first, length)) return false;
  v6_.push_back({first, region, short_length});
  return true;
}

void BlockMap::Builder::Reserve(std::size_t v4_blocks, std::size_t v6_blocks) {
  v4_.reserve(v4_blocks);
  v6_.reserve(v6_blocks);
}

BlockMap BlockMap::Builder::Build() {
  BlockMap map;
  map.v4_ = Flatten(v4_);
  map.v6_ = Flatten(v6_);
  constexpr std::size_t kIndexSize = std::size_t{1} << kIndexBits;
  map.v4_index_.resize(kIndexSize + 1);
  std::size_t range = 0;
  for (std::size_t top = 0; top < kIndexSize; ++top) {
    const auto start = static_cast<std::uint32_t>(top << (kV4Bits - kIndexBits));
    while (range < map.v4_.starts.size() && map.v4_.starts[range] < start) ++range;
    map.v4_index_[top] = static_cast<std::uint32_t>(range);
  }
  map.v4_index_[kIndexSize] = static_cast<std::uint32_t>(map.v4_.starts.size());
  return map;
}

template <class Number>
BlockMap::RangeArrays<Number> BlockMap::Flatten(std::vector<Builder::Block<Number>>& blocks) {
  using Block = Builder::Block<Number>;
  // Equal blocks are ordered by region, so that all instances build the same map.
  std::ranges::sort(blocks, [](const Block& a, const Block& b) {
    if (a.first != b.first) return a.first < b.first;
    return a.length != b.length ? a.length < b.length : a.region < b.region;
  });
  RangeArrays<Number> ranges;
  const auto emit = [&ranges](const Number& start, RegionIndex region) {
    if (!ranges.starts.empty() && ranges.starts.back() == start) {
      ranges.starts.pop_back();
      ranges.regions.pop_back();
    }
    if (!ranges.regions.empty() && ranges.regions.back() == region) return;
    if (ranges.regions.empty() && region == kNoRegion) return;
    ranges.starts.push_back(start);
    ranges.regions.push_back(region);
  };
  std::vector<Block> open;  // Enclosing blocks, innermost last.
  const auto close_until = [&](const Number* limit) {
    while (!open.empty()) {
      Number after = Last(open.back().first, open.back().length);
      if (limit != nullptr && !(after < *limit)) return;
      open.pop_back();
      if (!Increment(after)) continue;  // The block reaches the end of the address space.
      emit(after, open.empty() ? kNoRegion : open.back().region);
    }
  };
  for (const Block& block : blocks) {
    close_until(&block.first);
    emit(block.first, block.region);
    open.push_back(block);
  }
  close_until(nullptr);
  std::vector<Block>().swap(blocks);
  ranges.starts.shrink_to_fit();
  ranges.regions.shrink_to_fit();
  return ranges;
}

RegionIndex BlockMap::Find(const ip::address& address) const noexcept {
  const auto pick = [](const auto& ranges, auto begin, auto end, const auto& number) {
    const auto it = std::upper_bound(begin, end, number);
    if (it == ranges.starts.begin()) return kNoRegion;
    return ranges.regions[static_cast<std::size_t>(it - ranges.starts.begin()) - 1];
  };
  if (address.is_v6() && !address.to_v6().is_v4_mapped()) {
    return pick(v6_, v6_.starts.begin(), v6_.starts.end(), ToNumber(address.to_v6()));
  }
  const std::uint32_t number = address.is_v4()
                                   ? address.to_v4().to_uint()
                                   : ip::make_address_v4(ip::v4_mapped, address.to_v6()).to_uint();
  if (v4_index_.empty()) return kNoRegion;
  const std::size_t top = number >> (kV4Bits - kIndexBits);
  const auto begin = v4_.starts.begin();
  return pick(v4_, begin + v4_index_[top], begin + v4_index_[top + 1], number);
}

std::size_t BlockMap::Bytes() const noexcept {
  return v4_.starts.capacity() * sizeof(std::uint32_t) +
         v6_.starts.capacity() * sizeof(Address128) +
         (v4_.regions.capacity() + v6_.regions.capacity()) * sizeof(RegionIndex) +
         v4_index_.capacity() * sizeof(std::uint32_t);
}

}  // namespace vanilladeck::steering::impl

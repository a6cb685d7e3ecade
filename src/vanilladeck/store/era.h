#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace vanilladeck::store {

/// Number that the store raises by one each time that it returns from an older copy of its data. 0
/// also stands for a store that states none.
using Era = std::int64_t;

/// Largest era that is believed: numbers up to here are exact in all JSON readers.
inline constexpr Era kMaxEra = Era{1} << 53U;

struct NoEra {};

/// An era that cannot be read.
struct UnreadableEra {
  std::string text;
};

/// What a response of the store states as its era.
using EraReading = std::variant<NoEra, UnreadableEra, Era>;

}  // namespace vanilladeck::store

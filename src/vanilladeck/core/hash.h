#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace vanilladeck::core {

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view text);

/// 64-bit FNV-1a with a finalizer; not cryptographic, use for placement only.
[[nodiscard]] constexpr std::uint64_t Hash64(std::string_view text,
                                             std::uint64_t seed = 0) noexcept {
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
  for (char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

}  // namespace vanilladeck::core

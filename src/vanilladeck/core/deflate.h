#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace vanilladeck::core {

/// Compresses `bytes` to a raw deflate stream (RFC 1951).
[[nodiscard]] std::string Deflate(std::string_view bytes);

/// Decompresses a raw deflate stream; nullopt if it is malformed or truncated, is followed by other
/// bytes, or holds more than `max_bytes`.
[[nodiscard]] std::optional<std::string> Inflate(std::string_view stream, std::size_t max_bytes);

}  // namespace vanilladeck::core

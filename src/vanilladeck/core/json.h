#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace vanilladeck::core {

/// Maximum number of values in one text. A parsed value takes up to a few hundred bytes, however
/// short its text.
inline constexpr std::size_t kMaxJsonValues = 200'000;

/// Parses a JSON text; the result is discarded (`is_discarded()`) when the text is malformed or
/// holds more values than `kMaxJsonValues`.
[[nodiscard]] nlohmann::json ParseJson(std::string_view text);

}  // namespace vanilladeck::core

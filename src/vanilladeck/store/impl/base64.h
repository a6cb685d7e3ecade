#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace vanilladeck::store::impl {

/// Decodes padded base64; returns nullopt if `text` is malformed.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace vanilladeck::store::impl

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

/// Type-checked access to fields of untrusted JSON objects.
namespace vanilladeck::config::impl {

/// Never throws; the result is discarded (`is_discarded()`) if the text is malformed.
[[nodiscard]] inline nlohmann::json ParseJson(std::string_view text) {
  return nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
}

/// Never throws; replaces invalid UTF-8.
[[nodiscard]] inline std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

[[nodiscard]] inline std::optional<std::string> StringField(const nlohmann::json& json,
                                                            const char* key) {
  if (!json.is_object()) return std::nullopt;
  const auto it = json.find(key);
  if (it == json.end() || !it->is_string()) return std::nullopt;
  return it->get<std::string>();
}

[[nodiscard]] inline std::optional<std::uint64_t> CountField(const nlohmann::json& json,
                                                             const char* key) {
  if (!json.is_object()) return std::nullopt;
  const auto it = json.find(key);
  if (it == json.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<std::uint64_t>();
}

[[nodiscard]] inline std::optional<std::int64_t> IntegerField(const nlohmann::json& json,
                                                              const char* key) {
  if (!json.is_object()) return std::nullopt;
  const auto it = json.find(key);
  if (it == json.end() || !it->is_number_integer()) return std::nullopt;
  return it->get<std::int64_t>();
}

}  // namespace vanilladeck::config::impl

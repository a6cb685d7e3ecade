#include "vanilladeck/core/json.h"

namespace vanilladeck::core {
namespace {

/// Upper bound on the number of values: each value except the first follows ',', '[' or '{'.
std::size_t CountValues(std::string_view text) {
  std::size_t n = 1;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == ',' || c == '[' || c == '{') {
      ++n;
    }
  }
  return n;
}

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  if (CountValues(text) > kMaxJsonValues) return nlohmann::json::value_t::discarded;
  return nlohmann::json::parse(text, nullptr, false);
}

}  // namespace vanilladeck::core

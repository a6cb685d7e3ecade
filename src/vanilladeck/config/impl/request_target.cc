#include "vanilladeck/config/impl/request_target.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace vanilladeck::config::impl {
namespace {

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    unsigned char byte = 0;
    const char* digits = text.data() + i + 1;
    if (i + 2 >= text.size() || std::from_chars(digits, digits + 2, byte, 16).ptr != digits + 2) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

}  // namespace

std::optional<RequestTarget> ParseTarget(std::string_view target) {
  const auto question_mark = target.find('?');
  RequestTarget parsed{std::string(target.substr(0, question_mark)), {}};
  if (question_mark == std::string_view::npos) return parsed;
  auto rest = target.substr(question_mark + 1);
  while (!rest.empty()) {
    const auto pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    auto key = PercentDecode(pair.substr(0, equals));
    auto value = equals == std::string_view::npos ? std::optional<std::string>("")
                                                  : PercentDecode(pair.substr(equals + 1));
    if (!key || !value) return std::nullopt;
    if (!parsed.query.emplace(std::move(*key), std::move(*value)).second) return std::nullopt;
  }
  return parsed;
}

}  // namespace vanilladeck::config::impl

#pragma once

#include <map>
#include <string>
#include <string_view>

namespace vanilladeck::standins {

/// Path and decoded query of a request target.
struct Target {
  std::string path;
  std::map<std::string, std::string, std::less<>> query;

  [[nodiscard]] bool Has(std::string_view name) const { return query.find(name) != query.end(); }

  [[nodiscard]] std::string Value(std::string_view name) const {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  }
};

[[nodiscard]] inline std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(
          static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

[[nodiscard]] inline Target ParseTarget(std::string_view text) {
  Target target;
  const auto question_mark = text.find('?');
  target.path = PercentDecode(text.substr(0, question_mark));
  std::string_view rest =
      question_mark == std::string_view::npos ? "" : text.substr(question_mark + 1);
  while (!rest.empty()) {
    const auto ampersand = rest.find('&');
    const std::string_view pair = rest.substr(0, ampersand);
    const auto equals = pair.find('=');
    const bool has_no_value = equals == std::string_view::npos;
    target.query[PercentDecode(pair.substr(0, equals))] =
        has_no_value ? std::string() : PercentDecode(pair.substr(equals + 1));
    rest = ampersand == std::string_view::npos ? "" : rest.substr(ampersand + 1);
  }
  return target;
}

}  // namespace vanilladeck::standins

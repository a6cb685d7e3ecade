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
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

[[nodiscard]] inline Target ParseTarget(std::string_view text) {
  Target target;
  const auto mark = text.find('?');
  target.path = PercentDecode(text.substr(0, mark));
  std::string_view rest = mark == std::string_view::npos ? "" : text.substr(mark + 1);
  while (!rest.empty()) {
    const auto amp = rest.find('&');
    const std::string_view pair = rest.substr(0, amp);
    const auto equals = pair.find('=');
    const bool bare = equals == std::string_view::npos;
    target.query[PercentDecode(pair.substr(0, equals))] =
        bare ? std::string() : PercentDecode(pair.substr(equals + 1));
    rest = amp == std::string_view::npos ? "" : rest.substr(amp + 1);
  }
  return target;
}

}  // namespace vanilladeck::standins

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace vanilladeck::config::impl {

/// Path and decoded query parameters of an HTTP request target.
struct RequestTarget {
  std::string path;
  std::map<std::string, std::string, std::less<>> query;
};

/// Fails on an invalid percent-encoding or a repeated parameter.
[[nodiscard]] std::optional<RequestTarget> ParseTarget(std::string_view target);

}  // namespace vanilladeck::config::impl

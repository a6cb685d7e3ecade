#include "vanilladeck/core/toml.h"

#include <vector>

namespace vanilladeck::core {
namespace {

/// True if an assertion of the parser fails on `text`.
bool FailsAssertion(std::string_view text) {
  try {
    (void)toml::parse(text);
  } catch (const TomlAssertionError&) {
    return true;
  } catch (const toml::parse_error&) {
    return false;
  }
  return false;
}

/// Binary search for the first line after which the assertion fails. The parser reads forward, so
/// every shorter prefix passes the assertion and every longer one fails it.
std::uint32_t FindAssertionLine(std::string_view text) {
  std::vector<std::size_t> ends;
  for (std::size_t at = text.find('\n'); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    ends.push_back(at + 1);
  }
  ends.push_back(text.size());
  std::size_t low = 0;
  std::size_t high = ends.size() - 1;
  while (low < high) {
    const std::size_t middle = low + (high - low) / 2;
    if (FailsAssertion(text.substr(0, ends[middle]))) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return static_cast<std::uint32_t>(low + 1);
}

}  // namespace

void ThrowTomlAssertionError(const char* check) { throw TomlAssertionError(check); }

Result<toml::table, TomlError> ParseToml(std::string_view text, std::string_view file_name) {
  if (text.size() > kMaxTomlBytes) {
    return TomlError{1, 1, "the text is longer than " + std::to_string(kMaxTomlBytes) + " bytes"};
  }
  try {
    return toml::parse(text, file_name);
  } catch (const toml::parse_error& error) {
    return TomlError{error.source().begin.line, error.source().begin.column,
                     std::string(error.description())};
  } catch (const TomlAssertionError&) {
    return TomlError{FindAssertionLine(text), 1, "a key or table header is malformed"};
  }
}

}  // namespace vanilladeck::core

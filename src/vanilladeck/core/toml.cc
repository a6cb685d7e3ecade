#include "vanilladeck/core/toml.h"

#include <vector>

namespace vanilladeck::core {
namespace {

/// True if parsing fails in one of the parser's internal checks.
bool FailsInCheck(std::string_view text) {
  try {
    (void)toml::parse(text);
  } catch (const TomlCheckFailed&) {
    return true;
  } catch (const toml::parse_error&) {
    return false;
  }
  return false;
}

/// The line whose end is the first at which the internal check fails: the parser reads forward, so
/// all shorter texts pass the check and all longer ones fail in it.
std::uint32_t LineOfFailedCheck(std::string_view text) {
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
    if (FailsInCheck(text.substr(0, ends[middle]))) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return static_cast<std::uint32_t>(low + 1);
}

}  // namespace

void ThrowTomlCheckFailed(const char* check) { throw TomlCheckFailed(check); }

Result<toml::table, TomlError> ParseToml(std::string_view text, std::string_view file_name) {
  if (text.size() > kMaxTomlBytes) {
    return TomlError{1, 1, "the text is longer than " + std::to_string(kMaxTomlBytes) + " bytes"};
  }
  try {
    return toml::parse(text, file_name);
  } catch (const toml::parse_error& error) {
    return TomlError{error.source().begin.line, error.source().begin.column,
                     std::string(error.description())};
  } catch (const TomlCheckFailed&) {
    return TomlError{LineOfFailedCheck(text), 1, "a key or table header is malformed"};
  }
}

}  // namespace vanilladeck::core

#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "vanilladeck/core/result.h"

namespace vanilladeck::core {

/// Thrown when an assertion inside the TOML parser fails: the text is malformed in a way that the
/// parser does not report as an error.
class TomlAssertionError : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

[[noreturn]] void ThrowTomlAssertionError(const char* check);

}  // namespace vanilladeck::core

// Include toml++ only through this header: its inline functions must be compiled with the same
// macros everywhere. The default assertion aborts the process on texts such as "[[[a]]".
#define TOML_EXCEPTIONS 1
#define TOML_ASSERT(check) \
  ((check) ? static_cast<void>(0) : ::vanilladeck::core::ThrowTomlAssertionError(#check))
#include <toml++/toml.h>

namespace vanilladeck::core {

/// Maximum size of a text; a deployment with 1.6 million client blocks takes 40 MB.
inline constexpr std::size_t kMaxTomlBytes = 128U << 20U;

/// A parse error; line and column are 1-based.
struct TomlError {
  std::uint32_t line = 1;
  std::uint32_t column = 1;
  std::string message;
};

/// Never throws. The library limits nesting to 256 levels.
[[nodiscard]] Result<toml::table, TomlError> ParseToml(std::string_view text,
                                                       std::string_view file_name);

}  // namespace vanilladeck::core

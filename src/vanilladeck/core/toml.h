#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "vanilladeck/core/result.h"

namespace vanilladeck::core {

/// An internal check of the TOML parser failed: the text is malformed in a way that it does not
/// report as an error.
class TomlCheckFailed : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

[[noreturn]] void ThrowTomlCheckFailed(const char* check);

}  // namespace vanilladeck::core

// One setting for every file that includes the library: its inline functions must be the same
// everywhere. The check would otherwise end the process on texts such as "[[[a]]".
#define TOML_EXCEPTIONS 1
#define TOML_ASSERT(check) \
  ((check) ? static_cast<void>(0) : ::vanilladeck::core::ThrowTomlCheckFailed(#check))
#include <toml++/toml.h>

namespace vanilladeck::core {

/// Largest text that is parsed; a deployment with 1.6 million client blocks takes 40 MB.
inline constexpr std::size_t kMaxTomlBytes = 128U << 20U;

/// Line and column count from 1.
struct TomlError {
  std::uint32_t line = 1;
  std::uint32_t column = 1;
  std::string message;
};

/// Parses a text; never throws. Nesting is bounded by the library (256 levels).
[[nodiscard]] Result<toml::table, TomlError> ParseToml(std::string_view text,
                                                       std::string_view file_name);

}  // namespace vanilladeck::core

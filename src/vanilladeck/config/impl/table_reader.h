#pragma once

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/config/config_error.h"
#include "vanilladeck/core/toml.h"

namespace vanilladeck::config::impl {

/// Collects the errors found in one text.
class ErrorSink {
 public:
  explicit ErrorSink(std::string_view file) : file_(file) {}

  void Add(ConfigErrorCode code, SourcePosition at, std::string message) {
    errors_.push_back({code, file_, at, std::move(message)});
  }
  /// Errors ordered by position.
  [[nodiscard]] std::vector<ConfigError> Take();

 private:
  std::string file_;
  std::vector<ConfigError> errors_;
};

[[nodiscard]] SourcePosition PositionOf(const toml::source_region& region) noexcept;

/// A value with its position in the text.
template <class T>
struct Located {
  T value{};
  SourcePosition at;
  bool present = false;  ///< False when the key is missing or its value was rejected.
};

/// Inclusive range of a number; `exclusive_zero` rejects values up to 0 as "not positive".
struct Bounds {
  double low = 0;
  double high = std::numeric_limits<double>::infinity();
  bool exclusive_zero = false;
};

inline constexpr double kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
inline constexpr Bounds kPositiveCount{0, kMaxUint32, true};
inline constexpr Bounds kCount{0, kMaxUint32, false};
inline constexpr Bounds kPositive{0, std::numeric_limits<double>::infinity(), true};
inline constexpr Bounds kNotNegative{};

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Typed access to the keys of one TOML table; reports every error to the sink.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, ErrorSink& sink);

  [[nodiscard]] SourcePosition At() const noexcept { return at_; }
  [[nodiscard]] const std::string& Path() const noexcept { return path_; }

  Located<std::string> String(std::string_view key, Presence presence);
  /// A string that is safe in store keys and URLs: letters, digits, '-', '_' and '.'.
  Located<std::string> NameString(std::string_view key);
  Located<std::int64_t> Integer(std::string_view key, Presence presence, Bounds bounds);
  Located<double> Number(std::string_view key, Presence presence, Bounds bounds);
  std::vector<Located<std::string>> Strings(std::string_view key, Presence presence);
  Located<bool> Boolean(std::string_view key, Presence presence);
  /// Null if missing or not a table.
  const toml::table* Table(std::string_view key, Presence presence);
  std::vector<const toml::table*> Tables(std::string_view key, Presence presence);

  /// Reports every key of the table that was never looked up.
  void RejectUnknownKeys();

 private:
  const toml::node* Find(std::string_view key, Presence presence);
  void ReportWrongType(std::string_view key, const toml::node& node, std::string_view expected);
  bool CheckBounds(std::string_view key, const toml::node& node, double value, Bounds bounds);
  [[nodiscard]] std::string QualifiedKey(std::string_view key) const;

  const toml::table& table_;
  std::string path_;
  ErrorSink& sink_;
  SourcePosition at_;
  std::set<std::string, std::less<>> known_keys_;
};

}  // namespace vanilladeck::config::impl

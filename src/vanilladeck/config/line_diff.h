#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanilladeck::config {

/// Replacement of a run of lines. Lines include their line feed.
struct LineChange {
  std::size_t line = 0;  ///< 0-based index in the base text.
  std::vector<std::string> removed;
  std::vector<std::string> inserted;

  [[nodiscard]] bool operator==(const LineChange&) const = default;
};

/// Difference between two texts, ordered by line of the base text.
using LineDiff = std::vector<LineChange>;

[[nodiscard]] LineDiff DiffLines(std::string_view base, std::string_view changed);

/// Fails if a removed line does not match the line of `base` at that index.
[[nodiscard]] std::optional<std::string> ApplyDiff(std::string_view base, const LineDiff& diff);

/// Human-readable form: "@@ line N" headers, each followed by lines that start with "-" or "+".
[[nodiscard]] std::string FormatDiff(const LineDiff& diff);

}  // namespace vanilladeck::config

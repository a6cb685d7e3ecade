#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanilladeck::config {

/// Replacement of consecutive lines. Lines keep their line feed.
struct LineChange {
  std::size_t line = 0;  ///< Index in the base text, from 0.
  std::vector<std::string> removed;
  std::vector<std::string> inserted;

  [[nodiscard]] bool operator==(const LineChange&) const = default;
};

/// Difference between two texts, ordered by line of the base text.
using LineDiff = std::vector<LineChange>;

[[nodiscard]] LineDiff DiffLines(std::string_view base, std::string_view changed);

/// Fails when a removed line is not found in `base` where the difference says.
[[nodiscard]] std::optional<std::string> ApplyDiff(std::string_view base, const LineDiff& diff);

/// Text for people: "@@ line N" headings, then lines that start with "-" or "+".
[[nodiscard]] std::string FormatDiff(const LineDiff& diff);

}  // namespace vanilladeck::config

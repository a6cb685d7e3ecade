#include "vanilladeck/config/line_diff.h"

#include <algorithm>
#include <cstdint>

namespace vanilladeck::config {
namespace {

using Lines = std::vector<std::string_view>;

/// Limits the search to about 4 MB and 1 M steps. For a larger difference, everything between the
/// common prefix and suffix is replaced.
constexpr int kMaxEdits = 1000;

Lines SplitLines(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size() - 1) + 1;
    lines.push_back(text.substr(0, end));
    text.remove_prefix(end);
  }
  return lines;
}

/// One step of an edit script.
enum class Edit : std::uint8_t { kKeep, kRemove, kInsert };

/// Myers' greedy O(ND) diff algorithm (1986). The result is empty if more than `kMaxEdits` edits
/// are needed.
class ShortestEditScript {
 public:
  ShortestEditScript(const Lines& base, const Lines& changed) : base_(base), changed_(changed) {}

  std::vector<Edit> Run() {
    const int limit = std::min(kMaxEdits, static_cast<int>(base_.size() + changed_.size()));
    std::vector<int> furthest(2 * static_cast<std::size_t>(limit) + 3, 0);
    for (int edits = 0; edits <= limit; ++edits) {
      const auto middle = furthest.begin() + limit + 1;
      for (int k = -edits; k <= edits; k += 2) {
        int x = IsInsertion(middle, k, edits) ? middle[k + 1] : middle[k - 1] + 1;
        x = SkipEqualLines(x, x - k);
        middle[k] = x;
        if (x >= static_cast<int>(base_.size()) && x - k >= static_cast<int>(changed_.size())) {
          return Backtrack(edits);
        }
      }
      furthest_by_edits_.emplace_back(middle - edits, middle + edits + 1);
    }
    return {};
  }

 private:
  template <class It>
  static bool IsInsertion(It middle, int k, int edits) {
    return k == -edits || (k != edits && middle[k - 1] < middle[k + 1]);
  }

  [[nodiscard]] int SkipEqualLines(int x, int y) const {
    while (x < static_cast<int>(base_.size()) && y < static_cast<int>(changed_.size()) &&
           base_[static_cast<std::size_t>(x)] == changed_[static_cast<std::size_t>(y)]) {
      ++x;
      ++y;
    }
    return x;
  }

  /// Reconstructs the edit script from the saved furthest-reaching points.
  [[nodiscard]] std::vector<Edit> Backtrack(int edits) const {
    std::vector<Edit> path;
    int x = static_cast<int>(base_.size());
    int y = static_cast<int>(changed_.size());
    for (int d = edits; d > 0; --d) {
      const auto& furthest = furthest_by_edits_[static_cast<std::size_t>(d - 1)];
      const auto middle = furthest.begin() + (d - 1);
      const int k = x - y;
      const auto at = [&](int diagonal) {
        return diagonal < -(d - 1) || diagonal > d - 1 ? -1 : middle[diagonal];
      };
      const bool insertion = k == -d || (k != d && at(k - 1) < at(k + 1));
      const int from_x = insertion ? at(k + 1) : at(k - 1);
      const int from_y = from_x - (insertion ? k + 1 : k - 1);
      const int start_x = insertion ? from_x : from_x + 1;
      for (; x > start_x; --x, --y) path.push_back(Edit::kKeep);
      path.push_back(insertion ? Edit::kInsert : Edit::kRemove);
      x = from_x;
      y = from_y;
    }
    for (; x > 0; --x) path.push_back(Edit::kKeep);
    std::reverse(path.begin(), path.end());
    return path;
  }

  const Lines& base_;
  const Lines& changed_;
  std::vector<std::vector<int>> furthest_by_edits_;
};

LineDiff FromEdits(const Lines& base, const Lines& changed, const std::vector<Edit>& edits,
                   std::size_t offset) {
  LineDiff diff;
  std::size_t x = 0;
  std::size_t y = 0;
  bool in_change = false;
  for (Edit edit : edits) {
    if (edit == Edit::kKeep) {
      ++x;
      ++y;
      in_change = false;
      continue;
    }
    if (!in_change) diff.push_back({offset + x, {}, {}});
    in_change = true;
    if (edit == Edit::kRemove) {
      diff.back().removed.emplace_back(base[x++]);
    } else {
      diff.back().inserted.emplace_back(changed[y++]);
    }
  }
  return diff;
}

}  // namespace

LineDiff DiffLines(std::string_view base, std::string_view changed) {
  auto a = SplitLines(base);
  auto b = SplitLines(changed);
  std::size_t prefix = 0;
  while (prefix < a.size() && prefix < b.size() && a[prefix] == b[prefix]) ++prefix;
  a.erase(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(prefix));
  b.erase(b.begin(), b.begin() + static_cast<std::ptrdiff_t>(prefix));
  while (!a.empty() && !b.empty() && a.back() == b.back()) {
    a.pop_back();
    b.pop_back();
  }
  if (a.empty() && b.empty()) return {};
  const auto edits = ShortestEditScript(a, b).Run();
  if (!edits.empty()) return FromEdits(a, b, edits, prefix);
  return {{prefix, {a.begin(), a.end()}, {b.begin(), b.end()}}};
}

std::optional<std::string> ApplyDiff(std::string_view base, const LineDiff& diff) {
  const auto lines = SplitLines(base);
  std::string text;
  text.reserve(base.size());
  std::size_t next = 0;
  for (const auto& change : diff) {
    if (change.line < next || change.line > lines.size() ||
        change.removed.size() > lines.size() - change.line) {
      return std::nullopt;
    }
    for (; next < change.line; ++next) text += lines[next];
    for (const auto& line : change.removed) {
      if (lines[next++] != line) return std::nullopt;
    }
    for (const auto& line : change.inserted) text += line;
  }
  for (; next < lines.size(); ++next) text += lines[next];
  return text;
}

std::string FormatDiff(const LineDiff& diff) {
  std::string text;
  const auto add = [&text](char sign, const std::string& line) {
    text += sign + line;
    if (line.empty() || line.back() != '\n') text += '\n';
  };
  for (const auto& change : diff) {
    text += "@@ line " + std::to_string(change.line + 1) + '\n';
    for (const auto& line : change.removed) add('-', line);
    for (const auto& line : change.inserted) add('+', line);
  }
  return text;
}

}  // namespace vanilladeck::config

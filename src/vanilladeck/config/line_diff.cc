#include "vanilladeck/config/line_diff.h"

#include <algorithm>
#include <cstdint>

namespace vanilladeck::config {
namespace {

using Lines = std::vector<std::string_view>;

/// Bounds the search to about 4 MB and 1 M steps; larger differences replace the whole middle.
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

/// What happens to the lines of both texts, in order.
enum class Edit : std::uint8_t { kKeep, kRemove, kInsert };

/// Myers' greedy algorithm (1986). Empty when more than `kMaxEdits` edits are needed.
class ShortestEdit {
 public:
  ShortestEdit(const Lines& base, const Lines& changed) : base_(base), changed_(changed) {}

  std::vector<Edit> Run() {
    const int limit = std::min(kMaxEdits, static_cast<int>(base_.size() + changed_.size()));
    std::vector<int> reach(2 * static_cast<std::size_t>(limit) + 3, 0);
    for (int edits = 0; edits <= limit; ++edits) {
      const auto middle = reach.begin() + limit + 1;
      for (int k = -edits; k <= edits; k += 2) {
        int x = GoesDown(middle, k, edits) ? middle[k + 1] : middle[k - 1] + 1;
        x = Slide(x, x - k);
        middle[k] = x;
        if (x >= static_cast<int>(base_.size()) && x - k >= static_cast<int>(changed_.size())) {
          return Trace(edits);
        }
      }
      steps_.emplace_back(middle - edits, middle + edits + 1);
    }
    return {};
  }

 private:
  template <class It>
  static bool GoesDown(It middle, int k, int edits) {
    return k == -edits || (k != edits && middle[k - 1] < middle[k + 1]);
  }

  [[nodiscard]] int Slide(int x, int y) const {
    while (x < static_cast<int>(base_.size()) && y < static_cast<int>(changed_.size()) &&
           base_[static_cast<std::size_t>(x)] == changed_[static_cast<std::size_t>(y)]) {
      ++x;
      ++y;
    }
    return x;
  }

  /// Walks back from the end through the saved reaches.
  [[nodiscard]] std::vector<Edit> Trace(int edits) const {
    std::vector<Edit> path;
    int x = static_cast<int>(base_.size());
    int y = static_cast<int>(changed_.size());
    for (int d = edits; d > 0; --d) {
      const auto& reach = steps_[static_cast<std::size_t>(d - 1)];
      const auto middle = reach.begin() + (d - 1);
      const int k = x - y;
      const auto at = [&](int diagonal) {
        return diagonal < -(d - 1) || diagonal > d - 1 ? -1 : middle[diagonal];
      };
      const bool down = k == -d || (k != d && at(k - 1) < at(k + 1));
      const int from_x = down ? at(k + 1) : at(k - 1);
      const int from_y = from_x - (down ? k + 1 : k - 1);
      const int start_x = down ? from_x : from_x + 1;
      for (; x > start_x; --x, --y) path.push_back(Edit::kKeep);
      path.push_back(down ? Edit::kInsert : Edit::kRemove);
      x = from_x;
      y = from_y;
    }
    for (; x > 0; --x) path.push_back(Edit::kKeep);
    std::reverse(path.begin(), path.end());
    return path;
  }

  const Lines& base_;
  const Lines& changed_;
  std::vector<std::vector<int>> steps_;
};

LineDiff FromEdits(const Lines& base, const Lines& changed, const std::vector<Edit>& edits,
                   std::size_t offset) {
  LineDiff diff;
  std::size_t x = 0;
  std::size_t y = 0;
  bool open = false;
  for (Edit edit : edits) {
    if (edit == Edit::kKeep) {
      ++x;
      ++y;
      open = false;
      continue;
    }
    if (!open) diff.push_back({offset + x, {}, {}});
    open = true;
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
  std::size_t same = 0;
  while (same < a.size() && same < b.size() && a[same] == b[same]) ++same;
  a.erase(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(same));
  b.erase(b.begin(), b.begin() + static_cast<std::ptrdiff_t>(same));
  while (!a.empty() && !b.empty() && a.back() == b.back()) {
    a.pop_back();
    b.pop_back();
  }
  if (a.empty() && b.empty()) return {};
  const auto edits = ShortestEdit(a, b).Run();
  if (!edits.empty()) return FromEdits(a, b, edits, same);
  return {{same, {a.begin(), a.end()}, {b.begin(), b.end()}}};
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

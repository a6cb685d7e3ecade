#include "vanilladeck/gateway/load_report.h"

#include <charconv>
#include <cmath>

namespace vanilladeck::gateway {
namespace {

// No server runs or queues more requests; larger numbers are not counts of requests.
constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr double kPercent = 100;

/// Returns the text up to the next comma, without surrounding blanks, and removes it with the comma
/// from `rest`; nullopt at the end.
std::optional<std::string_view> TakeEntry(std::optional<std::string_view>& rest) {
  if (!rest) return std::nullopt;
  const auto comma = rest->find(',');
  std::string_view entry = rest->substr(0, comma);
  rest = comma == std::string_view::npos ? std::nullopt : std::optional(rest->substr(comma + 1));
  constexpr std::string_view kBlanks = " \t";
  entry.remove_prefix(std::min(entry.find_first_not_of(kBlanks), entry.size()));
  entry = entry.substr(0, entry.find_last_not_of(kBlanks) + 1);
  return entry;
}

template <class Number>
bool ParseWhole(std::string_view text, Number& number) {
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc{} && end == text.data() + text.size();
}

std::optional<double> SlowdownOf(std::optional<std::string_view> entry) {
  double percent = 0;
  if (!entry || !ParseWhole(*entry, percent) || !std::isfinite(percent) || percent <= 0) {
    return std::nullopt;
  }
  return percent / kPercent;
}

}  // namespace

core::Result<steering::ServerLoad, LoadReportError> ParseLoadReport(std::string_view text) {
  std::optional<std::string_view> rest = text;
  steering::ServerLoad load;
  for (std::uint32_t* count : {&load.running, &load.waiting, &load.slots}) {
    const auto entry = TakeEntry(rest);
    if (!entry) return LoadReportError::kTooFewEntries;
    std::uint64_t n = 0;
    if (!ParseWhole(*entry, n)) return LoadReportError::kMalformedEntry;
    if (n > kMaxCount) return LoadReportError::kOutOfRange;
    *count = static_cast<std::uint32_t>(n);
  }
  load.slowdown = SlowdownOf(TakeEntry(rest));
  return load;
}

}  // namespace vanilladeck::gateway

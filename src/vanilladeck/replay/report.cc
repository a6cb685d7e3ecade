#include "vanilladeck/replay/report.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace vanilladeck::replay {
namespace {

double Millis(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

class ViolationList {
 public:
  /// Adds "`what` is `actual`, expected: `expected`" unless `holds`.
  template <class Actual, class Expected>
  void Check(bool holds, const std::string& what, const Actual& actual, const Expected& expected) {
    if (holds) return;
    std::ostringstream text;
    text << what << " is " << actual << ", expected: " << expected;
    violations_.push_back(text.str());
  }

  [[nodiscard]] std::vector<std::string> Take() { return std::move(violations_); }

 private:
  std::vector<std::string> violations_;
};

void CheckCaps(const Trace& trace, const Report& report, ViolationList& violations) {
  for (const auto& [pair, peak] : report.shifts) {
    const std::string name = pair.first + " to " + pair.second;
    const auto link = std::ranges::find_if(trace.deployment.links, [&key = pair](const auto& it) {
      return it.from == key.first && it.to == key.second;
    });
    const double rate = link == trace.deployment.links.end() ? 0 : link->shift_cap_rps;
    const std::uint32_t in_flight =
        link == trace.deployment.links.end() ? 0 : link->shift_cap_inflight;
    violations.Check(peak.rate <= rate, "shifted requests per second " + name, peak.rate, rate);
    violations.Check(peak.in_flight <= in_flight, "shifted requests in flight " + name,
                     peak.in_flight, in_flight);
  }
}

}  // namespace

std::vector<std::string> FindViolations(const Trace& trace, const Report& report) {
  ViolationList violations;
  violations.Check(report.starts_over_capacity == 0, "starts on a full server",
                   report.starts_over_capacity, 0);
  violations.Check(report.unfinished == 0, "requests not ended exactly once", report.unfinished, 0);
  CheckCaps(trace, report, violations);
  const Expectations& expect = trace.expect;
  const RankReport& urgent = report.ranks[core::Index(core::Rank::kUrgent)];
  if (expect.urgent_p99_ratio) {
    const double limit =
        *expect.urgent_p99_ratio * Millis(urgent.unloaded_p99) + Millis(trace.round_trip);
    violations.Check(urgent.completed > 0 && Millis(urgent.p99) <= limit, "urgent p99 in ms",
                     Millis(urgent.p99), limit);
  }
  if (expect.kept_floor) {
    for (core::Rank rank : core::kAllRanks) {
      const RankReport& row = report.ranks[core::Index(rank)];
      const double floor = trace.deployment.ranks[core::Index(rank)].floor * *expect.kept_floor;
      if (row.offered_share < 2 * floor) continue;  // Not enough load to always fill the floor.
      violations.Check(row.share >= floor, "share of " + std::string(Name(rank)), row.share, floor);
    }
  }
  if (expect.goodput) {
    violations.Check(report.goodput >= *expect.goodput, "goodput", report.goodput, *expect.goodput);
  }
  if (expect.leaving_stops) {
    const core::Duration last = report.last_start_on_leaving.value_or(core::Duration::zero());
    violations.Check(last <= *expect.leaving_stops, "last start on a leaving server in ms",
                     Millis(last), Millis(*expect.leaving_stops));
  }
  if (expect.forwarded) {
    violations.Check(report.forwarded >= *expect.forwarded, "forwarded requests", report.forwarded,
                     *expect.forwarded);
  }
  return violations.Take();
}

}  // namespace vanilladeck::replay

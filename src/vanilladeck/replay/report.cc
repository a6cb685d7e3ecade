#include "vanilladeck/replay/report.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace vanilladeck::replay {
namespace {

double Millis(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

class FaultList {
 public:
  /// Adds "`what` is `seen`, stated: `stated`" unless `holds`.
  template <class Seen, class Stated>
  void Check(bool holds, const std::string& what, const Seen& seen, const Stated& stated) {
    if (holds) return;
    std::ostringstream text;
    text << what << " is " << seen << ", stated: " << stated;
    faults_.push_back(text.str());
  }

  [[nodiscard]] std::vector<std::string> Take() { return std::move(faults_); }

 private:
  std::vector<std::string> faults_;
};

void CheckCaps(const Trace& trace, const Report& report, FaultList& faults) {
  for (const auto& [pair, peak] : report.shifts) {
    const std::string name = pair.first + " to " + pair.second;
    const auto link = std::ranges::find_if(trace.deployment.links, [&key = pair](const auto& it) {
      return it.from == key.first && it.to == key.second;
    });
    const double rate = link == trace.deployment.links.end() ? 0 : link->shift_cap_rps;
    const std::uint32_t in_flight =
        link == trace.deployment.links.end() ? 0 : link->shift_cap_inflight;
    faults.Check(peak.rate <= rate, "shifted requests per second " + name, peak.rate, rate);
    faults.Check(peak.in_flight <= in_flight, "shifted requests in flight " + name, peak.in_flight,
                 in_flight);
  }
}

}  // namespace

std::vector<std::string> Faults(const Trace& trace, const Report& report) {
  FaultList faults;
  faults.Check(report.overloads == 0, "starts on a full server", report.overloads, 0);
  faults.Check(report.unfinished == 0, "requests not ended exactly once", report.unfinished, 0);
  CheckCaps(trace, report, faults);
  const Expectations& expect = trace.expect;
  const RankReport& urgent = report.ranks[core::Index(core::Rank::kUrgent)];
  if (expect.urgent_p99_ratio) {
    const double limit =
        *expect.urgent_p99_ratio * Millis(urgent.unloaded_p99) + Millis(trace.round_trip);
    faults.Check(urgent.completed > 0 && Millis(urgent.p99) <= limit, "urgent p99 in ms",
                 Millis(urgent.p99), limit);
  }
  if (expect.kept_floor) {
    for (core::Rank rank : core::kAllRanks) {
      const RankReport& row = report.ranks[core::Index(rank)];
      const double floor = trace.deployment.ranks[core::Index(rank)].floor * *expect.kept_floor;
      if (row.offered_share < 2 * floor) continue;  // Not enough work to fill the floor always.
      faults.Check(row.share >= floor, "share of " + std::string(Name(rank)), row.share, floor);
    }
  }
  if (expect.goodput) {
    faults.Check(report.goodput >= *expect.goodput, "goodput", report.goodput, *expect.goodput);
  }
  if (expect.leaving_stops) {
    const core::Duration last = report.last_start_on_leaving.value_or(core::Duration::zero());
    faults.Check(last <= *expect.leaving_stops, "last start on a leaving server in ms",
                 Millis(last), Millis(*expect.leaving_stops));
  }
  if (expect.forwarded) {
    faults.Check(report.forwarded >= *expect.forwarded, "forwarded requests", report.forwarded,
                 *expect.forwarded);
  }
  return faults.Take();
}

}  // namespace vanilladeck::replay

#include "vanilladeck/replay/impl/monitor.h"

#include <algorithm>
#include <chrono>

namespace vanilladeck::replay::impl {
namespace {

double Seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

core::Duration Quantile(std::vector<core::Duration>& values, double quantile) {
  if (values.empty()) return core::Duration::zero();
  std::ranges::sort(values);
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(quantile * last)];
}

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;

}  // namespace

Monitor::Monitor(const Trace& trace) : trace_(trace), ends_(trace.arrivals.size()) {}

void Monitor::OnEnded(std::size_t request, EndState state, core::Duration latency, bool forwarded) {
  if (++ends_.at(request) == 1) ++ended_;
  const Arrival& arrival = trace_.arrivals.at(request);
  if (state == EndState::kLost) ++report_.lost;
  if (state == EndState::kCompleted && forwarded) ++report_.forwarded;
  if (!Measured(arrival)) return;
  RankReport& row = report_.ranks[core::Index(arrival.rank)];
  if (state == EndState::kRejected) ++row.rejected;
  if (state != EndState::kCompleted) return;
  ++row.completed;
  if (!forwarded) latencies_[core::Index(arrival.rank)].push_back(latency);
}

void Monitor::OnRan(core::Rank rank, core::Duration begin, core::Duration end) {
  const core::Duration from = std::max(begin, trace_.measure_from);
  const core::Duration to = std::min(end, trace_.measure_to);
  if (from < to) slot_seconds_[core::Index(rank)] += Seconds(to - from);
}

void Monitor::OnShiftStarted(const std::string& from, const std::string& to, core::Duration now) {
  Shift& shift = shifts_[{from, to}];
  ShiftPeak& peak = report_.shifts[{from, to}];
  constexpr core::Duration kSecond = std::chrono::seconds(1);
  while (!shift.last_second.empty() && shift.last_second.front() + kSecond <= now) {
    shift.last_second.pop_front();
  }
  shift.last_second.push_back(now);
  peak.rate = std::max(peak.rate, static_cast<std::uint32_t>(shift.last_second.size()));
  peak.in_flight = std::max(peak.in_flight, ++shift.in_flight);
}

void Monitor::OnShiftEnded(const std::string& from, const std::string& to) {
  --shifts_[{from, to}].in_flight;
}

Report Monitor::Finish(std::uint32_t slots) {
  const double capacity = slots * Seconds(trace_.measure_to - trace_.measure_from);
  core::PerRank<std::vector<core::Duration>> services;
  for (const Arrival& arrival : trace_.arrivals) {
    if (!Measured(arrival)) continue;
    RankReport& row = report_.ranks[core::Index(arrival.rank)];
    ++row.offered;
    row.offered_share += Seconds(arrival.service) / capacity;
    services[core::Index(arrival.rank)].push_back(arrival.service);
  }
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    RankReport& row = report_.ranks[i];
    row.share = slot_seconds_[i] / capacity;
    report_.goodput += row.share;
    row.p50 = Quantile(latencies_[i], kMedian);
    row.p99 = Quantile(latencies_[i], kP99);
    row.unloaded_p99 = Quantile(services[i], kP99);
  }
  report_.unfinished = static_cast<std::uint64_t>(
      std::ranges::count_if(ends_, [](std::uint32_t ends) { return ends != 1; }));
  return report_;
}

bool Monitor::Measured(const Arrival& arrival) const noexcept {
  return arrival.at >= trace_.measure_from && arrival.at < trace_.measure_to;
}

}  // namespace vanilladeck::replay::impl

#include "vanilladeck/steering/departed_servers.h"

#include <algorithm>

namespace vanilladeck::steering {
namespace {

bool IsSamePlace(const DepartedServers::Departure& departure, const ServerReport& report) {
  return departure.service == report.service && departure.address == report.address &&
         departure.failure_domain == report.failure_domain;
}

}  // namespace

void DepartedServers::OnRemoved(const Server& server, store::Era era, core::TimePoint now) {
  std::erase_if(departures_, [now](const auto& it) { return now - it.second.at > kMemory; });
  const ServerReport& report = server.report;
  departures_[report.id] = {report.service,
                            report.address,
                            report.failure_domain,
                            report.born_ms,
                            report.sequence,
                            server.draining,
                            era,
                            now};
  if (departures_.size() <= kMaxServers) return;
  departures_.erase(
      std::min_element(departures_.begin(), departures_.end(),
                       [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

DepartedServers::Verdict DepartedServers::OnReport(const ServerReport& report, store::Era era,
                                                   core::TimePoint now) {
  const auto it = departures_.find(report.id);
  if (it == departures_.end()) return Verdict::kNew;
  const Departure& known = it->second;
  Verdict verdict = Verdict::kNew;
  if (era > known.era && now - known.at <= kMemory) {
    if (report.born_ms < known.born_ms) return Verdict::kOutdated;
    // Without a start time only another place shows that a server restarted.
    const bool same_lifetime =
        report.born_ms == known.born_ms && (report.born_ms != 0 || IsSamePlace(known, report));
    if (same_lifetime && report.sequence <= known.sequence) return Verdict::kOutdated;
    if (same_lifetime && known.draining) verdict = Verdict::kLeaving;
  }
  departures_.erase(it);
  return verdict;
}

const DepartedServers::Departure* DepartedServers::Find(const std::string& id) const {
  const auto it = departures_.find(id);
  return it == departures_.end() ? nullptr : &it->second;
}

}  // namespace vanilladeck::steering

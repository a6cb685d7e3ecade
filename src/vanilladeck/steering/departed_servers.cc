#include "vanilladeck/steering/departed_servers.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace vanilladeck::steering {
namespace {

using Departure = DepartedServers::Departure;

/// `Report` is a report or another departure. Without a start time only another place shows that a
/// server restarted.
template <class Report>
bool IsSameLifetime(const Departure& departure, const Report& report) {
  if (report.born_ms != departure.born_ms) return false;
  return report.born_ms != 0 ||
         (departure.service == report.service && departure.address == report.address &&
          departure.failure_domain == report.failure_domain);
}

bool IsLater(const Departure& a, const Departure& b) {
  return std::tuple(a.born_ms, a.sequence, !a.listed) >
         std::tuple(b.born_ms, b.sequence, !b.listed);
}

}  // namespace

void DepartedServers::Put(Departure departure, core::TimePoint now) {
  std::erase_if(departures_, [now](const auto& it) { return now - it.second.at > kMemory; });
  std::string id = departure.server;
  departures_[std::move(id)] = std::move(departure);
  if (departures_.size() <= kMaxServers) return;
  departures_.erase(
      std::min_element(departures_.begin(), departures_.end(),
                       [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

void DepartedServers::OnRemoved(const Server& server, store::Era era, core::TimePoint now) {
  const ServerReport& report = server.report;
  Put({report.id, report.service, report.address, report.failure_domain, report.born_ms,
       report.sequence, server.draining, false, era, now},
      now);
}

void DepartedServers::OnStated(const Departure& stated, core::TimePoint now) {
  Departure departure = stated;
  const Departure* known = Find(stated.server);
  if (known != nullptr && now - known->at <= kMemory) {
    // Without start times the order of two lifetimes is not known.
    const bool same_lifetime = IsSameLifetime(*known, stated);
    if (!same_lifetime && known->born_ms == stated.born_ms) return;
    if (!IsLater(stated, *known)) departure = *known;
    if (same_lifetime) departure.draining = known->draining || stated.draining;
  }
  Put(std::move(departure), now);
}

DepartedServers::Verdict DepartedServers::Judge(const Departure& known,
                                                const ServerReport& report) noexcept {
  if (report.born_ms < known.born_ms) return Verdict::kOutdated;
  if (!IsSameLifetime(known, report)) return Verdict::kNew;
  if (!known.listed && report.sequence <= known.sequence) return Verdict::kOutdated;
  return known.draining ? Verdict::kLeaving : Verdict::kNew;
}

DepartedServers::Verdict DepartedServers::OnReport(const ServerReport& report, store::Era era,
                                                   core::TimePoint now) {
  const auto it = departures_.find(report.id);
  if (it == departures_.end()) return Verdict::kNew;
  Verdict verdict = Verdict::kNew;
  if (era > it->second.era && now - it->second.at <= kMemory) verdict = Judge(it->second, report);
  if (verdict != Verdict::kOutdated) departures_.erase(it);
  return verdict;
}

const DepartedServers::Departure* DepartedServers::Find(const std::string& id) const {
  const auto it = departures_.find(id);
  return it == departures_.end() ? nullptr : &it->second;
}

std::vector<DepartedServers::Departure> DepartedServers::Before(store::Era era, std::size_t limit,
                                                                core::TimePoint now) const {
  std::vector<Departure> found;
  for (const auto& [id, it] : departures_) {
    if (it.era < era && now - it.at <= kMemory) found.push_back(it);
  }
  std::sort(found.begin(), found.end(),
            [](const Departure& a, const Departure& b) { return a.at > b.at; });
  if (found.size() > limit) found.resize(limit);
  return found;
}

}  // namespace vanilladeck::steering

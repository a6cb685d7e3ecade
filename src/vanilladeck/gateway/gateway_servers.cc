#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "vanilladeck/gateway/departure_messages.h"
#include "vanilladeck/gateway/gateway.h"

/// Applies what the platform's store says of the backend servers.
namespace vanilladeck::gateway {
namespace {

using telemetry::StreamEvent;

std::int64_t Ms(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

bool Gateway::ApplyServerReport(steering::ServerReport report, store::Era era) {
  const auto old = context_.servers.Find(report.id);
  // Other instances judge the report by what they know of the server.
  if (!old && !JudgeReturned(report, era)) return true;
  const bool outdated =
      old && (report.born_ms < old->report.born_ms ||
              (report.born_ms == old->report.born_ms && report.sequence < old->report.sequence));
  // Instances that got the outdated item from elsewhere need the next report, though it is no
  // change here.
  const bool was_outdated = outdated_items_.erase(report.id) > 0;
  if (outdated) outdated_items_.insert(report.id);
  const auto holders = context_.servers.AddressHolders(report.address);
  const bool was_cold = old && old->report.cold_left > core::Duration::zero();
  const auto old_report = old ? old->report : report;
  const auto change = context_.servers.OnReport(report, core::RuntimeClock::now());
  LogReturned();
  using Change = steering::ServerSet::Change;
  if (change == Change::kNone) {
    return was_outdated || was_cold || report.cold_left > core::Duration::zero();
  }
  if (old && (old->gone || old->draining)) context_.pool.CloseIdleConnections(*old);
  if (old_report.failure_domain != report.failure_domain) {
    events_.Write(StreamEvent::kServerMoved, {{"server", report.id},
                                              {"born", report.born_ms},
                                              {"known_born", old_report.born_ms},
                                              {"sequence", report.sequence},
                                              {"known_sequence", old_report.sequence},
                                              {"from", old_report.failure_domain},
                                              {"to", report.failure_domain}});
  }
  const auto server = context_.servers.Find(report.id);
  // It may have stated in a response, before its entry was listed again, that it leaves.
  if (server->draining) report.state = steering::ServerState::kDraining;
  LogServer(change == Change::kDraining ? StreamEvent::kServerDraining : StreamEvent::kServerAdded,
            report, SourceName());
  if (server->gone) LogSuperseded(*server);
  for (const auto& it : holders) {
    if (!it->gone || it->report.id == report.id) continue;
    context_.pool.CloseIdleConnections(*it);
    LogSuperseded(*it);
  }
  return true;
}

bool Gateway::JudgeReturned(steering::ServerReport& report, store::Era era) {
  using Verdict = steering::DepartedServers::Verdict;
  const auto verdict = departed_servers_.OnReport(report, era, core::RuntimeClock::now());
  if (verdict == Verdict::kLeaving) report.state = steering::ServerState::kDraining;
  if (verdict != Verdict::kOutdated) return true;
  LogDropped(report, era, *departed_servers_.Find(report.id), SourceName());
  return false;
}

void Gateway::LogDropped(const steering::ServerReport& report, store::Era era,
                         const steering::DepartedServers::Departure& departure,
                         std::string_view source) {
  ++context_.metrics.server_reports_dropped;
  events_.Write(StreamEvent::kServerReportDropped,
                {{"server", report.id},
                 {"born", report.born_ms},
                 {"known_born", departure.born_ms},
                 {"sequence", report.sequence},
                 {"known_sequence", departure.sequence},
                 {"era", era},
                 {"removed_era", departure.era},
                 {"draining", departure.draining},
                 {"source", source},
                 {"reason", report.born_ms < departure.born_ms ? "earlier lifetime"
                                                               : "not newer than before it left"}});
}

std::vector<steering::DepartedServers::Departure> Gateway::DeparturesBefore(store::Era era) const {
  const core::TimePoint now = core::RuntimeClock::now();
  std::vector<steering::DepartedServers::Departure> departures;
  for (const std::string& id : context_.servers.Ids()) {
    const auto server = context_.servers.Find(id);
    const steering::ServerReport& report = server->report;
    // Without a start time a restarted server would be taken for the one that leaves.
    if (!server->draining || report.born_ms == 0) continue;
    if (departures.size() == kMaxStatedDepartures) return departures;
    departures.push_back({id, report.service, report.address, report.failure_domain, report.born_ms,
                          report.sequence, true, true, 0, now});
  }
  auto departed = departed_servers_.Before(era, kMaxStatedDepartures - departures.size(), now);
  std::move(departed.begin(), departed.end(), std::back_inserter(departures));
  return departures;
}

void Gateway::OnPeerDepartures(const std::string& peer, std::string_view body) {
  const StatedDepartures stated = DecodeDepartures(body, core::RuntimeClock::now());
  if (stated.malformed > 0) {
    events_.Write(StreamEvent::kPeerFailed, {{"peer", peer},
                                             {"reason", "malformed entries of servers that left: " +
                                                            std::to_string(stated.malformed)},
                                             {"age_ms", 0},
                                             {"bytes", body.size()}});
  }
  for (const auto& it : stated.departures) OnPeerDeparture(it);
}

void Gateway::OnPeerDeparture(const steering::DepartedServers::Departure& departure) {
  using Verdict = steering::DepartedServers::Verdict;
  const store::Era era = era_tracker_.era();
  // Within an era the store tells of removals.
  if (departure.era >= era) return;
  const core::TimePoint now = core::RuntimeClock::now();
  const auto server = context_.servers.Find(departure.server);
  if (!server) {
    departed_servers_.OnStated(departure, now);
    return;
  }
  steering::ServerReport report = server->report;
  const auto verdict = steering::DepartedServers::Judge(departure, report);
  if (verdict == Verdict::kNew || (verdict == Verdict::kLeaving && server->draining)) return;
  if (verdict == Verdict::kLeaving) {
    server->draining = true;
    report.state = steering::ServerState::kDraining;
    context_.pool.CloseIdleConnections(*server);
    LogServer(StreamEvent::kServerDraining, report, kPeerSource);
  } else {
    DropServer(*server, "left before the store returned", kPeerSource);
    LogDropped(report, era, departure, kPeerSource);
    departed_servers_.OnStated(departure, now);
  }
}

void Gateway::LogServer(StreamEvent event, const steering::ServerReport& report,
                        std::string_view source) {
  events_.Write(event, {{"server", report.id},
                        {"born", report.born_ms},
                        {"service", report.service},
                        {"address", report.address},
                        {"failure_domain", report.failure_domain},
                        {"sequence", report.sequence},
                        {"cold_ms", Ms(report.cold_left)},
                        {"draining", report.state == steering::ServerState::kDraining},
                        {"source", source}});
}

void Gateway::LogReturned() {
  for (const auto& it : context_.servers.TakeReturned()) {
    LogServer(StreamEvent::kServerAdded, it->report, SourceName());
  }
}

void Gateway::LogSuperseded(const steering::Server& superseded) {
  for (const auto& it : context_.servers.AddressHolders(superseded.report.address)) {
    events_.Write(StreamEvent::kAddressShared, {{"server", it->report.id},
                                                {"region", it->region},
                                                {"born", it->report.born_ms},
                                                {"superseded", superseded.report.id},
                                                {"superseded_region", superseded.region},
                                                {"superseded_born", superseded.report.born_ms},
                                                {"address", it->report.address}});
  }
}

void Gateway::RemoveServer(const std::string& id) {
  const auto server = context_.servers.Find(id);
  if (!server) return;
  departed_servers_.OnRemoved(*server, follower_.removal_position().era(),
                              core::RuntimeClock::now());
  DropServer(*server, "entry removed", SourceName());
}

void Gateway::DropServer(const steering::Server& server, std::string_view reason,
                         std::string_view source) {
  const std::string& id = server.report.id;
  context_.servers.OnRemoved(id);
  outdated_items_.erase(id);
  LogReturned();
  context_.pool.CloseIdleConnections(server);
  events_.Write(StreamEvent::kServerRemoved,
                {{"server", id}, {"reason", reason}, {"source", source}});
}

}  // namespace vanilladeck::gateway

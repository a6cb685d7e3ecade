#include <nlohmann/json.hpp>
#include <utility>

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
  LogServer(change == Change::kDraining ? StreamEvent::kServerDraining : StreamEvent::kServerAdded,
            report);
  if (const auto server = context_.servers.Find(report.id); server->gone) LogSuperseded(*server);
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
  ++context_.metrics.server_reports_dropped;
  const auto* departure = departed_servers_.Find(report.id);
  events_.Write(
      StreamEvent::kServerReportDropped,
      {{"server", report.id},
       {"born", report.born_ms},
       {"known_born", departure->born_ms},
       {"sequence", report.sequence},
       {"known_sequence", departure->sequence},
       {"era", era},
       {"removed_era", departure->era},
       {"draining", departure->draining},
       {"source", SourceName()},
       {"reason", report.born_ms < departure->born_ms ? "earlier lifetime"
                                                      : "not newer than before it left"}});
  return false;
}

void Gateway::LogServer(StreamEvent event, const steering::ServerReport& report) {
  events_.Write(event, {{"server", report.id},
                        {"born", report.born_ms},
                        {"service", report.service},
                        {"address", report.address},
                        {"failure_domain", report.failure_domain},
                        {"sequence", report.sequence},
                        {"cold_ms", Ms(report.cold_left)},
                        {"draining", report.state == steering::ServerState::kDraining},
                        {"source", SourceName()}});
}

void Gateway::LogReturned() {
  for (const auto& it : context_.servers.TakeReturned()) {
    LogServer(StreamEvent::kServerAdded, it->report);
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

void Gateway::RemoveServer(const std::string& id, std::string_view reason) {
  const auto server = context_.servers.Find(id);
  if (!context_.servers.OnRemoved(id)) return;
  outdated_items_.erase(id);
  departed_servers_.OnRemoved(*server, follower_.removal_position().era(),
                              core::RuntimeClock::now());
  LogReturned();
  context_.pool.CloseIdleConnections(*server);
  events_.Write(StreamEvent::kServerRemoved,
                {{"server", id}, {"reason", reason}, {"source", SourceName()}});
}

}  // namespace vanilladeck::gateway

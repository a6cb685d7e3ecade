#include "vanilladeck/steering/server_set.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace vanilladeck::steering {
namespace {

using std::chrono::milliseconds;

// Weight of a new sample; a server answers each instance a few times a second.
constexpr double kLoadWeight = 0.5;
constexpr double kLatencyWeight = 0.2;
constexpr double kFailureWeight = 0.15;
// Bounds on a sample, so that one slow response does not take a server out of use.
constexpr double kMaxLatencyRatio = 8;
constexpr double kMinLatencyRatio = 0.5;
// Consecutive failures before a server is ejected; each further failure doubles the time.
constexpr std::uint32_t kFailuresToEject = 3;
constexpr milliseconds kFirstEjection{500};
constexpr milliseconds kLongestEjection{4000};
constexpr std::uint32_t kMaxDoublings = 3;
// A server that refuses connections is most likely down.
constexpr milliseconds kUnreachableEjection{700};

// Servers that leave serve on for some seconds, seldom for minutes.
constexpr core::Duration kLeavingMemory = std::chrono::minutes(10);
// Bounds the memory if servers come and go all the time; the oldest are forgotten first.
constexpr std::size_t kMaxLeaving = 4096;

double Smooth(double old_value, double sample, double weight) {
  return old_value + weight * (sample - old_value);
}

bool IsSamePlace(const ServerReport& a, const ServerReport& b) {
  return a.service == b.service && a.address == b.address && a.failure_domain == b.failure_domain;
}

}  // namespace

ServerSet::Change ServerSet::OnReport(const ServerReport& report, core::TimePoint now) {
  const ServerPtr known = Find(report.id);
  if (known && report.born_ms < known->report.born_ms) return Change::kNone;
  const bool same_place = known && IsSamePlace(report, known->report);
  // Without a start time only another place shows that a server restarted.
  const bool same_incarnation =
      known && report.born_ms == known->report.born_ms && (same_place || report.born_ms != 0);
  if (same_incarnation && same_place) {
    if (report.sequence <= known->report.sequence) return Change::kNone;
    const bool starts_drain = report.state == ServerState::kDraining && !known->draining;
    if (report.cold_left > core::Duration::zero() && !known->Cold(now)) {
      known->fresh_cause = FreshCause::kStarted;
    }
    known->report = report;
    known->reported_at = now;
    known->draining = known->draining || report.state == ServerState::kDraining;
    known->cold_until = now + report.cold_left;
    if (known->gone && report.born_ms >= LatestStart(report.address)) {
      Replace(known, Renewed(*known));
      return Change::kReturned;
    }
    return starts_drain ? Change::kDraining : Change::kNone;
  }
  const auto server = std::make_shared<Server>();
  server->serial = ++last_serial_;
  server->report = report;
  server->region = region_of_(report.failure_domain);
  server->reported_at = now;
  server->draining = report.state == ServerState::kDraining || HasStatedLeaving(report);
  server->cold_until = now + report.cold_left;
  if (report.cold_left > core::Duration::zero()) server->fresh_cause = FreshCause::kStarted;
  if (same_incarnation) {
    server->draining = server->draining || known->draining;
    server->cold_sends = known->cold_sends;
  }
  Replace(known, server);
  return Change::kAdded;
}

bool ServerSet::OnRemoved(const std::string& id) {
  const ServerPtr server = Find(id);
  if (!server) return false;
  Replace(server, nullptr);
  return true;
}

bool ServerSet::OnLeaving(Server& server, core::TimePoint now) {
  const ServerReport& report = server.report;
  bool changed = !server.draining;
  server.draining = true;
  // The request may have been sent before the entry of this incarnation was replaced.
  const ServerPtr listed = Find(report.id);
  if (listed && listed.get() != &server && listed->report.born_ms == report.born_ms &&
      (report.born_ms != 0 || IsSamePlace(listed->report, report))) {
    changed = changed || !listed->draining;
    listed->draining = true;
  }
  // Without a start time a successor could not be told from the server.
  if (report.born_ms == 0) return changed;
  if (HasStatedLeaving(report)) {
    leaving_[report.id].at = now;
    return changed;
  }
  std::erase_if(leaving_, [now](const auto& it) { return now - it.second.at > kLeavingMemory; });
  leaving_[report.id] = {report.born_ms, now};
  if (leaving_.size() > kMaxLeaving) {
    leaving_.erase(
        std::min_element(leaving_.begin(), leaving_.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
  }
  return changed;
}

bool ServerSet::HasStatedLeaving(const ServerReport& report) const {
  const auto it = leaving_.find(report.id);
  return it != leaving_.end() && it->second.born_ms == report.born_ms;
}

void ServerSet::OnMisdirected(Server& server) noexcept {
  server.gone = true;
  LeaveAddress(server);
}

std::vector<ServerPtr> ServerSet::TakeReturned() { return std::exchange(returned_, {}); }

ServerPtr ServerSet::Renewed(const Server& server) {
  auto renewed = std::make_shared<Server>(server);
  renewed->serial = ++last_serial_;
  renewed->gone = false;
  renewed->in_flight = 0;
  // The requests in flight, which a pace counts, stay with the known one.
  if (renewed->pace) {
    renewed->pace.reset();
    renewed->fresh_cause = FreshCause::kStarted;
  }
  return renewed;
}

void ServerSet::Replace(const ServerPtr& known, const ServerPtr& server) {
  if (known) {
    known->gone = true;
    LeaveAddress(*known);
    Unindex(*known);
    by_id_.erase(known->report.id);
  }
  if (server) {
    by_id_.emplace(server->report.id, server);
    Index(server);
    by_address_[server->report.address].push_back(server);
    AssignAddress(server->report.address);
  }
  if (known && !(server && server->report.address == known->report.address)) {
    AssignAddress(known->report.address);
  }
}

std::int64_t ServerSet::LatestStart(const std::string& address) const {
  std::int64_t latest_ms = 0;
  const auto listed = by_address_.find(address);
  if (listed == by_address_.end()) return latest_ms;
  for (const ServerPtr& it : listed->second) latest_ms = std::max(latest_ms, it->report.born_ms);
  return latest_ms;
}

void ServerSet::AssignAddress(const std::string& address) {
  const auto listed = by_address_.find(address);
  if (listed == by_address_.end()) return;
  const std::int64_t latest_ms = LatestStart(address);
  for (ServerPtr& it : listed->second) {
    if (it->report.born_ms < latest_ms) {
      it->gone = true;
    } else if (it->gone) {
      Unindex(*it);
      it = Renewed(*it);
      by_id_[it->report.id] = it;
      Index(it);
      returned_.push_back(it);
    }
  }
}

void ServerSet::LeaveAddress(const Server& server) noexcept {
  const auto listed = by_address_.find(server.report.address);
  if (listed == by_address_.end()) return;
  auto& servers = listed->second;
  servers.erase(std::remove_if(servers.begin(), servers.end(),
                               [&](const ServerPtr& it) { return it.get() == &server; }),
                servers.end());
  if (servers.empty()) by_address_.erase(listed);
}

void ServerSet::OnSent(Server& server, core::TimePoint now, std::uint64_t object) {
  ++server.in_flight;
  if (server.Cold(now)) server.cold_sends.push_back(now);
  if (server.pace) server.pace->OnSent(object, server.Cold(now), now);
}

void ServerSet::LogPace(const Server& server, FreshPace::Decision decision, core::TimePoint now) {
  pace_log_.Add({server.report.id, server.report.service, decision.change, decision.reason,
                 server.pace ? server.pace->window() : 0, server.Cold(now)});
}

void ServerSet::UpdatePace(Server& server, AttemptEnd end, const std::optional<ServerLoad>& load,
                           core::Duration latency, core::Duration expected, core::TimePoint now,
                           std::uint64_t object) {
  FreshSample sample;
  switch (end) {
    case AttemptEnd::kAnswered:
      sample.outcome = FreshOutcome::kAnswered;
      break;
    case AttemptEnd::kShed:
      sample.outcome = FreshOutcome::kRefused;
      break;
    case AttemptEnd::kAbandoned:
      sample.outcome = FreshOutcome::kAbandoned;
      break;
    case AttemptEnd::kServerError:
    case AttemptEnd::kFailed:
    case AttemptEnd::kUnreachable:
      sample.outcome = FreshOutcome::kFailed;
      break;
  }
  sample.latency = latency;
  sample.expected =
      std::chrono::duration_cast<core::Duration>(expected * Slowdown(server, latency, now));
  sample.slots = server.report.slots;
  sample.in_flight = server.in_flight;
  if (load) {
    sample.has_load = true;
    sample.running = load->running;
    sample.waiting = load->waiting;
  }
  sample.mean_utilization =
      MeanUtilization(server.report.service, server.region, now).value_or(0.0);
  sample.cold = server.Cold(now);
  const FreshPace::Decision decision = server.pace->OnEnd(object, sample, now);
  if (decision.change == PaceChange::kNone) return;
  LogPace(server, decision, now);
  if (decision.change == PaceChange::kFinished) server.pace.reset();
}

void ServerSet::Eject(Server& server, core::TimePoint until, core::TimePoint now) noexcept {
  server.ejected_until = std::max(server.ejected_until, until);
  if (server.pace) {
    server.pace->Restart(now);
  } else if (server.fresh_cause == FreshCause::kNone) {
    server.fresh_cause = FreshCause::kRecovered;
  }
}

void ServerSet::AddSlowdown(Server& server, double value, core::TimePoint now) {
  const SlowdownStatistics::Sample sample{SlowdownStatistics::Bounded(value), now};
  slowdowns_[server.report.service].Add(sample, server.slowdown);
  server.slowdown = sample;
}

double ServerSet::Slowdown(const Server& server, core::Duration duration,
                           core::TimePoint now) const {
  const auto statistics = slowdowns_.find(server.report.service);
  if (!server.slowdown || statistics == slowdowns_.end()) return 1;
  return statistics->second.Predict(*server.slowdown, duration, now);
}

void ServerSet::OnEnd(Server& server, AttemptEnd end, const std::optional<ServerLoad>& load,
                      core::Duration latency, core::Duration expected, core::TimePoint now,
                      std::uint64_t object) {
  // What a cold server and an empty cache cost is not part of its own latency.
  const bool comparable = !server.pace || !server.pace->SentOf(object).IsSlowerThanUsual();
  if (load) {
    const double total = load->running + load->waiting;
    const double others_load = std::max(0.0, total - server.in_flight);
    // The older the estimate, the greater the weight of the new sample.
    const double weight = 1 - (1 - kLoadWeight) * server.LoadConfidence(now);
    server.others_load = Smooth(server.others_load, others_load, weight);
    server.others_load_at = now;
    const double slots = std::max(1U, load->slots > 0 ? load->slots : server.report.slots);
    utilization_[{server.report.service, server.region}].Add(total / slots, now);
    if (load->slowdown) AddSlowdown(server, *load->slowdown, now);
  } else if (end == AttemptEnd::kShed) {
    utilization_[{server.report.service, server.region}].Add(1, now);
  }
  if (server.pace) UpdatePace(server, end, load, latency, expected, now, object);
  if (server.in_flight > 0) --server.in_flight;
  if (end == AttemptEnd::kAbandoned) return;
  server.latency_ratio = server.LatencyRatio(now);
  server.failure_rate = server.FailureRate(now);
  server.outcome_at = now;
  switch (end) {
    case AttemptEnd::kAnswered:
      server.consecutive_failures = 0;
      server.failure_rate = Smooth(server.failure_rate, 0, kFailureWeight);
      if (expected.count() > 0 && comparable) {
        // What the server's reports explain is not part of its own latency.
        const double ratio =
            static_cast<double>(latency.count()) /
            (static_cast<double>(expected.count()) * Slowdown(server, latency, now));
        server.latency_ratio =
            Smooth(server.latency_ratio, std::clamp(ratio, kMinLatencyRatio, kMaxLatencyRatio),
                   kLatencyWeight);
      }
      return;
    case AttemptEnd::kShed:
      // A shed request is no fault of the server but shows that all its slots are in use.
      server.others_load = std::max(server.others_load, static_cast<double>(server.report.slots));
      server.others_load_at = now;
      server.failure_rate = Smooth(server.failure_rate, 1, kFailureWeight);
      return;
    case AttemptEnd::kServerError:
      server.failure_rate = Smooth(server.failure_rate, 1, kFailureWeight);
      return;
    case AttemptEnd::kUnreachable:
      Eject(server, now + kUnreachableEjection, now);
      [[fallthrough]];
    case AttemptEnd::kFailed:
      server.failure_rate = Smooth(server.failure_rate, 1, kFailureWeight);
      ++server.consecutive_failures;
      if (server.consecutive_failures >= kFailuresToEject) {
        const auto doublings =
            std::min(server.consecutive_failures - kFailuresToEject, kMaxDoublings);
        const auto ejection = std::min(kFirstEjection * (1U << doublings), kLongestEjection);
        Eject(server, now + ejection, now);
      }
      return;
    case AttemptEnd::kAbandoned:
      return;
  }
}

void ServerSet::SetEvacuated(std::set<std::string> failure_domains, core::Duration cold_duration,
                             core::TimePoint now) {
  for (const auto& [id, server] : by_id_) {
    const std::string& domain = server->report.failure_domain;
    // Caches may have gone cold while the failure domain was evacuated.
    if (evacuated_.count(domain) > 0 && failure_domains.count(domain) == 0) {
      server->cold_until = std::max(server->cold_until, now + cold_duration);
      server->fresh_cause = FreshCause::kReturned;
    }
  }
  evacuated_ = std::move(failure_domains);
}

std::optional<double> ServerSet::MeanUtilization(const std::string& service,
                                                 const std::string& region,
                                                 core::TimePoint now) const {
  const auto it = utilization_.find({service, region});
  return it == utilization_.end() ? std::nullopt : it->second.Mean(now);
}

const std::vector<ServerPtr>& ServerSet::OfService(const std::string& service) const {
  static const std::vector<ServerPtr> none;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

ServerPtr ServerSet::Find(const std::string& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

std::vector<ServerPtr> ServerSet::AddressHolders(const std::string& address) const {
  std::vector<ServerPtr> holders;
  const auto listed = by_address_.find(address);
  if (listed == by_address_.end()) return holders;
  std::copy_if(listed->second.begin(), listed->second.end(), std::back_inserter(holders),
               [](const ServerPtr& it) { return !it->gone; });
  return holders;
}

bool ServerSet::Assignable(const Server& server) const noexcept {
  return !server.gone && !server.draining && evacuated_.count(server.report.failure_domain) == 0;
}

bool ServerSet::Usable(const Server& server, core::TimePoint now) const noexcept {
  return Assignable(server) && now >= server.ejected_until;
}

std::vector<std::string> ServerSet::Ids() const {
  std::vector<std::string> ids;
  ids.reserve(by_id_.size());
  for (const auto& [id, server] : by_id_) ids.push_back(id);
  return ids;
}

void ServerSet::Index(const ServerPtr& server) {
  by_service_[server->report.service].push_back(server);
}

void ServerSet::Unindex(const Server& server) {
  auto& list = by_service_[server.report.service];
  list.erase(std::remove_if(list.begin(), list.end(),
                            [&](const ServerPtr& it) { return it.get() == &server; }),
             list.end());
}

}  // namespace vanilladeck::steering

#include "vanilladeck/steering/server_set.h"

#include <algorithm>

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
  if (same_incarnation && report.sequence <= known->report.sequence) return Change::kNone;
  const bool returns = same_incarnation && same_place && known->gone;
  if (same_incarnation && same_place) {
    const bool starts_drain = report.state == ServerState::kDraining && !known->draining;
    known->report = report;
    known->reported_at = now;
    known->draining = known->draining || report.state == ServerState::kDraining;
    known->cold_until = now + report.cold_left;
    if (!returns) return starts_drain ? Change::kDraining : Change::kNone;
    if (IsSuperseded(*known, false)) return Change::kNone;
  }
  const auto server = returns ? std::make_shared<Server>(*known) : std::make_shared<Server>();
  server->serial = ++last_serial_;
  if (returns) {
    server->gone = false;
    server->in_flight = 0;
  } else {
    server->report = report;
    server->region = region_of_(report.failure_domain);
    server->reported_at = now;
    server->draining = report.state == ServerState::kDraining;
    server->cold_until = now + report.cold_left;
    if (same_incarnation) {
      server->draining = server->draining || known->draining;
      server->cold_sends = known->cold_sends;
    }
  }
  if (known) Remove(*known);
  by_id_.emplace(report.id, server);
  Index(server);
  ClaimAddress(server);
  return returns ? Change::kReturned : Change::kAdded;
}

bool ServerSet::OnRemoved(const std::string& id) {
  const ServerPtr server = Find(id);
  if (!server) return false;
  Remove(*server);
  return true;
}

void ServerSet::Remove(Server& server) {
  server.gone = true;
  ReleaseAddress(server);
  Unindex(server);
  by_id_.erase(server.report.id);
}

void ServerSet::OnMisdirected(Server& server) noexcept {
  server.gone = true;
  ReleaseAddress(server);
}

bool ServerSet::IsSuperseded(const Server& server, bool registers) const {
  const ServerPtr holder = AddressHolder(server.report.address);
  if (!holder || holder.get() == &server) return false;
  const std::int64_t born_ms = server.report.born_ms;
  const std::int64_t holder_born_ms = holder->report.born_ms;
  return born_ms < holder_born_ms || (born_ms == holder_born_ms && !registers);
}

void ServerSet::ClaimAddress(const ServerPtr& server) {
  if (IsSuperseded(*server, true)) {
    server->gone = true;
    return;
  }
  ServerPtr& holder = by_address_[server->report.address];
  if (holder) holder->gone = true;
  holder = server;
}

void ServerSet::ReleaseAddress(const Server& server) noexcept {
  const auto it = by_address_.find(server.report.address);
  if (it != by_address_.end() && it->second.get() == &server) by_address_.erase(it);
}

void ServerSet::OnSent(Server& server, core::TimePoint now) {
  ++server.in_flight;
  if (server.Cold(now)) server.cold_sends.push_back(now);
}

void ServerSet::OnEnd(Server& server, AttemptEnd end, const std::optional<ServerLoad>& load,
                      core::Duration latency, core::Duration expected, core::TimePoint now) {
  if (load) {
    const double total = load->running + load->waiting;
    const double others_load = std::max(0.0, total - server.in_flight);
    // The older the estimate, the greater the weight of the new sample.
    const double weight = 1 - (1 - kLoadWeight) * server.LoadConfidence(now);
    server.others_load = Smooth(server.others_load, others_load, weight);
    server.others_load_at = now;
    const double slots = std::max(1U, load->slots);
    utilization_[{server.report.service, server.region}].Add(total / slots, now);
  } else if (end == AttemptEnd::kShed) {
    utilization_[{server.report.service, server.region}].Add(1, now);
  }
  if (server.in_flight > 0) --server.in_flight;
  if (end == AttemptEnd::kAbandoned) return;
  server.latency_ratio = server.LatencyRatio(now);
  server.failure_rate = server.FailureRate(now);
  server.outcome_at = now;
  switch (end) {
    case AttemptEnd::kAnswered:
      server.consecutive_failures = 0;
      server.failure_rate = Smooth(server.failure_rate, 0, kFailureWeight);
      if (expected.count() > 0) {
        const double ratio =
            static_cast<double>(latency.count()) / static_cast<double>(expected.count());
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
      server.ejected_until = std::max(server.ejected_until, now + kUnreachableEjection);
      [[fallthrough]];
    case AttemptEnd::kFailed:
      server.failure_rate = Smooth(server.failure_rate, 1, kFailureWeight);
      ++server.consecutive_failures;
      if (server.consecutive_failures >= kFailuresToEject) {
        const auto doublings =
            std::min(server.consecutive_failures - kFailuresToEject, kMaxDoublings);
        const auto ejection = std::min(kFirstEjection * (1U << doublings), kLongestEjection);
        server.ejected_until = std::max(server.ejected_until, now + ejection);
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

ServerPtr ServerSet::AddressHolder(const std::string& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : it->second;
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

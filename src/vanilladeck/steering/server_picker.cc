#include "vanilladeck/steering/server_picker.h"

#include <algorithm>
#include <cmath>

#include "vanilladeck/core/hash.h"
#include "vanilladeck/customers/request_terms.h"

namespace vanilladeck::steering {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kSplitInterval = milliseconds(500);
// Operators allow 15% of a region's requests to change their region within 2 s; four steps of 2%
// leave a margin for overflow and for differences between instances.
constexpr double kSplitStep = 0.02;
// Share of the picks in a window of 2 s that may go outside the region of the split while that
// region has servers.
constexpr double kOverflowShare = 0.04;
constexpr core::Duration kOverflowWindow = std::chrono::seconds(2);
// Queue limit at a server as a share of its slots, by rank. Less urgent ranks stop queueing first,
// which leaves the rest of the queue to more urgent ones. A request takes a third to a half of its
// objective at a server that has the object cached, so a queue longer than the slots makes every
// response late.
constexpr std::array<double, 4> kQueueShare{1.5, 0.8, 0.5, 0.35};
// Cost of a later server in an object's order, in units of the route's latency: the first ones are
// used often enough to have the object cached, the others are not.
constexpr std::array<double, 4> kPositionCost{0, 0.25, 0.5, 1.2};
constexpr double kFurtherPositionCost = 0.1;
// Most preferred servers per object. A server caches only some dozens of objects; spreading each
// object over more servers evicts others, and a cache miss holds a slot three times as long.
constexpr std::size_t kMaxPreferredServers = 3;
// Assumed cache size of a server in objects; the services in use cache 20 to 80.
constexpr double kObjectsPerServer = 40;
// Objects requested within the last one to two periods are counted.
constexpr core::Duration kObjectCountPeriod = std::chrono::seconds(10);
// Highest utilization at which a server takes requests for objects that do not prefer it.
constexpr double kSpareUtilization = 0.5;
// Half of a route's objective is the estimate before its latency is measured.
constexpr int kUnknownLatencyDivisor = 2;
// Cost of a failed attempt, relative to the route's objective.
constexpr double kFailureCost = 1.0;
// Latency of an object's first request at a server, relative to the route's mean, before it is
// measured: a cache miss holds a slot three times as long.
constexpr double kUnknownMissRatio = 3.0;
constexpr double kMaxMissRatio = 4.0;
constexpr double kMissRatioWeight = 0.1;
// A margin, because the cold rate holds for the sum over all instances, whose views of the fleet
// can differ for a short time.
constexpr double kColdSafety = 0.8;
constexpr core::Duration kColdWindow = std::chrono::seconds(1);
constexpr double kTwoTo64 = 18446744073709551616.0;

double QueueShare(std::uint32_t priority) {
  return kQueueShare[std::min<std::size_t>(priority, kQueueShare.size() - 1)];
}

/// 0 for a request without an object.
std::uint64_t ObjectOf(const PickQuery& query) {
  if (query.object.empty()) return 0;
  return core::Hash64(query.object, core::Hash64(query.route->name));
}

double PositionCost(std::size_t position) {
  if (position < kPositionCost.size()) return kPositionCost[position];
  return kPositionCost.back() +
         kFurtherPositionCost * static_cast<double>(position - kPositionCost.size() + 1);
}

}  // namespace

ServerPicker::ServerPicker(PickerSettings settings, ServerSet& servers, const FleetShare& fleet,
                           ServerLimits& limits)
    : settings_(std::move(settings)), servers_(servers), fleet_(fleet), limits_(limits) {}

RegionSplit& ServerPicker::SplitOf(const std::string& service) {
  const auto it = splits_.find(service);
  if (it != splits_.end()) return it->second;
  return splits_.emplace(service, RegionSplit(settings_.region, kSplitInterval)).first->second;
}

void ServerPicker::OnLatency(const config::Route& route, const std::string& service,
                             core::Duration latency, bool comparable, core::TimePoint now) {
  latency_[route.name][service].Add(latency, comparable, now);
}

core::Duration ServerPicker::Measured(const config::Route& route,
                                      const std::string& service) const {
  const auto of_route = latency_.find(route.name);
  if (of_route == latency_.end()) return core::Duration::zero();
  const auto it = of_route->second.find(service);
  return it == of_route->second.end() ? core::Duration::zero()
                                      : it->second.mean().value_or(core::Duration::zero());
}

core::Duration ServerPicker::Expected(const config::Route& route,
                                      const std::string& service) const {
  const core::Duration measured = Measured(route, service);
  if (measured > core::Duration::zero()) return measured;
  return core::Duration(route.objective) / kUnknownLatencyDivisor;
}

void ServerPicker::UpdateSplits(core::TimePoint now) {
  for (auto& [service, split] : splits_) {
    std::map<std::string, RegionLoad> regions;
    for (const ServerPtr& it : servers_.OfService(service)) {
      RegionLoad& region = regions[it->region];
      if (!servers_.Usable(*it, now)) continue;
      region.slots += it->report.slots;
      region.load += it->Load(now);
    }
    for (auto& [name, region] : regions) {
      if (const auto mean = servers_.MeanUtilization(service, name, now)) {
        region.load = *mean * region.slots;
      }
    }
    split.Update(regions, kSplitStep, now);
  }
}

void ServerPicker::CountObject(const std::string& service, std::uint64_t object,
                               core::TimePoint now) {
  ObjectCount& count = objects_[service];
  if (now - count.rotated > kObjectCountPeriod) {
    count.previous = std::move(count.current);
    count.current.clear();
    count.rotated = now;
  }
  count.current.insert(object);
}

std::size_t ServerPicker::PreferredServerCount(const std::string& service,
                                               std::size_t servers) const {
  const auto it = objects_.find(service);
  if (it == objects_.end()) return kMaxPreferredServers;
  const std::size_t objects = std::max(it->second.current.size(), it->second.previous.size());
  if (objects == 0) return kMaxPreferredServers;
  const double preferred_count =
      kObjectsPerServer * static_cast<double>(servers) / static_cast<double>(objects);
  return static_cast<std::size_t>(
      std::clamp(preferred_count, 1.0, static_cast<double>(kMaxPreferredServers)));
}

double ServerPicker::RegionShare(const std::string& service, const std::string& region) const {
  const auto it = splits_.find(service);
  return it == splits_.end() ? 0 : it->second.Share(region);
}

bool ServerPicker::ColdRateAllows(const PickQuery& query, Server& server,
                                  core::TimePoint now) const {
  if (!server.Cold(now) || query.service == nullptr) return true;
  while (!server.cold_sends.empty() && now - server.cold_sends.front() > kColdWindow) {
    server.cold_sends.pop_front();
  }
  return server.cold_sends.size() < ColdShare(*query.service, server, now);
}

std::uint32_t ServerPicker::ColdShare(const config::ServiceLimits& service, const Server& server,
                                      core::TimePoint now) const {
  const double limit =
      kColdSafety * (service.cold_rate * settings_.cold_overage + settings_.cold_slack);
  if (!settings_.fresh_pace || !fleet_.senders().known()) {
    return fleet_.IntegerShare(limit, server.report.id);
  }
  return fleet_.senders().Share(limit, server.report.id, server.region, now);
}

FreshPace* ServerPicker::PaceOf(const PickQuery& query, Server& server, core::TimePoint now) {
  if (!settings_.fresh_pace || query.service->cold_rate <= 0 ||
      query.service->cold_duration.count() <= 0) {
    return nullptr;
  }
  if (server.fresh_cause != FreshCause::kNone) {
    server.pace.emplace(server.fresh_cause, now);
    const PaceReason reason =
        server.fresh_cause == FreshCause::kStarted    ? PaceReason::kServerStarted
        : server.fresh_cause == FreshCause::kReturned ? PaceReason::kServerReturned
                                                      : PaceReason::kServerRecovered;
    server.fresh_cause = FreshCause::kNone;
    servers_.LogPace(server, {PaceChange::kStarted, reason}, now);
  }
  if (server.pace && server.Cold(now)) server.pace->NoteCold(server.cold_until);
  if (server.pace && server.pace->Elapsed(now)) {
    servers_.LogPace(server, {PaceChange::kFinished, PaceReason::kElapsed}, now);
    server.pace.reset();
  }
  return server.pace ? &*server.pace : nullptr;
}

double ServerPicker::MissRatio(const config::Route& route) const {
  const auto it = miss_ratio_.find(route.name);
  return it == miss_ratio_.end() ? kUnknownMissRatio : it->second;
}

void ServerPicker::OnFreshLatency(const config::Route& route, const std::string& service,
                                  core::Duration latency, FreshPace::Sent sent, bool answered) {
  if (!sent.first) return;
  const auto expected = static_cast<double>(Expected(route, service).count());
  if (expected <= 0) return;
  const double ratio =
      static_cast<double>(latency.count()) / expected / (sent.cold ? kColdLatencyFactor : 1);
  const double known = MissRatio(route);
  // A request that was given up would have taken longer.
  if (!answered && ratio < known) return;
  miss_ratio_[route.name] =
      known + kMissRatioWeight * (std::clamp(ratio, 1.0, kMaxMissRatio) - known);
}

ServerPicker::Order ServerPicker::OrderByAffinity(const PickQuery& query, const std::string& region,
                                                  bool in_region, core::TimePoint now) {
  Order order;
  const std::uint64_t object = query.object.empty() ? query.spread : ObjectOf(query);
  for (const ServerPtr& it : servers_.OfService(query.service->name)) {
    if (!servers_.Usable(*it, now)) continue;
    if ((it->region == region) != in_region) continue;
    if (!customers::AllowsRegion(*query.route, query.customer, it->region)) continue;
    if (query.tried != nullptr &&
        std::find(query.tried->begin(), query.tried->end(), it->report.id) != query.tried->end()) {
      continue;
    }
    if (!limits_.Allows(it->report.id, it->region, now)) {
      order.limited = true;
      continue;
    }
    order.candidates.push_back({it, core::Hash64(it->report.id, object)});
  }
  std::sort(order.candidates.begin(), order.candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.weight > b.weight; });
  return order;
}

std::variant<Pick, NoServerReason> ServerPicker::ChooseLowestCost(const PickQuery& query,
                                                                  const Order& affinity_order,
                                                                  core::TimePoint now) {
  const std::vector<Candidate>& order = affinity_order.candidates;
  if (order.empty()) {
    return affinity_order.limited ? NoServerReason::kLimited : NoServerReason::kNoneUsable;
  }
  const std::string& service = query.service->name;
  const core::Duration usual = Expected(*query.route, service);
  const auto usual_latency = static_cast<double>(usual.count());
  RouteLatency& learned = latency_[query.route->name][service];
  const bool may_try = learned.MayTry(now);
  const auto objective = static_cast<double>(core::Duration(query.route->objective).count());
  const std::size_t preferred_count = PreferredServerCount(query.service->name, order.size());
  const double queue_share = QueueShare(customers::PriorityOf(*query.route, query.customer));
  NoServerReason reason = NoServerReason::kCold;
  Choice best;
  bool best_offered = false;
  // Used if nothing else is left: a response that comes late is better than none.
  Choice withheld;
  // Used if nothing else is left, to find out whether it is still too late.
  Choice trial;
  const std::uint64_t object = ObjectOf(query);
  std::map<std::string_view, double> mean_utilizations;  // By region of the servers in `order`.
  for (std::size_t position = 0; position < order.size(); ++position) {
    Server& server = *order[position].server;
    const double slots = std::max(1U, server.report.slots);
    auto [mean, added] = mean_utilizations.try_emplace(server.region, 0.0);
    if (added) {
      mean->second =
          servers_.MeanUtilization(query.service->name, server.region, now).value_or(0.0);
    }
    const double load = server.Load(now, mean->second * slots);
    const double excess = load + 1 - slots;
    const bool has_spare_slots = load <= slots * kSpareUtilization;
    const FreshPace* pace = PaceOf(query, server, now);
    const double fresh_factor =
        pace != nullptr ? pace->LatencyFactor(object, server.Cold(now), MissRatio(*query.route))
                        : (server.Cold(now) ? kColdLatencyFactor : 1);
    const double slowdown =
        servers_.Slowdown(server, usual, now) * server.LatencyRatio(now) * fresh_factor;
    double expected = usual_latency * slowdown * (1 + std::max(0.0, excess) / slots);
    if (server.region != settings_.region) {
      expected += static_cast<double>(settings_.region_round_trip.count());
    }
    if (excess > slots * queue_share || (position >= preferred_count && !has_spare_slots)) {
      reason = NoServerReason::kFull;
      continue;
    }
    const bool late = expected > static_cast<double>(query.remaining.count());
    if (late && !may_try) {
      reason = NoServerReason::kTooLate;
      continue;
    }
    if (!ColdRateAllows(query, server, now)) continue;
    const double cost = expected + usual_latency * PositionCost(position) +
                        server.FailureRate(now) * objective * kFailureCost;
    const Choice choice{&order[position], cost, expected, position};
    if (late) {
      if (cost < trial.cost) trial = choice;
      continue;
    }
    if (pace != nullptr && !pace->Allows(object, server.in_flight)) {
      if (excess <= 0 && cost < withheld.cost) withheld = choice;
      continue;
    }
    const bool offered = pace != nullptr && position == 0 && server.region == settings_.region &&
                         pace->Wants(object, now);
    if (offered || (!best_offered && cost < best.cost)) {
      best = choice;
      best_offered = offered;
    }
  }
  if (withheld.candidate != nullptr) servers_.pace_log().CountWithheld();
  if (best_offered) servers_.pace_log().CountOffered();
  if (best.candidate == nullptr) best = withheld;
  if (best.candidate == nullptr && trial.candidate != nullptr) {
    best = trial;
    learned.OnTried(now);
  }
  if (best.candidate == nullptr) return reason;
  return Pick{best.candidate->server, core::Duration(static_cast<std::int64_t>(best.expected)),
              static_cast<std::uint32_t>(best.position), object};
}

std::variant<Pick, NoServerReason> ServerPicker::Choose(const PickQuery& query,
                                                        core::TimePoint now) {
  if (query.service == nullptr) return NoServerReason::kNoneUsable;
  if (now - overflow_window_start_ > kOverflowWindow) {
    overflow_window_start_ = now;
    overflow_picks_ = 0;
    picks_ = 0;
  }
  ++picks_;
  RegionSplit& split = SplitOf(query.service->name);
  if (split.RegionAt(0).empty()) UpdateSplits(now);
  const std::uint64_t position_hash =
      query.object.empty() ? core::Hash64("", query.spread)
                           : core::Hash64(query.object, core::Hash64(query.route->name) + 1);
  if (!query.object.empty()) CountObject(query.service->name, position_hash, now);
  const std::string& region = split.RegionAt(static_cast<double>(position_hash) / kTwoTo64);
  auto pick = ChooseLowestCost(query, OrderByAffinity(query, region, true, now), now);
  if (std::holds_alternative<Pick>(pick)) return pick;
  const auto reason = std::get<NoServerReason>(pick);
  // Without usable servers in the region of the split any request may leave it; in overload only
  // `kOverflowShare` of them.
  if (reason != NoServerReason::kNoneUsable) {
    if (overflow_picks_ + 1 > kOverflowShare * picks_) return pick;
    ++overflow_picks_;
  }
  auto remote = ChooseLowestCost(query, OrderByAffinity(query, region, false, now), now);
  if (std::holds_alternative<Pick>(remote)) return remote;
  return reason == NoServerReason::kNoneUsable ? remote : pick;
}

}  // namespace vanilladeck::steering

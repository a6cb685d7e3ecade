#include "vanilladeck/membership/entry_capacity.h"

#include <algorithm>
#include <numeric>

namespace vanilladeck::membership {
namespace {

// Instances whose capacities differ by at most this factor are named together: a set that takes in
// as many instances of half the capacity carries no less.
constexpr double kTierRatio = 2;
// Share of its capacity up to which an instance may be planned to be loaded. Loads vary within the
// second for which they are measured, and clients do not pick evenly.
constexpr double kPlannedLoad = 0.7;
// A set with more instances must carry this much more: it costs more connections to servers, and
// its gain is an estimate.
constexpr double kAdvantage = 1.5;
// Keeps sets comparable if a record states a tiny value.
constexpr double kMinCapacity = 1e-3;

/// Sets of `order`, each the first `size` instances, with the capacity of the smallest.
struct Tier {
  std::size_t size;
  double capacity;
};

double Ratio(double value, double widest) {
  return value > 0 && widest > 0 ? std::min(1.0, value / widest) : 1.0;
}

/// Widest value of each resource.
struct Widest {
  double link = 0;
  double processors = 0;
  double memory = 0;

  explicit Widest(const std::vector<const InstanceRecord*>& candidates) {
    for (const InstanceRecord* it : candidates) {
      link = std::max(link, it->link_mbps);
      processors = std::max(processors, it->cpu_share);
      memory = std::max(memory, static_cast<double>(it->memory_mb));
    }
  }

  [[nodiscard]] double StatedBy(const InstanceRecord& record) const {
    return std::min({Ratio(record.link_mbps, link), Ratio(record.cpu_share, processors),
                     Ratio(record.memory_mb, memory)});
  }
  [[nodiscard]] double CapacityOf(const InstanceRecord& record) const {
    return std::max(StatedBy(record) * record.speed, kMinCapacity);
  }
};

std::vector<Tier> TiersOf(const std::vector<std::size_t>& order,
                          const std::vector<double>& capacities) {
  std::vector<Tier> tiers;
  double first = 0;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const double capacity = capacities[order[i]];
    if (tiers.empty() || capacity * kTierRatio < first) {
      first = capacity;
      tiers.push_back({});
    }
    tiers.back() = {i + 1, capacity};
  }
  return tiers;
}

std::optional<double> DemandOf(const std::vector<const InstanceRecord*>& candidates,
                               const std::vector<double>& capacities) {
  double demand = 0;
  double known = 0;
  double all = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    all += capacities[i];
    if (!candidates[i]->load) continue;
    known += capacities[i];
    demand += *candidates[i]->load * capacities[i];
  }
  if (known <= 0) return std::nullopt;
  // Instances that have just started state no load yet.
  return demand * all / known;
}

}  // namespace

std::vector<double> RelativeCapacities(const std::vector<const InstanceRecord*>& candidates) {
  const Widest widest(candidates);
  std::vector<double> capacities;
  capacities.reserve(candidates.size());
  for (const InstanceRecord* it : candidates) capacities.push_back(widest.CapacityOf(*it));
  return capacities;
}

EntrySelection SelectEntries(const std::vector<const InstanceRecord*>& candidates,
                             const std::vector<const InstanceRecord*>& lost, std::size_t losses) {
  EntrySelection selection;
  if (candidates.empty()) return selection;
  const Widest widest(candidates);
  const auto capacities = RelativeCapacities(candidates);
  selection.demand = DemandOf(candidates, capacities);
  const bool equal = std::all_of(
      candidates.begin(), candidates.end(),
      [&widest](const InstanceRecord* it) { return widest.StatedBy(*it) * kTierRatio >= 1; });
  if (equal) {
    selection.named = candidates;
    return selection;
  }
  selection.equal = false;
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&capacities](std::size_t a, std::size_t b) {
    return capacities[a] > capacities[b];
  });
  const double needed = selection.demand.value_or(0) / kPlannedLoad;

  std::map<std::string, std::size_t> in_domain;
  std::size_t largest_domain = 0;
  std::size_t counted = 0;
  std::size_t chosen = 0;
  double most = 0;
  bool survivable = false;
  for (const Tier& tier : TiersOf(order, capacities)) {
    for (; counted < tier.size; ++counted) {
      auto& n = in_domain[candidates[order[counted]]->failure_domain];
      largest_domain = std::max(largest_domain, ++n);
    }
    const auto gone = static_cast<std::size_t>(
        std::count_if(lost.begin(), lost.end(), [&widest, &tier](const InstanceRecord* it) {
          return widest.CapacityOf(*it) >= tier.capacity;
        }));
    const std::size_t to_bear = std::max(losses, largest_domain);
    const std::size_t ahead = to_bear > gone ? to_bear - gone : 0;
    const bool survives = ahead < tier.size;
    const auto left = static_cast<double>(survives ? tier.size - ahead : 1);
    const double carried = left * tier.capacity;
    // One instance is not enough while there are others.
    const bool several = tier.size > 1;
    const bool suffices = several && selection.demand && survives && carried >= needed;
    const bool first = chosen < 2;
    if (first || carried > most * kAdvantage || (suffices && !survivable)) {
      chosen = tier.size;
      most = carried;
      survivable = survives;
      selection.lost = gone;
      selection.carried = carried;
    }
    if (suffices && chosen == tier.size) break;
  }
  std::vector<bool> named(candidates.size(), false);
  for (std::size_t i = 0; i < chosen; ++i) named[order[i]] = true;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (named[i]) selection.named.push_back(candidates[i]);
  }
  return selection;
}

void LostInstances::Update(const std::map<std::string, InstanceRecord>& instances,
                           core::TimePoint now) {
  std::map<std::string, InstanceRecord> ready;
  for (const auto& [name, record] : instances) {
    if (!record.ready) continue;
    ready.emplace(name, record);
    records_.erase(name);
    lost_at_.erase(name);
  }
  for (const auto& [name, record] : ready_) {
    if (ready.count(name) > 0) continue;
    records_[name] = record;
    lost_at_[name] = now;
  }
  ready_ = std::move(ready);
  Expire(now);
}

void LostInstances::Expire(core::TimePoint now) {
  for (auto it = lost_at_.begin(); it != lost_at_.end();) {
    const bool forgotten = now - it->second >= kMemory;
    if (forgotten) records_.erase(it->first);
    it = forgotten ? lost_at_.erase(it) : std::next(it);
  }
}

}  // namespace vanilladeck::membership

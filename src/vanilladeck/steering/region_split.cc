#include "vanilladeck/steering/region_split.h"

#include <algorithm>

namespace vanilladeck::steering {
namespace {

// Nearly full servers slow down and queue, so requests move away before that.
constexpr double kHighUtilization = 0.80;
constexpr double kLowUtilization = 0.60;
// Minimum difference to the utilization of the target region, or requests would move back and
// forth.
constexpr double kUtilizationGap = 0.15;
// Typical utilization. Before any load is known, it gives the share that a small region can serve,
// assuming equal demand in each region.
constexpr double kInitialUtilization = 0.5;

}  // namespace

void RegionSplit::Initialize(const std::map<std::string, RegionLoad>& regions) {
  double total = 0;
  double remote = 0;
  double regions_with_servers = 0;
  for (const auto& [name, region] : regions) {
    total += region.slots;
    if (name != own_region_) remote += region.slots;
    if (region.slots > 0) regions_with_servers += 1;
  }
  if (total <= 0) return;
  const auto own = regions.find(own_region_);
  const double own_slots = own == regions.end() ? 0 : own->second.slots;
  const double demand = kInitialUtilization * total / std::max(1.0, regions_with_servers);
  const double own_share =
      remote <= 0 ? 1 : std::min(1.0, own_slots * kHighUtilization / std::max(demand, 1e-9));
  for (const auto& [name, region] : regions) {
    shares_[name] = name == own_region_ ? own_share : (1 - own_share) * region.slots / remote;
  }
}

void RegionSplit::Update(const std::map<std::string, RegionLoad>& regions, double max_step,
                         core::TimePoint now) {
  if (shares_.empty()) {
    Initialize(regions);
    updated_ = now;
    return;
  }
  if (now - updated_ < update_interval_) return;
  updated_ = now;
  for (const auto& [name, region] : regions) shares_.try_emplace(name, 0.0);
  // The least utilized region takes over the whole share of a region without usable servers.
  const auto least_utilized = std::min_element(
      regions.begin(), regions.end(),
      [](auto& a, auto& b) { return a.second.Utilization() < b.second.Utilization(); });
  if (least_utilized == regions.end() || least_utilized->second.slots <= 0) return;
  for (auto& [name, share] : shares_) {
    const auto region = regions.find(name);
    if ((region == regions.end() || region->second.slots <= 0) && share > 0) {
      shares_[least_utilized->first] += share;
      share = 0;
    }
  }
  const auto most_utilized =
      std::max_element(shares_.begin(), shares_.end(), [&](const auto& a, const auto& b) {
        const auto utilization = [&](const auto& it) {
          const auto region = regions.find(it.first);
          return it.second > 0 && region != regions.end() ? region->second.Utilization() : -1.0;
        };
        return utilization(a) < utilization(b);
      });
  const double highest = regions.at(most_utilized->first).Utilization();
  const double lowest = least_utilized->second.Utilization();
  const auto own = regions.find(own_region_);
  const double own_utilization = own == regions.end() ? 1e9 : own->second.Utilization();
  if (highest > kHighUtilization && highest - lowest > kUtilizationGap) {
    const double step = std::min(max_step, most_utilized->second);
    most_utilized->second -= step;
    shares_[least_utilized->first] += step;
  } else if (own_utilization < kLowUtilization && shares_[own_region_] < 1) {
    // Returns requests to the own region at half the step, from the remote regions in name order.
    double step = max_step / 2;
    for (auto& [name, share] : shares_) {
      if (name == own_region_ || step <= 0) continue;
      const double moved = std::min(step, share);
      share -= moved;
      step -= moved;
      shares_[own_region_] += moved;
    }
  }
}

const std::string& RegionSplit::RegionAt(double position) const {
  static const std::string none;
  if (shares_.empty()) return none;
  const auto own = shares_.find(own_region_);
  if (own != shares_.end()) {
    if (position < own->second) return own->first;
    position -= own->second;
  }
  const std::string* last = &shares_.begin()->first;
  for (const auto& [name, share] : shares_) {
    if (name == own_region_ || share <= 0) continue;
    last = &name;
    if (position < share) return name;
    position -= share;
  }
  return *last;
}

double RegionSplit::Share(const std::string& region) const {
  const auto it = shares_.find(region);
  return it == shares_.end() ? 0 : it->second;
}

}  // namespace vanilladeck::steering

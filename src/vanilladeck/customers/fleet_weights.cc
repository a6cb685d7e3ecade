#include "vanilladeck/customers/fleet_weights.h"

#include <algorithm>

namespace vanilladeck::customers {

namespace {

// Instances that exchange tokens state it about twice a second.
constexpr core::Duration kStatedTime = std::chrono::seconds(3);
// Updates are due several times a second.
constexpr core::Duration kMaxUpdateGap = std::chrono::seconds(1);

}  // namespace

void FleetWeights::Update(const std::map<std::string, double>& listed, core::TimePoint now) {
  // A process that did not run does not know since when the others are not listed.
  if (now - updated_at_ > kMaxUpdateGap) {
    for (auto& [name, known] : known_) known.listed_at = now;
  }
  for (auto& [name, known] : known_) known.listed = false;
  listed_weight_ = 0;
  updated_at_ = now;
  for (const auto& [name, weight] : listed) {
    known_[name] = {weight, true, now};
    listed_weight_ += weight;
  }
  total_ = 0;
  for (const auto& [name, known] : known_) total_ += known.weight;
  if (listed_weight_ <= total_ / 2) return;
  for (auto it = known_.begin(); it != known_.end();) {
    if (now - it->second.listed_at < kDivideDelay) {
      ++it;
      continue;
    }
    total_ -= it->second.weight;
    stated_.erase(it->first);
    it = known_.erase(it);
  }
}

bool FleetWeights::IsListed(const std::string& name) const {
  const auto it = known_.find(name);
  return it != known_.end() && it->second.listed;
}

void FleetWeights::OnStated(const std::string& instance, double total, core::TimePoint now) {
  stated_[instance] = {total, now};
}

double FleetWeights::ShareOf(const std::string& name, core::TimePoint now) const {
  const auto it = known_.find(name);
  double total = total_;
  for (const auto& [instance, stated] : stated_) {
    if (now - stated.at < kStatedTime) total = std::max(total, stated.total);
  }
  return it == known_.end() || total <= 0 ? 0 : it->second.weight / total;
}

}  // namespace vanilladeck::customers

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/membership/registration.h"

namespace vanilladeck::membership {

/// Instances selected to be named in lookups, and what the selection was based on. Capacities and
/// demand are in multiples of the widest candidate.
struct EntrySelection {
  std::vector<const InstanceRecord*> named;  ///< In the order of the candidates.
  std::size_t lost = 0;                      ///< Instances of the same capacity lost recently.
  std::optional<double> demand;              ///< Unknown if no candidate states a load.
  /// Load that those left carry after the losses that must be tolerated.
  double carried = 0;
  bool equal = true;  ///< All candidates state a similar capacity, so that loads do not matter.
};

/// Selects the instances that clients enter by.
///
/// Clients pick at random among the instances named, so that a set carries its size times the
/// capacity of its smallest member, and naming a small instance can reduce what the set carries.
/// Candidates are divided into tiers of similar capacity; the sets considered are the widest tier,
/// the two widest and so on. Tiers are never split, so that the selection changes only if a tier's
/// worth of capacity is needed; if all state a similar capacity, all are named. The smallest set is
/// selected that carries the demand after the loss of `losses` instances or of one failure domain;
/// losses that have already happened, given as `lost`, count as part of these. If there is no such
/// set, or the demand is unknown, the set that carries most is selected. A larger set is considered
/// only if it carries clearly more than the smaller ones, or if these do not survive the losses.
[[nodiscard]] EntrySelection SelectEntries(const std::vector<const InstanceRecord*>& candidates,
                                           const std::vector<const InstanceRecord*>& lost,
                                           std::size_t losses);

/// Capacity of each candidate relative to the widest: the smallest of the ratios of link,
/// processors and memory, times the measured speed. A value that is unknown counts as the widest.
[[nodiscard]] std::vector<double> RelativeCapacities(
    const std::vector<const InstanceRecord*>& candidates);

/// Instances that were ready a short time ago and no longer are.
class LostInstances {
 public:
  /// Call when records have changed, with all records.
  void Update(const std::map<std::string, InstanceRecord>& instances, core::TimePoint now);
  /// Forgets instances that were lost `kMemory` ago.
  void Expire(core::TimePoint now);

  /// Records of the lost instances, as of when they were ready.
  [[nodiscard]] const std::map<std::string, InstanceRecord>& records() const noexcept {
    return records_;
  }

  /// After this time an instance that has not returned is no longer expected back: the losses to be
  /// tolerated are counted anew from those left. A restarted instance is back within 20 s.
  static constexpr core::Duration kMemory = std::chrono::seconds(60);

 private:
  std::map<std::string, InstanceRecord> ready_;  ///< As of the last update.
  std::map<std::string, InstanceRecord> records_;
  std::map<std::string, core::TimePoint> lost_at_;
};

}  // namespace vanilladeck::membership

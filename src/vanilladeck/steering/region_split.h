#pragma once

#include <map>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// Capacity and load of one region's servers of a service.
struct RegionLoad {
  double slots = 0;  ///< Sum over usable servers.
  double load = 0;   ///< Requests running or queued there.

  [[nodiscard]] double Utilization() const noexcept { return slots > 0 ? load / slots : 1e9; }
};

/// Divides the own region's requests for one service among regions, in bounded steps.
///
/// Objects have fixed positions on [0, 1), regions own intervals of it, and only the interval
/// boundaries move. Steps are bounded because each move leads to cold caches and because operators
/// cap the share of a region's requests that may change their region within 2 s.
class RegionSplit {
 public:
  RegionSplit(std::string own_region, core::Duration update_interval)
      : own_region_(std::move(own_region)), update_interval_(update_interval) {}

  /// Moves the boundaries once per `update_interval`, each share by at most `max_step`. The share
  /// of a region without usable servers moves at once.
  void Update(const std::map<std::string, RegionLoad>& regions, double max_step,
              core::TimePoint now);

  /// Region of an object at `position` in [0, 1); empty before the first update.
  [[nodiscard]] const std::string& RegionAt(double position) const;

  [[nodiscard]] double Share(const std::string& region) const;
  [[nodiscard]] const std::map<std::string, double>& shares() const noexcept { return shares_; }

 private:
  void Initialize(const std::map<std::string, RegionLoad>& regions);

  std::string own_region_;
  core::Duration update_interval_;
  std::map<std::string, double> shares_;  ///< Sum 1.
  core::TimePoint updated_;
};

}  // namespace vanilladeck::steering

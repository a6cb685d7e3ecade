#pragma once

#include <map>
#include <string>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::customers {

/// This instance's part of limits on the sum over all instances, by the instances' weights.
///
/// The share of an instance that is no longer listed is divided among the others only after it can
/// no longer use it, and only by instances that had more than half of all shares: without the
/// store, the others of a divided fleet keep theirs if they are the majority.
class FleetWeights {
 public:
  /// `listed` holds the weight of each listed instance, this one included.
  void Update(const std::map<std::string, double>& listed, core::TimePoint now);
  /// Another instance knows of instances with this weight in total. One that has just started does
  /// not know those that its listing no longer contains.
  void OnStated(const std::string& instance, double total, core::TimePoint now);
  /// Part of `name` between 0 and 1.
  [[nodiscard]] double ShareOf(const std::string& name, core::TimePoint now) const;
  [[nodiscard]] bool IsListed(const std::string& name) const;
  [[nodiscard]] double listed_weight() const noexcept { return listed_weight_; }
  /// Weight of all instances whose shares are not divided yet, as known here.
  [[nodiscard]] double total() const noexcept { return total_; }

  /// An instance whose lease was renewed this long ago stops using its share.
  static constexpr core::Duration kMaxLeaseAge = std::chrono::seconds(9);
  /// Time from the end of an instance's listing until its share is divided among others. Its lease
  /// was valid at the start, so that `kMaxLeaseAge` and a term of lending end before.
  static constexpr core::Duration kDivideDelay = std::chrono::seconds(11);

 private:
  struct Known {
    double weight = 0;
    bool listed = false;
    core::TimePoint listed_at;  ///< Last time at which it was listed.
  };

  struct Stated {
    double total = 0;
    core::TimePoint at;
  };

  std::map<std::string, Known> known_;
  std::map<std::string, Stated> stated_;
  double total_ = 0;
  double listed_weight_ = 0;
  core::TimePoint updated_at_;
};

}  // namespace vanilladeck::customers

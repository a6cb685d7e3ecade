#pragma once

#include <cstdint>
#include <map>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::membership {

/// What this instance knows about the holders of its domain's seats; confirms holders that cannot
/// reach the store.
///
/// A claimant announces its claim to every domain peer and waits a hold time after the last
/// acknowledgement. A witness that could have missed an announcement, because it has just started
/// or was paused, therefore confirms nobody for a hold time.
class SeatWitness {
 public:
  SeatWitness(core::Duration hold, core::TimePoint now)
      : hold_(hold), last_tick_(now), quiet_until_(now + hold) {}

  /// Call at least every quarter of the hold time; a longer silence counts as a pause.
  void Tick(core::TimePoint now);

  /// Notes an announcement or a record read from the store. Acknowledge announcements after this.
  void Note(std::uint32_t seat, const core::InstanceId& holder, std::uint64_t term);

  /// True when this instance knows of the seat and knows no newer holder.
  [[nodiscard]] bool Confirm(std::uint32_t seat, const core::InstanceId& holder, std::uint64_t term,
                             core::TimePoint now);

 private:
  struct Known {
    std::uint64_t term = 0;
    core::InstanceId holder;
  };

  core::Duration hold_;
  core::TimePoint last_tick_;
  core::TimePoint quiet_until_;
  std::map<std::uint32_t, Known> known_;
};

}  // namespace vanilladeck::membership

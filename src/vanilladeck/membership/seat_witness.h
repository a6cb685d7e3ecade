#pragma once

#include <cstdint>
#include <map>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::membership {

/// Tracks the holders of the failure domain's seats and confirms holders that cannot reach the
/// store.
///
/// A claimant announces its claim to every peer of the domain and waits one hold time after the
/// last acknowledgement. A witness that may have missed an announcement, because it has just
/// started or was paused, therefore confirms no holder for one hold time.
class SeatWitness {
 public:
  SeatWitness(core::Duration hold, core::TimePoint now)
      : hold_(hold), last_tick_(now), no_confirmation_before_(now + hold) {}

  /// Call at least every quarter of the hold time; a gap of over half of it counts as a pause.
  void Tick(core::TimePoint now);

  /// Records the holder from an announcement or from a record read from the store. Acknowledge an
  /// announcement only after this call.
  void Note(std::uint32_t seat, const core::InstanceId& holder, std::uint64_t term);

  /// True if this instance knows the seat and no newer holder of it.
  [[nodiscard]] bool Confirm(std::uint32_t seat, const core::InstanceId& holder, std::uint64_t term,
                             core::TimePoint now);

 private:
  struct Holder {
    std::uint64_t term = 0;
    core::InstanceId holder;
  };

  core::Duration hold_;
  core::TimePoint last_tick_;
  core::TimePoint no_confirmation_before_;
  std::map<std::uint32_t, Holder> holders_;
};

}  // namespace vanilladeck::membership

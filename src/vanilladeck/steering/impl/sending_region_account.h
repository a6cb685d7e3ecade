#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering::impl {

/// Unused, unexpired credits of one sender for one service.
struct OutstandingGrant {
  core::InstanceId sender;
  std::string service;
  std::uint32_t count = 0;
  core::TimePoint expiry;
};

/// Credits granted to one sending region, and the requests admitted from it.
///
/// Invariants, with `used` = requests admitted in the last second:
///   outstanding + used      <= rate_cap      bounds the requests admitted in any second
///   outstanding + in_flight <= inflight_cap
///   outstanding + used      <= ramp          if `ramped`
struct SendingRegionAccount {
  std::uint32_t rate_cap = 0;
  std::uint32_t inflight_cap = 0;
  bool ramped = true;  ///< False within the own region, whose servers are warm for this traffic.
  double ramp = 1;
  bool limited_by_ramp = false;  ///< The ramp limited a grant since the last growth.
  core::TimePoint grown_at;
  core::TimePoint last_used;

  std::deque<OutstandingGrant> grants;     ///< In order of expiry.
  std::deque<core::TimePoint> admissions;  ///< Within the last second.
  std::uint32_t outstanding = 0;
  std::uint32_t in_flight = 0;

  /// Removes expired grants and admissions older than a second.
  void Expire(core::TimePoint now);
  /// Raises the ramp if it limited grants and the load is `measured`; resets it after 30 s idle.
  void Grow(core::TimePoint now, bool measured);
  /// Credits that may be granted now.
  [[nodiscard]] std::uint32_t AvailableCredits() const noexcept;
};

}  // namespace vanilladeck::steering::impl

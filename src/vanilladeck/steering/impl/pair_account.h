#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering::impl {

/// Credits granted to one sender for one service that are neither used nor expired.
struct OutstandingGrant {
  core::InstanceId sender;
  std::string service;
  std::uint32_t count = 0;
  core::TimePoint expiry;
};

/// What one seat holder granted to, and has in progress from, one sending region.
///
/// Invariants, with `used` = requests admitted in the last second:
///   outstanding + used      <= rate_cap      so no second admits more than the cap
///   outstanding + in_flight <= inflight_cap
///   outstanding + used      <= ramp          if `ramped`
struct PairAccount {
  std::uint32_t rate_cap = 0;
  std::uint32_t inflight_cap = 0;
  bool ramped = true;  ///< False within the own region: its servers are warm for this traffic.
  double ramp = 1;
  bool limited_by_ramp = false;  ///< A request for credits met the ramp since the last growth.
  core::TimePoint grown_at;
  core::TimePoint last_used;

  std::deque<OutstandingGrant> grants;  ///< In order of expiry.
  std::deque<core::TimePoint> uses;     ///< Admissions of the last second.
  std::uint32_t outstanding = 0;
  std::uint32_t in_flight = 0;

  /// Drops expired grants and old uses.
  void Expire(core::TimePoint now);
  /// Raises the ramp if it was the limit; `measured` false keeps it.
  void Grow(core::TimePoint now, bool measured);
  /// Credits that may be granted now.
  [[nodiscard]] std::uint32_t Room() const noexcept;
};

}  // namespace vanilladeck::steering::impl

#pragma once

#include <cstdint>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::operations {

/// Readings of both clocks: steady time for leases, wall time for the age of keys.
struct Now {
  core::TimePoint steady;
  std::int64_t wall_ms = 0;
};

}  // namespace vanilladeck::operations

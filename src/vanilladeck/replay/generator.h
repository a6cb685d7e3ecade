#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "vanilladeck/core/rank.h"
#include "vanilladeck/replay/trace.h"

namespace vanilladeck::replay {

/// Poisson arrivals of one rank in one region.
struct Stream {
  std::uint32_t region = 0;
  core::Rank rank = core::Rank::kNormal;
  double load = 0;  ///< Average number of slots that the stream keeps busy.
  core::Duration from{0};
  core::Duration to{0};
  core::Duration mean_service{0};
};

/// Appends the arrivals of all streams to `trace.arrivals`; equal seeds give equal arrivals.
///
/// A service time is half the mean plus an exponentially distributed part, so that no request takes
/// no time and some take several times the mean.
void Generate(const std::vector<Stream>& streams, std::uint64_t seed, Trace& trace);

/// The traces stored in tests/traces: floods, region loss, lost measurements, drains, shifts.
[[nodiscard]] std::vector<Trace> StandardTraces();

/// Parameters of a flood: offered load of ten times the capacity, most of it in the rank
/// `flooding`.
struct Flood {
  std::string name;
  config::SchedulerKind scheduler = config::SchedulerKind::kWeightedFair;
  core::Rank flooding = core::Rank::kBulk;
  std::uint32_t servers = 0;
  std::uint32_t slots = 0;
  std::uint32_t seats = 2;
  core::Duration mean_service{0};
  core::Duration length{0};
  double service_factor = 1;  ///< Mean service time of `flooding`, as a multiple of `mean_service`.
};

[[nodiscard]] Trace MakeFlood(const Flood& flood, std::uint64_t seed);

}  // namespace vanilladeck::replay

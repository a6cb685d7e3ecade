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
  double load = 0;  ///< Slots that the stream would keep busy.
  core::Duration from{0};
  core::Duration to{0};
  core::Duration mean_service{0};
};

/// Fills `trace.arrivals` from streams; equal seeds give equal arrivals.
///
/// Service times have a fixed part of half the mean and an exponential rest, so that no request is
/// free and some take several times the mean.
void Generate(const std::vector<Stream>& streams, std::uint64_t seed, Trace& trace);

/// The traces kept under tests/traces: floods, loss of a region, lost measurements, drains, shifts.
[[nodiscard]] std::vector<Trace> StandardTraces();

/// A flood of ten times the capacity, in which `flooding` takes what the other ranks leave.
struct Flood {
  std::string name;
  config::SchedulerKind scheduler = config::SchedulerKind::kWeightedFair;
  core::Rank flooding = core::Rank::kBulk;
  std::uint32_t servers = 0;
  std::uint32_t slots = 0;
  std::uint32_t seats = 2;
  core::Duration mean_service{0};
  core::Duration length{0};
  double service_factor = 1;  ///< Service time of the flooding rank, in means of the others.
};

[[nodiscard]] Trace MakeFlood(const Flood& flood, std::uint64_t seed);

}  // namespace vanilladeck::replay

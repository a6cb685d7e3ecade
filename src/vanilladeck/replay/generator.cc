#include "vanilladeck/replay/generator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

namespace vanilladeck::replay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kFloodFactor = 10;
constexpr core::Duration kWarmUp = seconds(2);
constexpr core::Duration kClientRoundTrip = milliseconds(6);
constexpr core::Duration kRegionOneWay = milliseconds(55);

/// Uses the rank targets of the example deployment.
void SetPolicy(config::SchedulerKind scheduler, config::Deployment& deployment) {
  deployment.policy.scheduler = scheduler;
  deployment.ranks = {config::RankTargets{milliseconds(1000), 100, 0.3},
                      config::RankTargets{milliseconds(3000), 10, 0.3},
                      config::RankTargets{milliseconds(10000), 1, 0.1}};
  deployment.services.push_back({"service", {}, core::Rank::kNormal, {}});
}

void AddDomain(const std::string& region, std::uint32_t servers, std::uint32_t slots,
               config::Deployment& deployment, std::uint32_t seats = 2) {
  if (std::ranges::find(deployment.regions, region, &config::Region::name) ==
      deployment.regions.end()) {
    deployment.regions.push_back({region, {}});
  }
  const std::string name = region + "-" + std::to_string(deployment.failure_domains.size());
  deployment.failure_domains.push_back({name, region, seats});
  deployment.services.front().places.push_back({name, servers, slots, 1});
}

Trace MakeTrace(std::string name, config::SchedulerKind scheduler, core::Duration length) {
  Trace trace;
  trace.name = name;
  trace.deployment.name = std::move(name);
  SetPolicy(scheduler, trace.deployment);
  trace.one_way = kRegionOneWay;
  trace.round_trip = kClientRoundTrip;
  trace.measure_from = kWarmUp;
  trace.measure_to = length;
  return trace;
}

/// Adds a stream for each rank with a positive load, in slots, from `from` to `to`.
void AddLoad(std::uint32_t region, const core::PerRank<double>& load, core::Duration from,
             core::Duration to, core::Duration service, std::vector<Stream>& streams) {
  for (core::Rank rank : core::kAllRanks) {
    if (load[core::Index(rank)] <= 0) continue;
    streams.push_back({region, rank, load[core::Index(rank)], from, to, service});
  }
}

Trace MakeRegionLost() {
  Trace trace = MakeTrace("region_lost", config::SchedulerKind::kWeightedFair, seconds(12));
  for (const char* region : {"east", "west", "south"}) AddDomain(region, 2, 6, trace.deployment);
  for (const char* to : {"west", "south"}) {
    trace.deployment.links.push_back({"east", to, 0, 12, 3});
    trace.deployment.links.push_back({to == std::string("west") ? "south" : "west", to, 0, 12, 3});
  }
  // East is drained as planned and shifts load to both other regions; then south is lost.
  std::vector<Stream> streams;
  for (std::uint32_t region = 0; region < 3; ++region) {
    AddLoad(region, {1.5, 2.5, 1.5}, {}, seconds(12), milliseconds(120), streams);
  }
  Generate(streams, 11, trace);
  trace.incidents = {{seconds(3), IncidentKind::kRegionDrains, "east"},
                     {seconds(6), IncidentKind::kRegionLost, "south"}};
  trace.expect = {1.5, {}, {}, seconds(3), 10};
  return trace;
}

Trace MakeMeasurementsStop(const std::string& name, IncidentKind kind, std::uint64_t seed) {
  Trace trace = MakeTrace(name, config::SchedulerKind::kWeightedFair, seconds(10));
  AddDomain("east", 3, 6, trace.deployment);
  std::vector<Stream> streams;
  AddLoad(0, {4, 6, 20}, {}, seconds(10), milliseconds(150), streams);
  Generate(streams, seed, trace);
  trace.incidents = {{seconds(4), kind, ""}};
  trace.expect = {1.5, 0.95, 0.95, {}, {}};
  return trace;
}

Trace MakePlannedDrain() {
  Trace trace = MakeTrace("planned_drain", config::SchedulerKind::kStrict, seconds(10));
  AddDomain("east", 3, 6, trace.deployment);
  std::vector<Stream> streams;
  AddLoad(0, {3, 4, 2}, {}, seconds(10), milliseconds(150), streams);
  Generate(streams, 17, trace);
  trace.incidents = {{seconds(4), IncidentKind::kServerLeaves, "10.0.0.1:80"}};
  trace.expect = {1.5, {}, {}, seconds(3), {}};
  return trace;
}

Trace MakeColdShift() {
  Trace trace = MakeTrace("cold_shift", config::SchedulerKind::kDeadline, seconds(16));
  AddDomain("east", 2, 8, trace.deployment);
  AddDomain("west", 2, 8, trace.deployment);
  trace.deployment.links.push_back({"east", "west", 0, 20, 6});
  trace.cold_factor = 3;
  trace.cold_requests = 20;
  std::vector<Stream> streams;
  AddLoad(0, {3, 6, 3}, {}, seconds(16), milliseconds(150), streams);
  AddLoad(1, {2, 2, 1}, {}, seconds(16), milliseconds(150), streams);
  Generate(streams, 19, trace);
  trace.incidents = {{seconds(4), IncidentKind::kRegionDrains, "east"}};
  trace.expect = {1.5, {}, {}, seconds(3), 40};
  return trace;
}

}  // namespace

void Generate(const std::vector<Stream>& streams, std::uint64_t seed, Trace& trace) {
  std::mt19937_64 random(seed);
  // Implemented here because the standard distributions differ between library implementations.
  const auto exponential = [&random](double mean) {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    const double uniform = static_cast<double>(random() >> 11U) * kScale;
    return -mean * std::log1p(-uniform);
  };
  for (const Stream& stream : streams) {
    const double service = std::chrono::duration<double, std::micro>(stream.mean_service).count();
    const double gap = service / stream.load;
    double at = std::chrono::duration<double, std::micro>(stream.from).count();
    const double end = std::chrono::duration<double, std::micro>(stream.to).count();
    while ((at += exponential(gap)) < end) {
      const double runs = service / 2 + exponential(service / 2);
      trace.arrivals.push_back({std::chrono::microseconds(static_cast<std::int64_t>(at)),
                                stream.region, stream.rank,
                                std::chrono::microseconds(static_cast<std::int64_t>(runs))});
    }
  }
  std::ranges::stable_sort(trace.arrivals, {}, &Arrival::at);
}

Trace MakeFlood(const Flood& flood, std::uint64_t seed) {
  Trace trace = MakeTrace(flood.name, flood.scheduler, flood.length);
  AddDomain("east", flood.servers, flood.slots, trace.deployment, flood.seats);
  const double slots = flood.servers * flood.slots;
  // Urgent load is below its floor and normal load above it; the flooding rank makes up the rest of
  // ten times the slots.
  constexpr core::PerRank<double> kBaseLoad{0.2, 0.7, 0.3};
  core::PerRank<double> load{};
  double others = 0;
  for (core::Rank rank : core::kAllRanks) {
    load[core::Index(rank)] = kBaseLoad[core::Index(rank)] * slots;
    if (rank != flood.flooding) others += load[core::Index(rank)];
  }
  load[core::Index(flood.flooding)] = kFloodFactor * slots - others;
  std::vector<Stream> streams;
  AddLoad(0, load, {}, flood.length, flood.mean_service, streams);
  for (Stream& stream : streams) {
    if (stream.rank != flood.flooding) continue;
    stream.mean_service =
        std::chrono::duration_cast<core::Duration>(stream.mean_service * flood.service_factor);
  }
  Generate(streams, seed, trace);
  trace.expect = {1.5, 0.95, 0.95, {}, {}};
  return trace;
}

std::vector<Trace> StandardTraces() {
  using config::SchedulerKind;
  std::vector<Trace> traces;
  traces.push_back(MakeFlood({"flood_bulk", SchedulerKind::kWeightedFair, core::Rank::kBulk, 2, 8,
                              2, milliseconds(200), seconds(8)},
                             3));
  traces.push_back(MakeFlood({"flood_urgent", SchedulerKind::kStrict, core::Rank::kUrgent, 2, 8, 2,
                              milliseconds(200), seconds(8)},
                             5));
  traces.push_back(MakeRegionLost());
  traces.push_back(MakeMeasurementsStop("measurements_stop", IncidentKind::kReportsStop, 13));
  traces.push_back(MakeMeasurementsStop("measurements_zero", IncidentKind::kReportsZero, 23));
  traces.push_back(MakePlannedDrain());
  traces.push_back(MakeColdShift());
  return traces;
}

}  // namespace vanilladeck::replay

#include "vanilladeck/replay/trace.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace vanilladeck::replay {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

core::Duration Millis(const json& value) { return milliseconds(value.get<std::int64_t>()); }

std::int64_t ToMillis(core::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::int64_t ToMicros(core::Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

template <std::size_t N>
std::size_t IndexOf(const std::array<std::string_view, N>& names, const std::string& name) {
  const auto it = std::ranges::find(names, name);
  if (it == names.end()) throw std::invalid_argument("unknown name " + name);
  return static_cast<std::size_t>(it - names.begin());
}

config::Deployment ReadDeployment(const json& header) {
  config::Deployment deployment;
  deployment.name = header.at("name");
  deployment.policy.scheduler =
      static_cast<config::SchedulerKind>(IndexOf(config::kSchedulerNames, header.at("scheduler")));
  deployment.policy.queue_limit = header.at("queue_limit");
  for (core::Rank rank : core::kAllRanks) {
    const json& row = header.at("ranks").at(std::string(Name(rank)));
    deployment.ranks[core::Index(rank)] = {milliseconds(row.at("target_ms").get<std::int64_t>()),
                                           row.at("worth"), row.at("floor")};
  }
  config::Service service{"service", {}, core::Rank::kNormal, {}};
  for (const json& row : header.at("domains")) {
    const std::string region = row.at("region");
    const auto known = std::ranges::find(deployment.regions, region, &config::Region::name);
    if (known == deployment.regions.end()) deployment.regions.push_back({region, {}});
    deployment.failure_domains.push_back({row.at("name"), region, row.at("seats")});
    service.places.push_back({row.at("name"), row.at("servers"), row.at("slots"), 1});
  }
  deployment.services.push_back(std::move(service));
  for (const json& row : header.value("links", json::array())) {
    deployment.links.push_back(
        {row.at("from"), row.at("to"), 0, row.at("shift_cap_rps"), row.at("shift_cap_inflight")});
  }
  return deployment;
}

Expectations ReadExpectations(const json& row) {
  Expectations expect;
  if (row.contains("urgent_p99_ratio")) expect.urgent_p99_ratio = row.at("urgent_p99_ratio");
  if (row.contains("kept_floor")) expect.kept_floor = row.at("kept_floor");
  if (row.contains("goodput")) expect.goodput = row.at("goodput");
  if (row.contains("leaving_stops_ms")) expect.leaving_stops = Millis(row.at("leaving_stops_ms"));
  if (row.contains("forwarded")) expect.forwarded = row.at("forwarded").get<std::uint64_t>();
  return expect;
}

void ReadHeader(const json& header, Trace& trace) {
  trace.name = header.at("name");
  trace.deployment = ReadDeployment(header);
  trace.one_way = Millis(header.at("one_way_ms"));
  trace.round_trip = Millis(header.at("round_trip_ms"));
  trace.measure_from = Millis(header.at("measure_from_ms"));
  trace.measure_to = Millis(header.at("measure_to_ms"));
  trace.cold_factor = header.value("cold_factor", 1.0);
  trace.cold_requests = header.value("cold_requests", 0U);
  trace.expect = ReadExpectations(header.at("expect"));
}

void ReadRow(const json& row, Trace& trace) {
  if (row.is_object()) {
    trace.incidents.push_back(
        {Millis(row.at("at_ms")),
         static_cast<IncidentKind>(IndexOf(kIncidentNames, row.at("incident"))),
         row.value("subject", "")});
    return;
  }
  const std::uint32_t region = row.at(1);
  const std::size_t rank = row.at(2);
  if (region >= trace.deployment.regions.size()) throw std::invalid_argument("unknown region");
  if (rank >= core::kRankCount) throw std::invalid_argument("unknown rank");
  const core::Duration at = microseconds(row.at(0).get<std::int64_t>());
  if (!trace.arrivals.empty() && at < trace.arrivals.back().at) {
    throw std::invalid_argument("arrivals are not in chronological order");
  }
  trace.arrivals.push_back(
      {at, region, core::kAllRanks.at(rank), microseconds(row.at(3).get<std::int64_t>())});
}

json EncodeHeader(const Trace& trace) {
  const config::Deployment& deployment = trace.deployment;
  json header{{"name", trace.name},
              {"scheduler",
               config::kSchedulerNames.at(static_cast<std::size_t>(deployment.policy.scheduler))},
              {"queue_limit", deployment.policy.queue_limit},
              {"one_way_ms", ToMillis(trace.one_way)},
              {"round_trip_ms", ToMillis(trace.round_trip)},
              {"measure_from_ms", ToMillis(trace.measure_from)},
              {"measure_to_ms", ToMillis(trace.measure_to)},
              {"cold_factor", trace.cold_factor},
              {"cold_requests", trace.cold_requests}};
  for (core::Rank rank : core::kAllRanks) {
    const config::RankTargets& targets = deployment.ranks[core::Index(rank)];
    header["ranks"][std::string(Name(rank))] = {
        {"target_ms", targets.target.count()}, {"worth", targets.worth}, {"floor", targets.floor}};
  }
  for (std::size_t i = 0; i < deployment.failure_domains.size(); ++i) {
    const config::FailureDomain& domain = deployment.failure_domains[i];
    const config::Place& place = deployment.services.front().places.at(i);
    header["domains"].push_back({{"name", domain.name},
                                 {"region", domain.region},
                                 {"seats", domain.seats},
                                 {"servers", place.servers},
                                 {"slots", place.slots}});
  }
  for (const config::Link& link : deployment.links) {
    header["links"].push_back({{"from", link.from},
                               {"to", link.to},
                               {"shift_cap_rps", link.shift_cap_rps},
                               {"shift_cap_inflight", link.shift_cap_inflight}});
  }
  json expect = json::object();
  if (trace.expect.urgent_p99_ratio) expect["urgent_p99_ratio"] = *trace.expect.urgent_p99_ratio;
  if (trace.expect.kept_floor) expect["kept_floor"] = *trace.expect.kept_floor;
  if (trace.expect.goodput) expect["goodput"] = *trace.expect.goodput;
  if (trace.expect.leaving_stops) {
    expect["leaving_stops_ms"] = ToMillis(*trace.expect.leaving_stops);
  }
  if (trace.expect.forwarded) expect["forwarded"] = *trace.expect.forwarded;
  header["expect"] = expect;
  return header;
}

}  // namespace

core::Result<Trace, TraceError> ReadTrace(std::istream& in) {
  Trace trace;
  std::string text;
  std::size_t line = 0;
  try {
    while (std::getline(in, text)) {
      ++line;
      const json row = json::parse(text);
      if (line == 1) {
        ReadHeader(row, trace);
      } else {
        ReadRow(row, trace);
      }
    }
  } catch (const std::exception& error) {
    return TraceError{line, error.what()};
  }
  if (line == 0) return TraceError{1, "the trace is empty: no header"};
  return trace;
}

void WriteTrace(const Trace& trace, std::ostream& out) {
  out << EncodeHeader(trace).dump() << '\n';
  for (const Incident& incident : trace.incidents) {
    const json row{{"at_ms", ToMillis(incident.at)},
                   {"incident", kIncidentNames.at(static_cast<std::size_t>(incident.kind))},
                   {"subject", incident.subject}};
    out << row.dump() << '\n';
  }
  for (const Arrival& arrival : trace.arrivals) {
    out << '[' << ToMicros(arrival.at) << ',' << arrival.region << ',' << core::Index(arrival.rank)
        << ',' << ToMicros(arrival.service) << "]\n";
  }
}

}  // namespace vanilladeck::replay

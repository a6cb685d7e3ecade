#include "vanilladeck/config/impl/deployment_reader.h"

#include <algorithm>
#include <utility>

#include "vanilladeck/config/impl/customer_reader.h"
#include "vanilladeck/config/impl/route_reader.h"

namespace vanilladeck::config::impl {
namespace {

constexpr Bounds kFraction{0, 1, false};
/// At most a day: a longer retention would fill the platform's store.
constexpr Bounds kRetentionSeconds{0, 86'400, true};
constexpr Bounds kTtlSeconds{1, 3'600, true};

template <class To, class From>
void AssignIfPresent(To& to, const Located<From>& from) {
  if (from.present) to = static_cast<To>(from.value);
}

std::uint32_t ReadCount(TableReader& reader, std::string_view key, Bounds bounds) {
  std::uint32_t count = 0;
  AssignIfPresent(count, reader.Integer(key, Presence::kRequired, bounds));
  return count;
}

template <std::size_t N>
std::size_t FindEnumIndex(const Located<std::string>& text,
                          const std::array<std::string_view, N>& names, std::size_t fallback,
                          ErrorSink& sink) {
  if (!text.present) return fallback;
  const auto it = std::find(names.begin(), names.end(), text.value);
  if (it != names.end()) return static_cast<std::size_t>(it - names.begin());
  std::string message = "\"" + text.value + "\" is not one of";
  for (auto name : names) message += ' ' + std::string(name);
  sink.Add(ConfigErrorCode::kInvalidValue, text.at, std::move(message));
  return fallback;
}

void ReadGeneral(TableReader& root, Deployment& out, ErrorSink& sink) {
  const auto* table = root.Table("deployment", Presence::kRequired);
  if (table == nullptr) return;
  TableReader reader(*table, "deployment", sink);
  out.name = reader.NameString("name").value;
  AssignIfPresent(out.record_retention,
                  reader.Integer("record_retention_s", Presence::kOptional, kRetentionSeconds));
  AssignIfPresent(out.lookup_ttl, reader.Integer("lookup_ttl_s", Presence::kOptional, kTtlSeconds));
  reader.RejectUnknownKeys();
}

void ReadPolicy(TableReader& root, Policy& out, ErrorSink& sink) {
  const auto* table = root.Table("policy", Presence::kOptional);
  if (table == nullptr) return;
  TableReader reader(*table, "policy", sink);
  out.scheduler = static_cast<SchedulerKind>(
      FindEnumIndex(reader.String("scheduler", Presence::kOptional), kSchedulerNames,
                    static_cast<std::size_t>(out.scheduler), sink));
  AssignIfPresent(out.queue_limit,
                  reader.Integer("queue_limit", Presence::kOptional, kPositiveCount));
  AssignIfPresent(out.retry_budget, reader.Number("retry_budget", Presence::kOptional, kFraction));
  AssignIfPresent(out.drain_timeout,
                  reader.Integer("drain_timeout_s", Presence::kOptional, kPositiveCount));
  reader.RejectUnknownKeys();
}

void ReadRanks(TableReader& root, ParsedDeployment& out, ErrorSink& sink) {
  const auto* ranks = root.Table("ranks", Presence::kRequired);
  if (ranks == nullptr) return;
  TableReader reader(*ranks, "ranks", sink);
  for (core::Rank rank : core::kAllRanks) {
    const auto* table = reader.Table(Name(rank), Presence::kRequired);
    if (table == nullptr) continue;
    TableReader values(*table, "ranks." + std::string(Name(rank)), sink);
    auto& targets = out.deployment.ranks[Index(rank)];
    AssignIfPresent(targets.target,
                    values.Integer("target_ms", Presence::kRequired, kPositiveCount));
    AssignIfPresent(targets.worth, values.Number("worth", Presence::kOptional, kPositive));
    const auto floor = values.Number("floor", Presence::kOptional, kNotNegative);
    AssignIfPresent(targets.floor, floor);
    out.positions.floors[Index(rank)] = floor.at;
    values.RejectUnknownKeys();
  }
  reader.RejectUnknownKeys();
}

void ReadRegions(TableReader& root, ParsedDeployment& out, ErrorSink& sink) {
  for (const auto* table : root.Tables("region", Presence::kRequired)) {
    TableReader reader(*table, "region", sink);
    auto& region = out.deployment.regions.emplace_back();
    auto& at = out.positions.regions.emplace_back();
    const auto name = reader.NameString("name");
    region.name = name.value;
    at.name = name.at;
    for (auto& block : reader.Strings("client_blocks", Presence::kOptional)) {
      region.client_blocks.push_back(std::move(block.value));
      at.client_blocks.push_back(block.at);
    }
    reader.RejectUnknownKeys();
  }
}

void ReadFailureDomains(TableReader& root, ParsedDeployment& out, ErrorSink& sink) {
  for (const auto* table : root.Tables("failure_domain", Presence::kRequired)) {
    TableReader reader(*table, "failure_domain", sink);
    const auto name = reader.NameString("name");
    const auto region = reader.String("region", Presence::kRequired);
    out.deployment.failure_domains.push_back(
        {name.value, region.value, ReadCount(reader, "seats", kPositiveCount)});
    out.positions.failure_domains.push_back({name.at, region.at});
    reader.RejectUnknownKeys();
  }
}

void ReadLinks(TableReader& root, ParsedDeployment& out, ErrorSink& sink) {
  for (const auto* table : root.Tables("link", Presence::kOptional)) {
    TableReader reader(*table, "link", sink);
    const auto from = reader.String("from", Presence::kRequired);
    const auto to = reader.String("to", Presence::kRequired);
    const auto capacity = reader.Number("capacity_mbps", Presence::kRequired, kPositive);
    const auto cap = reader.Number("shift_cap_rps", Presence::kRequired, kNotNegative);
    out.deployment.links.push_back({from.value, to.value, capacity.present ? capacity.value : 0,
                                    cap.present ? cap.value : 0,
                                    ReadCount(reader, "shift_cap_inflight", kCount)});
    out.positions.links.push_back({from.at, to.at, cap.at});
    reader.RejectUnknownKeys();
  }
}

void ReadPlaces(TableReader& service, Service& out, Positions::Service& at, ErrorSink& sink) {
  for (const auto* table : service.Tables("place", Presence::kOptional)) {
    TableReader reader(*table, "service.place", sink);
    const auto domain = reader.String("failure_domain", Presence::kRequired);
    Place place;
    place.failure_domain = domain.value;
    place.servers = ReadCount(reader, "servers", kPositiveCount);
    place.slots = ReadCount(reader, "slots", kPositiveCount);
    place.connections = ReadCount(reader, "connections", kPositiveCount);
    out.places.push_back(std::move(place));
    at.places.push_back(domain.at);
    reader.RejectUnknownKeys();
  }
}

void ReadServices(TableReader& root, ParsedDeployment& out, ErrorSink& sink) {
  for (const auto* table : root.Tables("service", Presence::kRequired)) {
    TableReader reader(*table, "service", sink);
    auto& service = out.deployment.services.emplace_back();
    auto& at = out.positions.services.emplace_back();
    const auto name = reader.NameString("name");
    service.name = name.value;
    at.name = name.at;
    for (auto& dependency : reader.Strings("depends_on", Presence::kOptional)) {
      service.depends_on.push_back(std::move(dependency.value));
      at.depends_on.push_back(dependency.at);
    }
    service.default_rank =
        static_cast<core::Rank>(FindEnumIndex(reader.String("default_rank", Presence::kOptional),
                                              core::kRankNames, Index(core::Rank::kNormal), sink));
    ReadPlaces(reader, service, at, sink);
    reader.RejectUnknownKeys();
  }
}

}  // namespace

ParsedDeployment ReadTables(const toml::table& root, ErrorSink& sink) {
  ParsedDeployment out;
  TableReader reader(root, "", sink);
  ReadGeneral(reader, out.deployment, sink);
  ReadPolicy(reader, out.deployment.policy, sink);
  ReadRanks(reader, out, sink);
  ReadRegions(reader, out, sink);
  ReadFailureDomains(reader, out, sink);
  ReadLinks(reader, out, sink);
  ReadServices(reader, out, sink);
  ReadRoutes(reader, out.deployment, sink);
  ReadCustomers(reader, out.deployment, sink);
  reader.RejectUnknownKeys();
  return out;
}

}  // namespace vanilladeck::config::impl

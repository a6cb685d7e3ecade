#include "vanilladeck/config/impl/route_reader.h"

#include <algorithm>
#include <map>

namespace vanilladeck::config::impl {
namespace {

constexpr Bounds kDurationMs{0, 3'600'000, true};
constexpr Bounds kAttempts{1, 16, false};

template <class Items>
bool Contains(const Items& items, const std::string& name) {
  return std::any_of(items.begin(), items.end(), [&](const auto& it) { return it.name == name; });
}

std::chrono::milliseconds Milliseconds(TableReader& reader, std::string_view key) {
  return std::chrono::milliseconds(reader.Integer(key, Presence::kRequired, kDurationMs).value);
}

void ReadWeightedServices(TableReader& reader, const Deployment& deployment, Route& route,
                          ErrorSink& sink) {
  for (const auto* table : reader.Tables("services", Presence::kRequired)) {
    TableReader part(*table, "route.services", sink);
    const auto service = part.String("service", Presence::kRequired);
    const auto weight = part.Number("weight", Presence::kRequired, kPositive);
    part.RejectUnknownKeys();
    if (service.present && !Contains(deployment.services, service.value)) {
      sink.Add(ConfigErrorCode::kUnknownReference, service.at,
               "service \"" + service.value + "\" is not defined");
    }
    route.services.push_back({service.value, weight.value});
  }
  if (route.services.empty()) {
    sink.Add(ConfigErrorCode::kMissingKey, reader.At(), "a route needs a service");
  }
}

void ReadRoute(TableReader& reader, Deployment& out, ErrorSink& sink) {
  Route route;
  route.name = reader.NameString("name").value;
  route.host = reader.String("host", Presence::kRequired).value;
  const auto prefix = reader.String("prefix", Presence::kRequired);
  route.prefix = prefix.value;
  if (prefix.present &&
      (prefix.value.empty() || prefix.value.front() != '/' || prefix.value.back() != '/')) {
    sink.Add(ConfigErrorCode::kInvalidPrefix, prefix.at, "a prefix begins and ends with a slash");
  }
  const auto kind = reader.String("kind", Presence::kRequired);
  const auto known = std::find(kRequestKindNames.begin(), kRequestKindNames.end(), kind.value);
  if (known != kRequestKindNames.end()) {
    route.kind = static_cast<RequestKind>(known - kRequestKindNames.begin());
  } else if (kind.present) {
    sink.Add(ConfigErrorCode::kInvalidValue, kind.at,
             "\"" + kind.value + "\" is not one of idempotent non_idempotent download");
  }
  route.timeout = Milliseconds(reader, "timeout_ms");
  route.objective = Milliseconds(reader, "objective_ms");
  const auto attempts = reader.Integer("attempts", Presence::kOptional, kAttempts);
  if (attempts.present) route.attempts = static_cast<std::uint32_t>(attempts.value);
  const auto priority = reader.Integer("priority", Presence::kOptional, kPriority);
  if (priority.present) route.priority = static_cast<std::uint32_t>(priority.value);
  route.is_public = reader.Boolean("public", Presence::kOptional).value;
  route.session_affinity = true;
  route.allowed_regions = ReadAllowedRegions(reader, out, sink);
  ReadWeightedServices(reader, out, route, sink);
  reader.RejectUnknownKeys();
  const bool repeated = std::any_of(out.routes.begin(), out.routes.end(), [&](const Route& it) {
    return it.name == route.name || (it.host == route.host && it.prefix == route.prefix);
  });
  if (repeated) {
    sink.Add(ConfigErrorCode::kDuplicateName, reader.At(),
             "route \"" + route.name + "\" repeats the name, or the host and prefix, of another");
  }
  out.routes.push_back(std::move(route));
}

void ReadLimits(TableReader& root, ClientLimits& limits, ErrorSink& sink) {
  const auto* table = root.Table("limits", Presence::kOptional);
  if (table == nullptr) return;
  TableReader reader(*table, "limits", sink);
  const auto header = reader.Integer("max_header_bytes", Presence::kOptional, kPositiveCount);
  if (header.present) limits.max_header_bytes = static_cast<std::uint32_t>(header.value);
  const auto body = reader.Integer("max_body_bytes", Presence::kOptional, kPositiveCount);
  if (body.present) limits.max_body_bytes = static_cast<std::uint64_t>(body.value);
  const auto head_ms = reader.Integer("header_timeout_ms", Presence::kOptional, kDurationMs);
  if (head_ms.present) limits.header_timeout = std::chrono::milliseconds(head_ms.value);
  const auto idle_ms = reader.Integer("idle_timeout_ms", Presence::kOptional, kDurationMs);
  if (idle_ms.present) limits.idle_timeout = std::chrono::milliseconds(idle_ms.value);
  reader.RejectUnknownKeys();
}

}  // namespace

std::vector<std::string> ReadAllowedRegions(TableReader& reader, const Deployment& deployment,
                                            ErrorSink& sink) {
  std::vector<std::string> regions;
  for (auto& region : reader.Strings("allowed_regions", Presence::kOptional)) {
    if (!Contains(deployment.regions, region.value)) {
      sink.Add(ConfigErrorCode::kUnknownReference, region.at,
               "region \"" + region.value + "\" is not defined");
    }
    regions.push_back(std::move(region.value));
  }
  return regions;
}

void ReadRoutes(TableReader& root, Deployment& out, ErrorSink& sink) {
  for (const auto* table : root.Tables("route", Presence::kOptional)) {
    TableReader reader(*table, "route", sink);
    ReadRoute(reader, out, sink);
  }
  ReadLimits(root, out.client_limits, sink);
}

}  // namespace vanilladeck::config::impl

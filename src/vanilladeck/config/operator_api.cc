#include "vanilladeck/config/operator_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "vanilladeck/config/client_block.h"
#include "vanilladeck/config/impl/json_fields.h"
#include "vanilladeck/config/impl/request_target.h"
#include "vanilladeck/config/parse_deployment.h"

namespace vanilladeck::config {
namespace {

using impl::RequestTarget;
using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

OperatorResponse JsonResponse(unsigned status, const json& body) {
  return {status, impl::Dump(body)};
}

json ToJson(const Head& head) {
  return {{"version", head.version},
          {"hash", head.hash},
          {"who", head.who},
          {"when_ms", head.when_ms},
          {"mark", head.mark},
          {"deployment", head.deployment},
          {"previous_hash", head.previous_hash}};
}

json ToJson(const InForceInterval& interval) {
  json to = {{"version", interval.version}, {"hash", interval.hash}, {"from_ms", interval.from_ms}};
  to["to_ms"] = interval.to_ms == 0 ? json() : json(interval.to_ms);
  return to;
}

json ToJson(const std::vector<ConfigError>& errors) {
  json list = json::array();
  for (const auto& error : errors) {
    list.push_back({{"file", error.file},
                    {"line", error.at.line},
                    {"column", error.at.column},
                    {"rule", Name(error.code)},
                    {"message", error.message}});
  }
  return list;
}

OperatorResponse NoConfigurationResponse(const OperatorView& view) {
  return ErrorResponse(kUnavailable, "no-configuration", view.replica.Status(view.wall_ms).reason);
}

OperatorResponse VersionResponse(const OperatorView& view, std::uint64_t version, json extra) {
  const auto record = view.replica.Chain().Find(version);
  const auto text = view.replica.Chain().TextAt(version);
  if (!record || !text) {
    return ErrorResponse(kNotFound, "not-kept", "that version is older than the history kept here");
  }
  extra.update(ToJson(record->head));
  extra["text"] = *text;
  return JsonResponse(kOk, extra);
}

OperatorAction GetConfig(const OperatorView& view) {
  if (view.replica.Version() == 0) return NoConfigurationResponse(view);
  return VersionResponse(view, view.replica.Version(), json::object());
}

OperatorAction Check(const OperatorRequest& request) {
  const auto body = impl::ParseJson(request.body);
  const auto text = impl::StringField(body, "text");
  if (!text) return ErrorResponse(kBadRequest, "invalid-request", "the body needs \"text\"");
  const auto file = impl::StringField(body, "file").value_or("deployment");
  const auto parsed = ParseDeployment(*text, file);
  const json errors = parsed ? json::array() : ToJson(parsed.error());
  return JsonResponse(kOk, {{"valid", parsed.has_value()}, {"errors", errors}});
}

OperatorAction Apply(const OperatorRequest& request, const OperatorView& view) {
  const auto body = impl::ParseJson(request.body);
  const auto text = impl::StringField(body, "text");
  const auto base = impl::CountField(body, "base_version");
  const auto who = impl::StringField(body, "who");
  const auto mark = impl::StringField(body, "mark");
  if (!text || !base || !who || !mark) {
    return ErrorResponse(kBadRequest, "invalid-request",
                         "the body needs \"text\", \"base_version\", \"who\" and \"mark\"");
  }
  return PublishRequest{*text, *base, *who, *mark, view.wall_ms};
}

OperatorAction History(const OperatorView& view) {
  json accepted = json::array();
  const auto& records = view.replica.Chain().Records();
  for (auto it = records.rbegin(); it != records.rend(); ++it) {
    accepted.push_back(ToJson((*it)->head));
  }
  json intervals = json::array();
  const auto& in_force = view.replica.Intervals();
  for (auto it = in_force.rbegin(); it != in_force.rend(); ++it) intervals.push_back(ToJson(*it));
  return JsonResponse(
      kOk, {{"instance", view.instance}, {"accepted", accepted}, {"in_force", intervals}});
}

template <class T>
std::optional<T> NumberParameter(const RequestTarget& target, std::string_view key) {
  const auto it = target.query.find(key);
  if (it == target.query.end()) return std::nullopt;
  T value = 0;
  const char* end = it->second.data() + it->second.size();
  const auto parsed = std::from_chars(it->second.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional<T>(value) : std::nullopt;
}

/// The version in force at this instance at `at_ms`, or, for a time before its first interval, the
/// newest version accepted by then. `from_intervals` tells which.
std::uint64_t VersionAt(const OperatorView& view, std::int64_t at_ms, bool& from_intervals) {
  std::uint64_t version = 0;
  for (const auto& interval : view.replica.Intervals()) {
    if (interval.from_ms <= at_ms) version = interval.version;
  }
  from_intervals = version != 0;
  if (from_intervals) return version;
  for (const auto& record : view.replica.Chain().Records()) {
    if (record->head.when_ms <= at_ms) version = record->head.version;
  }
  return version;
}

OperatorAction Show(const RequestTarget& target, const OperatorView& view) {
  if (view.replica.Version() == 0) return NoConfigurationResponse(view);
  if (!target.query.contains("at")) return GetConfig(view);
  const auto at = NumberParameter<std::int64_t>(target, "at");
  if (!at) return ErrorResponse(kBadRequest, "invalid-request", "\"at\" must be milliseconds");
  bool from_intervals = false;
  const auto version = VersionAt(view, *at, from_intervals);
  return VersionResponse(view, version,
                         {{"at_ms", *at}, {"source", from_intervals ? "instance" : "history"}});
}

OperatorAction Status(const OperatorView& view) {
  const auto status = view.replica.Status(view.wall_ms);
  json lagging = json::array();
  for (const auto& peer : status.lagging) {
    lagging.push_back({{"peer", peer.peer},
                       {"version", peer.version},
                       {"hash", peer.hash},
                       {"heard_ms", peer.heard_ms}});
  }
  json body = {{"instance", view.instance},
               {"failure_domain", view.failure_domain},
               {"version", status.version},
               {"hash", status.hash},
               {"in_force_since_ms", status.in_force_since_ms},
               {"confirmed_ms", status.confirmed_ms},
               {"age_ms", status.age_ms},
               {"newest_known_version", view.replica.HighestKnown()},
               {"reader", status.reader},
               {"reason", status.reason},
               {"problem", status.problem},
               {"lagging", lagging}};
  if (!view.daemon_status.empty()) body["daemon"] = impl::ParseJson(view.daemon_status);
  return JsonResponse(kOk, body);
}

OperatorAction Explain(const RequestTarget& target, const OperatorView& view) {
  if (view.replica.Version() == 0) return NoConfigurationResponse(view);
  const auto value = [&target](std::string_view key) {
    const auto it = target.query.find(key);
    return it == target.query.end() ? std::string() : it->second;
  };
  ExplainRequest request{value("service"), value("client"), std::nullopt};
  if (!ParseClientAddress(request.client)) {
    return ErrorResponse(kBadRequest, "invalid-request", "\"client\" must be an IP address");
  }
  if (const auto rank = value("rank"); !rank.empty()) {
    request.rank = core::ParseRank(rank);
    if (!request.rank) {
      return ErrorResponse(kBadRequest, "invalid-request",
                           "\"rank\" must be urgent, normal or bulk");
    }
  }
  if (!ExplainFromDeployment(*view.replica.InForce(), request)) {
    return ErrorResponse(kNotFound, "unknown-service",
                         "service \"" + request.service + "\" does not exist");
  }
  return request;
}

unsigned StatusOf(PublishRefusal reason) {
  switch (reason) {
    case PublishRefusal::kInvalidRequest:
      return kBadRequest;
    case PublishRefusal::kStoreUnavailable:
    case PublishRefusal::kStoreBehind:
    case PublishRefusal::kBrokenHistory:
      return kUnavailable;
    case PublishRefusal::kInvalidText:
    case PublishRefusal::kOtherDeployment:
    case PublishRefusal::kUnknownBase:
    case PublishRefusal::kMarkReused:
      return kUnprocessable;
  }
  return kUnprocessable;
}

OperatorResponse Respond(const PublishAccepted& it) {
  return JsonResponse(kOk, {{"result", "accepted"},
                            {"version", it.head.version},
                            {"hash", it.head.hash},
                            {"already_accepted", it.already_accepted}});
}

OperatorResponse Respond(const PublishConflict& it) {
  json changes = json::array();
  for (const auto& head : it.changes) changes.push_back(ToJson(head));
  return JsonResponse(kConflict, {{"result", "conflict"},
                                  {"base_version", it.base_version},
                                  {"changes", changes},
                                  {"difference", it.difference}});
}

OperatorResponse Respond(const PublishRefused& it) {
  return JsonResponse(StatusOf(it.reason),
                      {{"result", "refused"},
                       {"reason", kPublishRefusalNames[static_cast<std::size_t>(it.reason)]},
                       {"message", it.message},
                       {"errors", ToJson(it.errors)}});
}

OperatorResponse Respond(const PublishUnknown& it) {
  return JsonResponse(kGatewayTimeout, {{"result", "unknown"}, {"message", it.message}});
}

}  // namespace

OperatorAction Handle(const OperatorRequest& request, const OperatorView& view) {
  const auto target = impl::ParseTarget(request.target);
  if (!target) return ErrorResponse(kBadRequest, "invalid-request", "malformed query");
  const auto& path = target->path;
  const bool is_post = path == "/v1/config/check" || path == "/v1/config/apply";
  const bool is_get = path == "/v1/config" || path == "/v1/config/history" ||
                      path == "/v1/config/show" || path == "/v1/status" || path == "/v1/explain";
  if (!is_post && !is_get) return ErrorResponse(kNotFound, "unknown-path", "no such path: " + path);
  if (request.method != (is_post ? "POST" : "GET")) {
    return ErrorResponse(kMethodNotAllowed, "wrong-method",
                         path + " needs " + (is_post ? "POST" : "GET"));
  }
  if (path == "/v1/config") return GetConfig(view);
  if (path == "/v1/config/check") return Check(request);
  if (path == "/v1/config/apply") return Apply(request, view);
  if (path == "/v1/config/history") return History(view);
  if (path == "/v1/config/show") return Show(*target, view);
  if (path == "/v1/status") return Status(view);
  return Explain(*target, view);
}

OperatorResponse RespondTo(const PublishOutcome& outcome) {
  return std::visit([](const auto& it) { return Respond(it); }, outcome);
}

OperatorResponse RespondTo(const Explanation& explanation) {
  json sites = json::array();
  for (const auto& site : explanation.sites) {
    sites.push_back({{"failure_domain", site.failure_domain},
                     {"region", site.region},
                     {"slots", site.slots},
                     {"shift_cap_rps", site.shift_cap_rps},
                     {"shift_cap_inflight", site.shift_cap_inflight},
                     {"entry_instances", site.entry_instances},
                     {"eligible", site.eligible},
                     {"reason", site.reason}});
  }
  return JsonResponse(kOk, {{"service", explanation.service},
                            {"client", explanation.client},
                            {"rank", Name(explanation.rank)},
                            {"client_region", explanation.client_region},
                            {"sites", sites}});
}

OperatorResponse ErrorResponse(unsigned status, std::string_view code, std::string_view message) {
  return JsonResponse(status, {{"error", code}, {"message", message}});
}

}  // namespace vanilladeck::config

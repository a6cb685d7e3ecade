#include "vanilladeck/daemon/serving_lookup.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "vanilladeck/operations/operation_key.h"
#include "vanilladeck/telemetry/event.h"

namespace vanilladeck::daemon {
namespace {

using http::Problem;
using http::ProblemCode;

constexpr core::Duration kRetryAfter = std::chrono::seconds(1);
/// Latency changes below this step are irrelevant to the order of regions; ignoring them avoids a
/// rebuild of the table on every heartbeat.
constexpr core::Duration kLatencyStep = std::chrono::milliseconds(10);

http::Response Refuse(ProblemCode code, std::string detail, core::Duration retry_after = {}) {
  return http::MakeProblemResponse({code, core::Outcome::kNotRun, std::move(detail), retry_after});
}

std::string QuoteJson(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string RenderJson(const steering::EntryInstance& instance) {
  return R"({"address":)" + QuoteJson(instance.caller_address) + R"(,"failure_domain":)" +
         QuoteJson(instance.failure_domain) + R"(,"region":)" + QuoteJson(instance.region) + "}";
}

bool SameEntryInstance(const EntryInstance& a, const EntryInstance& b) {
  return a.id == b.id && a.caller_address == b.caller_address &&
         a.failure_domain == b.failure_domain && a.region == b.region && a.leaving == b.leaving;
}

}  // namespace

std::string LookupResponder::IssueOperationKey(std::string_view client) const {
  const Snapshot& snapshot = *context_.snapshot;
  if (snapshot.operations_shard.empty()) return {};
  return operations::OperationKey::Issue(snapshot.operations_shard, core::RuntimeClock::WallMs(),
                                         client, snapshot.operations_salt)
      .Text();
}

std::map<std::string, core::Duration> LookupResponder::RoundedLatencies() const {
  std::map<std::string, core::Duration> rounded;
  for (const RegionLatency& it : context_.snapshot->latencies) {
    const auto latency = it.one_way - it.one_way % kLatencyStep;
    const auto [known, added] = rounded.emplace(it.region, latency);
    if (!added) known->second = std::min(known->second, latency);
  }
  return rounded;
}

bool LookupResponder::Unchanged() const {
  const Snapshot& snapshot = *context_.snapshot;
  return table_ && deployment_ == snapshot.deployment && excludes_self_ == context_.draining &&
         latencies_ == RoundedLatencies() &&
         std::equal(entry_instances_.begin(), entry_instances_.end(),
                    snapshot.entry_instances.begin(), snapshot.entry_instances.end(),
                    SameEntryInstance);
}

steering::LookupInputs LookupResponder::MakeInputs() const {
  steering::LookupInputs inputs;
  inputs.own_region = context_.OwnRegion();
  for (const auto& [region, latency] : RoundedLatencies()) {
    inputs.latencies[{inputs.own_region, region}] = latency;
    inputs.latencies[{region, inputs.own_region}] = latency;
  }
  for (const EntryInstance& instance : context_.snapshot->entry_instances) {
    const bool leaving = instance.leaving || (context_.draining && instance.id == context_.self);
    inputs.entry_instances.push_back(
        {instance.caller_address, instance.failure_domain, instance.region, leaving, true});
  }
  return inputs;
}

void LookupResponder::RebuildIfChanged() {
  if (!context_.HasConfiguration() || Unchanged()) return;
  const Snapshot& snapshot = *context_.snapshot;
  const bool same_blocks = table_ && deployment_ == snapshot.deployment;
  const steering::LookupInputs inputs = MakeInputs();
  const auto blocks = table_ ? table_->blocks() : nullptr;
  auto table = same_blocks ? steering::LookupTable::Create(*snapshot.deployment, inputs, blocks)
                           : steering::LookupTable::Recreate(*snapshot.deployment, inputs, blocks);
  deployment_ = snapshot.deployment;
  entry_instances_ = snapshot.entry_instances;
  excludes_self_ = context_.draining;
  latencies_ = RoundedLatencies();
  if (table.has_error()) {
    telemetry::Log(telemetry::Event::kLookupTableRejected, table.error().subject);
    return;
  }
  instance_json_.clear();
  table_ = std::move(table.value());
}

http::Response LookupResponder::Serve(std::string_view target, std::string_view peer_ip,
                                      std::string_view client_id) {
  context_.metrics.Count(telemetry::Counter::kLookups);
  if (!context_.HasConfiguration() || !table_) {
    return Refuse(ProblemCode::kNoConfiguration, "no configuration was received yet", kRetryAfter);
  }
  const auto query_separator = target.find('?');
  const std::string_view query = query_separator == std::string_view::npos
                                     ? std::string_view{}
                                     : target.substr(query_separator + 1);
  const auto service = http::QueryValue(query, "service");
  if (!service || service->empty()) {
    return Refuse(ProblemCode::kMalformedRequest, "the query must name a service");
  }
  const std::string client_text = http::QueryValue(query, "client").value_or(std::string(peer_ip));
  boost::system::error_code ec;
  const auto client = boost::asio::ip::make_address(client_text, ec);
  if (ec) return Refuse(ProblemCode::kMalformedRequest, "the client is not an IP address");
  const auto answer = table_->Lookup(client, *service);
  if (answer.has_error()) {
    const bool unknown = answer.error().code == steering::LookupErrorCode::kUnknownService;
    return unknown ? Refuse(ProblemCode::kUnknownService, *service)
                   : Refuse(ProblemCode::kNoServer, "no entry instance is live", kRetryAfter);
  }
  for (const steering::EntryInstance* instance : answer.value().instances()) {
    std::string& text = instance_json_[instance];
    if (text.empty()) text = RenderJson(*instance);
  }
  const std::string_view key_client = client_id.empty() ? peer_ip : client_id;
  http::Response response;
  response.set("Content-Type", "application/json");
  response.body() = Body(*service, answer.value(), IssueOperationKey(key_client));
  response.prepare_payload();
  return response;
}

std::string LookupResponder::Body(std::string_view service, const steering::LookupAnswer& answer,
                                  const std::string& operation_key) const {
  std::string body = R"({"service":)" + QuoteJson(service) + R"(,"entry_instances":[)";
  bool first = true;
  for (const steering::EntryInstance* instance : answer.instances()) {
    if (!first) body += ',';
    first = false;
    body += instance_json_.at(instance);
  }
  body += R"(],"ttl_s":)" + std::to_string(answer.ttl().count());
  body += R"(,"version":)" + std::to_string(context_.snapshot->config_version);
  if (!operation_key.empty()) body += R"(,"operation_key":)" + QuoteJson(operation_key);
  return body + "}";
}

}  // namespace vanilladeck::daemon

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/http/message.h"
#include "vanilladeck/steering/lookup_table.h"

namespace vanilladeck::daemon {

/// Answers `GET /v1/lookup`.
class LookupResponder {
 public:
  explicit LookupResponder(ServingContext& context) : context_(context) {}

  /// Rebuilds the table if the configuration, the entry instances or the rounded latencies changed,
  /// or draining has started.
  void RebuildIfChanged();

  /// `target` is the request target with its query.
  [[nodiscard]] http::Response Serve(std::string_view target, std::string_view peer_ip,
                                     std::string_view client_id);

 private:
  [[nodiscard]] bool Unchanged() const;
  [[nodiscard]] steering::LookupInputs MakeInputs() const;
  /// One-way latency from the own region by region, rounded down to `kLatencyStep`.
  [[nodiscard]] std::map<std::string, core::Duration> RoundedLatencies() const;
  /// Issues an `Idempotency-Key` to `client`; empty while no shard of operation records is known.
  [[nodiscard]] std::string IssueOperationKey(std::string_view client) const;
  [[nodiscard]] std::string Body(std::string_view service, const steering::LookupAnswer& answer,
                                 const std::string& operation_key) const;

  ServingContext& context_;
  std::shared_ptr<const config::Deployment> deployment_;
  std::vector<EntryInstance> entry_instances_;
  bool excludes_self_ = false;
  std::map<std::string, core::Duration> latencies_;
  std::optional<steering::LookupTable> table_;
  /// Cached JSON object of each entry instance of the table.
  std::unordered_map<const steering::EntryInstance*, std::string> instance_json_;
};

}  // namespace vanilladeck::daemon

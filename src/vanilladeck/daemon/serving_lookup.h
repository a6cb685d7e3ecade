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

  /// Rebuilds the table when the configuration or the entry instances changed, or a drain began.
  void Apply();

  /// `target` is the request target with its query.
  [[nodiscard]] http::Response Serve(std::string_view target, std::string_view peer_ip,
                                     std::string_view client_id);

 private:
  [[nodiscard]] bool Unchanged() const;
  [[nodiscard]] steering::LookupInputs Inputs() const;
  /// Measured latency from the own region, in steps that matter to the order of regions.
  [[nodiscard]] std::map<std::string, core::Duration> Latencies() const;
  /// Key for one operation of `client`; empty while no shard of operation records is known.
  [[nodiscard]] std::string IssueKey(std::string_view client) const;
  [[nodiscard]] std::string Body(std::string_view service, const steering::LookupAnswer& answer,
                                 const std::string& operation_key) const;

  ServingContext& context_;
  std::shared_ptr<const config::Deployment> deployment_;
  std::vector<EntryInstance> entry_instances_;
  bool without_self_ = false;
  std::map<std::string, core::Duration> latencies_;
  std::optional<steering::LookupTable> table_;
  /// JSON text per entry instance of the table, rendered once.
  std::unordered_map<const steering::EntryInstance*, std::string> rendered_;
};

}  // namespace vanilladeck::daemon

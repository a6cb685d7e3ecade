#include <nlohmann/json.hpp>
#include <utility>

#include "vanilladeck/config/explanation.h"
#include "vanilladeck/config/operator_api.h"
#include "vanilladeck/daemon/control_impl.h"

namespace vanilladeck::daemon {

using core::RuntimeClock;
using nlohmann::json;

std::string Control::Impl::DaemonStatus() const {
  const auto now = RuntimeClock::now();
  json members = json::array();
  for (const membership::Member* it : view_->Live(now)) {
    members.push_back({{"address", it->id.address},
                       {"failure_domain", it->failure_domain},
                       {"leaving", it->leaving},
                       {"version", it->config_version},
                       {"seats", it->seats},
                       {"shards", it->shards}});
  }
  const json status = {
      {"incarnation", self_.incarnation},
      {"leaving", view_->self().leaving},
      {"superseded", view_->superseded()},
      {"seats", seats_->UsableSeats(now)},
      {"shards", operations_ ? operations_->OwnedShards() : std::vector<std::string>{}},
      {"backend_servers_listed", servers_.size()},
      {"store_calls_over_budget", store_->refused()},
      {"members", members}};
  return status.dump();
}

config::OperatorResponse Control::Impl::Explain(const config::ExplainRequest& request) const {
  const auto deployment = config_->replica().InForce();
  if (!deployment) {
    return config::ErrorResponse(503, "no-configuration", "no configuration is in force");
  }
  auto explanation = config::ExplainFromDeployment(*deployment, request);
  if (!explanation) {
    return config::ErrorResponse(404, "unknown-service", "no service \"" + request.service + "\"");
  }
  const auto live = view_->Live(RuntimeClock::now());
  for (auto& site : explanation->sites) {
    const auto add = [&site](const membership::Member& it) {
      if (it.failure_domain == site.failure_domain && !it.leaving) {
        site.entry_instances.push_back(it.caller_address);
      }
    };
    add(view_->self());
    for (const membership::Member* it : live) add(*it);
    if (site.eligible && site.entry_instances.empty()) {
      site.eligible = false;
      site.reason = "no entry instance of the failure domain is heard from";
    }
  }
  return config::RespondTo(*explanation);
}

void Control::Impl::OnOperator(const config::OperatorRequest& request,
                               const OperatorsListener::Respond& respond) {
  const config::OperatorView view{config_->replica(), self_.address, settings_.failure_domain,
                                  RuntimeClock::WallMs(), DaemonStatus()};
  auto action = config::Handle(request, view);
  if (auto* response = std::get_if<config::OperatorResponse>(&action)) {
    return respond(std::move(*response));
  }
  if (const auto* explain = std::get_if<config::ExplainRequest>(&action)) {
    return respond(Explain(*explain));
  }
  config_->Publish(
      std::move(std::get<config::PublishRequest>(action)),
      [respond](const config::PublishOutcome& outcome) { respond(config::RespondTo(outcome)); });
}

}  // namespace vanilladeck::daemon

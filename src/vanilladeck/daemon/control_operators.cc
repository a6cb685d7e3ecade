#include <nlohmann/json.hpp>
#include <utility>

#include "vanilladeck/daemon/control_impl.h"

namespace vanilladeck::daemon {
namespace {

using nlohmann::json;

OperatorResponse Reply(unsigned status, const json& body) {
  return {status, "application/json", body.dump()};
}

/// The answer of `POST /v1/config/apply` for each way in which a change can end.
struct ApplyResponse {
  OperatorResponse operator()(const config::PublishAccepted& outcome) const {
    return Reply(200, {{"result", "accepted"}, {"version", outcome.head.version}});
  }
  OperatorResponse operator()(const config::PublishConflict& outcome) const {
    return Reply(409, {{"result", "conflict"}, {"difference", outcome.difference}});
  }
  OperatorResponse operator()(const config::PublishRefused& outcome) const {
    return Reply(422, {{"result", "refused"}, {"message", outcome.message}});
  }
  OperatorResponse operator()(const config::PublishUnknown& outcome) const {
    return Reply(504, {{"result", "unknown"}, {"message", outcome.message}});
  }
};

}  // namespace

void Control::Impl::OnOperator(const OperatorRequest& request,
                               const OperatorsListener::Respond& respond) {
  if (request.method == "POST" && request.target == "/v1/config/apply") {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) return respond(Reply(400, {{"error", "not a JSON object"}}));
    config::PublishRequest change;
    change.text = body.value("text", "");
    change.base_version = body.value("base_version", std::uint64_t{0});
    change.who = body.value("who", "");
    change.mark = body.value("mark", "");
    change.when_ms = core::RuntimeClock::WallMs();
    return config_->Publish(std::move(change), [respond](const config::PublishOutcome& outcome) {
      respond(std::visit(ApplyResponse{}, outcome));
    });
  }
  if (request.method == "GET" && request.target == "/v1/status") {
    return respond(Reply(200, {{"version", config_->replica().Version()}}));
  }
  respond(Reply(404, {{"error", "unknown path"}}));
}

}  // namespace vanilladeck::daemon

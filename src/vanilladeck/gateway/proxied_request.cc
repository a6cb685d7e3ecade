#include "vanilladeck/gateway/proxied_request.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "vanilladeck/customers/request_terms.h"
#include "vanilladeck/gateway/proxied_request_impl.h"

/// Matching of a request with the policy, and its two ends that need no server.

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using steering::AttemptEnd;

// Part of a service's slots that requests may hold whose bodies still arrive. The rest stays for
// requests that were read whole, also if clients of the others stop midway.
constexpr double kBodySlotShare = 0.25;

std::string CookieValue(std::string_view cookies, std::string_view name) {
  while (!cookies.empty()) {
    const auto end = cookies.find(';');
    std::string_view pair = cookies.substr(0, end);
    cookies = end == std::string_view::npos ? std::string_view() : cookies.substr(end + 1);
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return {};
}
std::optional<std::int64_t> ParseCount(std::string_view text) {
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc{} || end != text.data() + text.size() || n < 0) return std::nullopt;
  return n;
}

}  // namespace

ProxiedRequest::ProxiedRequest(Context& context, std::shared_ptr<ResponseSlot> slot,
                               Request request, RequestBodyPtr arriving)
    : context_(context),
      slot_(std::move(slot)),
      request_(std::move(request)),
      arriving_(std::move(arriving)),
      received_at_(slot_->request_began()) {
  if (request_.body().empty()) return;
  body_ = std::make_shared<const std::string>(std::exchange(request_.body(), {}));
}

std::shared_ptr<PendingRequest> ProxiedRequest::Start(Context& context,
                                                      const std::shared_ptr<ResponseSlot>& slot,
                                                      Request request, RequestBodyPtr arriving) {
  auto self =
      std::make_shared<ProxiedRequest>(context, slot, std::move(request), std::move(arriving));
  if (!self->Begin()) return nullptr;
  self->StartAttempt();
  if (self->finished_) return nullptr;
  return self;
}

bool ProxiedRequest::Begin() {
  id_ = FieldValue(request_, context_.names.request_id);
  routes_ = context_.routes;
  if (!routes_) {
    Refuse("no-policy");
    return false;
  }
  route_ = MatchRoute(*routes_, request_);
  if (route_ == nullptr) {
    Answer(404, RequestEnd::kNoRoute, "no-route");
    return false;
  }
  if (!IdentifyCustomer()) return false;
  if (id_.empty()) {
    Answer(400, RequestEnd::kBadRequest, "no-request-id");
    return false;
  }
  core::Duration allowed = route_->timeout;
  if (const auto ms = ParseCount(FieldValue(request_, context_.names.deadline_ms))) {
    // Compared in milliseconds, because the client's value may not fit into a duration.
    if (*ms < Ms(allowed)) allowed = milliseconds(*ms);
  }
  deadline_ = received_at_ + allowed;
  ReadAffinityKey();
  spread_ = context_.random();
  service_name_ = steering::ChooseService(
      *route_, std::uniform_real_distribution<double>(0, 1)(context_.random));
  service_ = routes_->Service(service_name_);
  if (!AdmitByAllotment()) return false;
  context_.RetryWindowFor(service_name_).OnFirstAttempt(core::RuntimeClock::now());
  if (arriving_ && !MayPassBodyOn()) {
    Refuse("bodies");
    return false;
  }
  return true;
}

bool ProxiedRequest::MayPassBodyOn() {
  const core::TimePoint now = core::RuntimeClock::now();
  std::uint32_t slots = 0;
  for (const steering::ServerPtr& it : context_.servers.OfService(service_name_)) {
    if (context_.servers.Usable(*it, now)) slots += it->report.slots;
  }
  const double share = context_.fleet.FractionalShare(slots) * kBodySlotShare;
  // One is allowed always, so that a client's large request is served when there are no others.
  arriving_count_ = context_.arriving_bodies.TryAcquire(
      service_name_, std::max(1U, static_cast<std::uint32_t>(share)));
  if (!arriving_count_) return false;
  ++context_.metrics.bodies_passed_on;
  arriving_->OnBroken([weak = weak_from_this()](unsigned status) {
    if (const auto self = weak.lock()) self->OnBodyBroken(status);
  });
  return true;
}

const config::Route* ProxiedRequest::MatchRoute(const steering::RouteTable& routes,
                                                const Request& request) {
  const auto host = request[http::field::host];
  const std::string_view target(request.target().data(), request.target().size());
  return routes.Match({host.data(), host.size()}, target);
}

bool ProxiedRequest::MayRunBeside(const Context& context, const Request& request) {
  const config::Route* route = context.routes ? MatchRoute(*context.routes, request) : nullptr;
  return route != nullptr && config::MayRepeat(route->kind);
}

bool ProxiedRequest::MayRunBeside() const {
  return route_ != nullptr && config::MayRepeat(route_->kind);
}

void ProxiedRequest::ReadAffinityKey() {
  const auto cookies = request_[http::field::cookie];
  affinity_key_ = route_->session_affinity ? CookieValue({cookies.data(), cookies.size()},
                                                         context_.names.affinity_cookie)
                                           : std::string();
}

bool ProxiedRequest::AdoptPolicyInForce() {
  if (routes_ == context_.routes) return true;
  const config::Route* route = MatchRoute(*context_.routes, request_);
  key_removed_ = false;
  if (route == nullptr) return false;
  const customers::Identity identity = IdentityBy(*context_.routes, *route);
  key_removed_ = identity.refusal.has_value();
  if (key_removed_ || attempts_sent_ >= route->attempts) return false;
  if (may_have_run_ && !config::MayRepeat(route->kind)) return false;
  routes_ = context_.routes;
  route_ = route;
  customer_ = identity.customer;
  ReadAffinityKey();
  const bool keeps_service =
      std::any_of(route->services.begin(), route->services.end(),
                  [this](const auto& it) { return it.service == service_name_; });
  if (!keeps_service) {
    service_name_ = steering::ChooseService(
        *route, std::uniform_real_distribution<double>(0, 1)(context_.random));
  }
  service_ = routes_->Service(service_name_);
  return true;
}

bool ProxiedRequest::AreRegionsBinding() const {
  return !customers::HasAllowedRegions(*route_, customer_) ||
         core::RuntimeClock::now() - context_.policy_as_of <= context_.max_region_policy_age;
}

bool ProxiedRequest::AssignmentStands() {
  return context_.servers.Assignable(*server_) && AdoptPolicyInForce() && AreRegionsBinding() &&
         server_->report.service == service_name_ &&
         customers::AllowsRegion(*route_, customer_, server_->region);
}

void ProxiedRequest::OnClientGone() {
  if (finished_) return;
  const auto self = shared_from_this();
  const auto connection = std::move(connection_);
  connection_ = nullptr;
  if (server_) EndAttempt(AttemptEnd::kAbandoned, "client gone");
  if (connection) connection->Cancel();
  Finish(RequestEnd::kClientGone, 0, {});
}

void ProxiedRequest::OnBodyBroken(unsigned status) {
  if (finished_) return;
  const auto self = shared_from_this();
  const auto connection = std::move(connection_);
  connection_ = nullptr;
  if (server_) EndAttempt(AttemptEnd::kAbandoned, "body broken off");
  // The server can't take the part for the whole: the stated length or the last chunk is missing.
  if (connection) connection->Cancel();
  Answer(status, status < kFirstServerError ? RequestEnd::kBadRequest : RequestEnd::kFailed,
         "body-broken-off");
}

void ProxiedRequest::OnDeadline() {
  if (finished_) return;
  deadline_id_ = 0;
  BreakOff("deadline");
}

void ProxiedRequest::OnExit() {
  if (finished_) return;
  BreakOff(kStopping);
}

void ProxiedRequest::BreakOff(std::string_view reason) {
  const auto self = shared_from_this();
  const auto connection = std::move(connection_);
  connection_ = nullptr;
  if (server_) EndAttempt(AttemptEnd::kAbandoned, std::string(reason));
  const bool sent = connection != nullptr || may_have_run_;
  if (connection) connection->Cancel();
  if (sent) {
    Fail(kGatewayTimeout, reason);
  } else {
    Refuse(reason);
  }
}

}  // namespace vanilladeck::gateway

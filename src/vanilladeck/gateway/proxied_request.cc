#include "vanilladeck/gateway/proxied_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/connection_fields.h"
#include "vanilladeck/gateway/load_report.h"

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using steering::AttemptEnd;
using telemetry::StreamEvent;

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// Connecting takes at most one round trip between regions (0.11 s). Waiting longer does not help
// after a lost packet, which is not retransmitted in time.
constexpr core::Duration kConnectTimeout = milliseconds(500);
// Failed connections do not count as attempts; three in a row point to a fault of this instance.
constexpr std::uint32_t kMaxConnectFailures = 3;
// Safety margin, because instances see the counts of a window at slightly different times.
constexpr double kBudgetSafetyFactor = 0.75;
// Logged part of a server's load report that cannot be read.
constexpr std::size_t kMaxLoggedReportBytes = 64;
// Jitter of Retry-After, as a fraction of the route's latency.
constexpr double kRetryAfterJitter = 0.5;
constexpr milliseconds kMinRetryAfter{50};
// A retry is sent only if at least this fraction (1/n) of the route's objective remains.
constexpr int kMinRemainingDivisor = 10;

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

template <class Fields>
std::string_view FieldValue(const Fields& fields, const std::string& name) {
  const auto it = fields.find(name);
  if (it == fields.end()) return {};
  return {it->value().data(), it->value().size()};
}

std::optional<std::int64_t> ParseCount(std::string_view text) {
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc{} || end != text.data() + text.size() || n < 0) return std::nullopt;
  return n;
}

/// Parses a decimal number of requests per second; none if it is absent, malformed or negative.
std::optional<double> ParseRate(std::string_view text) {
  double rate = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), rate);
  if (ec != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(rate) || rate < 0) return std::nullopt;
  return rate;
}

std::int64_t Ms(core::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// True if clients take the status for a statement that the request has not run.
bool PromisesNotRun(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

}  // namespace

ProxiedRequest::ProxiedRequest(Context& context, std::shared_ptr<ClientSession> session,
                               Request request)
    : context_(context),
      session_(std::move(session)),
      request_(std::move(request)),
      received_at_(session_->request_began()) {}

std::shared_ptr<PendingRequest> ProxiedRequest::Start(Context& context,
                                                      const std::shared_ptr<ClientSession>& session,
                                                      Request request) {
  auto self = std::make_shared<ProxiedRequest>(context, session, std::move(request));
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
  route_ = MatchRoute(*routes_);
  if (route_ == nullptr) {
    Answer(404, RequestEnd::kNoRoute, "no-route");
    return false;
  }
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
  context_.RetryWindowFor(service_name_).OnFirstAttempt(core::RuntimeClock::now());
  return true;
}

const config::Route* ProxiedRequest::MatchRoute(const steering::RouteTable& routes) const {
  const auto host = request_[http::field::host];
  const std::string_view target(request_.target().data(), request_.target().size());
  return routes.Match({host.data(), host.size()}, target);
}

void ProxiedRequest::ReadAffinityKey() {
  const auto cookies = request_[http::field::cookie];
  affinity_key_ = route_->session_affinity ? CookieValue({cookies.data(), cookies.size()},
                                                         context_.names.affinity_cookie)
                                           : std::string();
}

bool ProxiedRequest::AdoptPolicyInForce() {
  if (routes_ == context_.routes) return true;
  const config::Route* route = MatchRoute(*context_.routes);
  if (route == nullptr || attempts_sent_ >= route->attempts) return false;
  if (may_have_run_ && route->kind != config::RequestKind::kIdempotent) return false;
  routes_ = context_.routes;
  route_ = route;
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
  return route_->allowed_regions.empty() ||
         core::RuntimeClock::now() - context_.policy_as_of <= context_.max_region_policy_age;
}

bool ProxiedRequest::AssignmentStands() {
  return context_.servers.Assignable(*server_) && AdoptPolicyInForce() && AreRegionsBinding() &&
         server_->report.service == service_name_ && route_->AllowsRegion(server_->region);
}

void ProxiedRequest::StartAttempt() {
  if (!AdoptPolicyInForce()) {
    GiveUp("policy-changed");
    return;
  }
  if (!AreRegionsBinding()) {
    GiveUp("policy-outdated");
    return;
  }
  const core::TimePoint now = core::RuntimeClock::now();
  const steering::PickQuery query{route_,  service_,        affinity_key_,
                                  spread_, deadline_ - now, &tried_};
  auto choice = context_.picker.Choose(query, now);
  if (const auto* reason = std::get_if<steering::NoServerReason>(&choice)) {
    GiveUp(steering::kNoServerReasonNames[static_cast<std::size_t>(*reason)]);
    return;
  }
  auto& pick = std::get<steering::Pick>(choice);
  server_ = std::move(pick.server);
  position_ = pick.position;
  tried_.push_back(server_->report.id);
  load_when_sent_ = server_->Load(now);
  sent_at_ = now;
  context_.servers.OnSent(*server_, now);
  context_.server_limits.OnSent(server_->report.id);
  if (deadline_id_ == 0) {
    deadline_id_ = context_.deadlines->Add(deadline_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->OnDeadline();
    });
  }
  context_.pool.Acquire(*server_, route_->kind, std::min(deadline_, now + kConnectTimeout),
                        [self = shared_from_this(), server = server_](
                            const UpstreamPool::ConnectionPtr& connection, AcquireStatus status,
                            const std::string& detail) {
                          if (self->finished_ || self->server_ != server) {
                            if (connection) self->context_.pool.Release(*server, connection);
                            return;
                          }
                          self->OnConnection(connection, status, detail);
                        });
}

void ProxiedRequest::OnConnectFailure(AcquireStatus status, const std::string& detail) {
  const bool local = status == AcquireStatus::kNoDescriptor;
  EndAttempt(local ? AttemptEnd::kAbandoned : AttemptEnd::kUnreachable, detail);
  ++connect_failures_;
  if (!local && connect_failures_ < kMaxConnectFailures) {
    StartAttempt();
    return;
  }
  GiveUp(local ? "no-descriptor" : "unreachable");
}

void ProxiedRequest::GiveUp(std::string_view reason) {
  if (may_have_run_) {
    Fail(kBadGateway, reason);
  } else {
    Refuse(reason);
  }
}

void ProxiedRequest::OnConnection(const UpstreamPool::ConnectionPtr& connection,
                                  AcquireStatus status, const std::string& detail) {
  if (!connection) {
    OnConnectFailure(status, detail);
    return;
  }
  // After a stall of the process this can run before the timer of the deadline.
  if (core::RuntimeClock::now() >= deadline_) {
    context_.pool.Release(*server_, connection);
    context_.deadlines->Remove(deadline_id_);
    OnDeadline();
    return;
  }
  if (status == AcquireStatus::kConnected) {
    context_.metrics.connect_latency.Add(core::RuntimeClock::now() - sent_at_);
  }
  // While the connection was being made, the server may have started draining, or another policy
  // may have come into force.
  if (!AssignmentStands()) {
    context_.pool.Release(*server_, connection);
    // The server may have been replaced by another entry that can take the request.
    tried_.pop_back();
    EndAttempt(AttemptEnd::kAbandoned, "server became unassignable while connecting");
    StartAttempt();
    return;
  }
  Send(connection);
}

void ProxiedRequest::Send(const UpstreamPool::ConnectionPtr& connection) {
  connection_ = connection;
  ++attempts_sent_;
  region_ = server_->region;
  connection_->Exchange(
      UpstreamRequestText(core::RuntimeClock::now()), request_.method() == http::verb::head,
      deadline_ + kConnectTimeout,
      [self = shared_from_this(), connection](const Response& response) {
        return self->BelongsToRequest(response, connection->reused());
      },
      [self = shared_from_this(), server = server_, connection](const ExchangeOutcome& outcome) {
        // A second copy of such a response could not be told from one to the next request.
        const bool without_id = outcome.status == ExchangeStatus::kResponse &&
                                outcome.response.count(self->context_.names.request_id) == 0;
        if (without_id) connection->Cancel();
        self->context_.pool.Release(*server, connection);
        if (self->finished_ || self->connection_ != connection) return;
        self->connection_ = nullptr;
        self->OnOutcome(outcome);
      });
}

std::string ProxiedRequest::UpstreamRequestText(core::TimePoint now) const {
  const auto& names = context_.names;
  std::string text;
  text.reserve(512 + request_.body().size());
  const auto append = [&text](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  };
  const auto method = request_.method_string();
  text.append(method.data(), method.size()).append(" ");
  text.append(request_.target().data(), request_.target().size()).append(" HTTP/1.1\r\n");
  const ConnectionFields dropped(request_);
  for (const auto& it : request_) {
    const std::string_view name(it.name_string().data(), it.name_string().size());
    if (dropped.Contains(it)) continue;
    if (boost::beast::iequals(it.name_string(), names.deadline_ms) ||
        boost::beast::iequals(it.name_string(), names.expected_server)) {
      continue;
    }
    append(name, {it.value().data(), it.value().size()});
  }
  append(names.deadline_ms, std::to_string(std::max<std::int64_t>(1, Ms(deadline_ - now))));
  append(names.expected_server, server_->report.id);
  const bool has_body = !request_.body().empty() || request_.method() == http::verb::post ||
                        request_.method() == http::verb::put;
  if (has_body) append("Content-Length", std::to_string(request_.body().size()));
  text.append("\r\n").append(request_.body());
  return text;
}

bool ProxiedRequest::BelongsToRequest(const Response& response, bool reused) const {
  const std::string_view id = FieldValue(response, context_.names.request_id);
  // Servers that refuse a request before they read its header fields cannot echo its id. On a
  // connection that was used before, it may be a late copy of a response to an earlier request.
  if (id.empty()) {
    if (reused) return false;
    return response.count(context_.names.not_run) > 0 || response.result_int() == kMisdirected;
  }
  return id == id_;
}

std::optional<steering::ServerLoad> ProxiedRequest::ReadLoadReport(const Response& response) {
  const auto field = response.find(context_.names.server_load);
  if (field == response.end()) {
    ++context_.metrics.load_reports_absent;
    return std::nullopt;
  }
  const std::string_view text(field->value().data(), field->value().size());
  const auto load = ParseLoadReport(text);
  if (load) {
    ++context_.metrics.load_reports_read;
    return load.value();
  }
  ++context_.metrics.load_reports_unreadable;
  const auto error = static_cast<std::size_t>(load.error());
  const std::uint32_t bit = 1U << error;
  if ((server_->logged_report_errors & bit) == 0) {
    server_->logged_report_errors |= bit;
    context_.events.Write(StreamEvent::kLoadReportUnreadable,
                          {{"server", server_->report.id},
                           {"service", server_->report.service},
                           {"reason", kLoadReportErrorNames[error]},
                           {"text", text.substr(0, kMaxLoggedReportBytes)}});
  }
  return std::nullopt;
}

void ProxiedRequest::NoteServerLimit(const Response& response) {
  const std::optional<double> limit = ParseRate(FieldValue(response, context_.names.server_limit));
  context_.server_limits.OnResponse(server_->report.id, server_->region, limit,
                                    core::RuntimeClock::now());
  if (limit == server_->limit) return;
  server_->limit = limit;
  context_.events.Write(StreamEvent::kServerLimit, {{"server", server_->report.id},
                                                    {"service", server_->report.service},
                                                    {"region", server_->region},
                                                    {"limited", limit.has_value()},
                                                    {"per_s", limit.value_or(0)}});
}

void ProxiedRequest::EndAttempt(AttemptEnd end, const std::string& detail,
                                const std::optional<steering::ServerLoad>& load) {
  const core::TimePoint now = core::RuntimeClock::now();
  const core::Duration latency = now - sent_at_;
  ++context_.metrics.attempts[static_cast<std::size_t>(end)];
  const bool unqueued = load_when_sent_ < server_->report.slots;
  const bool ejected_before = now < server_->ejected_until;
  context_.servers.OnEnd(*server_, end, load, latency,
                         unqueued ? context_.picker.Expected(*route_) : core::Duration::zero(),
                         now);
  if (end == AttemptEnd::kAnswered) {
    context_.metrics.server_latency.Add(latency);
    if (unqueued) context_.picker.OnLatency(*route_, latency);
  } else if (end != AttemptEnd::kAbandoned) {
    context_.events.Write(StreamEvent::kAttempt,
                          {{"id", id_},
                           {"server", server_->report.id},
                           {"address", server_->report.address},
                           {"region", server_->region},
                           {"policy", routes_->version()},
                           {"end", steering::kAttemptEndNames[static_cast<std::size_t>(end)]},
                           {"detail", detail},
                           {"ms", Ms(latency)},
                           {"load", load_when_sent_},
                           {"report_age_ms", Ms(now - server_->reported_at)},
                           {"position", position_}});
  }
  if (!ejected_before && now < server_->ejected_until) {
    context_.events.Write(StreamEvent::kServerEjected,
                          {{"server", server_->report.id},
                           {"failures", server_->consecutive_failures},
                           {"for_ms", Ms(server_->ejected_until - now)}});
    context_.pool.CloseIdleConnections(*server_);
  }
  server_ = nullptr;
}

void ProxiedRequest::OnOutcome(const ExchangeOutcome& outcome) {
  if (outcome.status == ExchangeStatus::kResponse) {
    OnResponse(outcome.response);
    return;
  }
  may_have_run_ = true;
  const auto name = kExchangeStatusNames[static_cast<std::size_t>(outcome.status)];
  EndAttempt(AttemptEnd::kFailed, std::string(name) + ": " + outcome.detail);
  if (route_->kind == config::RequestKind::kIdempotent && Retry(true)) return;
  Fail(outcome.status == ExchangeStatus::kTimeout ? kGatewayTimeout : kBadGateway, name);
}

void ProxiedRequest::OnResponse(const Response& response) {
  const unsigned status = response.result_int();
  const auto load = ReadLoadReport(response);
  if (status != kMisdirected) NoteServerLimit(response);
  if (status == kMisdirected || response.count(context_.names.not_run) > 0) {
    if (status == kMisdirected) context_.servers.OnMisdirected(*server_);
    EndAttempt(status == kMisdirected ? AttemptEnd::kUnreachable : AttemptEnd::kShed,
               "not run, status " + std::to_string(status), load);
    OnNotRun(response);
    return;
  }
  const bool idempotent = route_->kind == config::RequestKind::kIdempotent;
  may_have_run_ = true;
  const bool success = status < 300;
  if (response.count(http::field::content_encoding) > 0 ||
      (success && FieldValue(response, context_.names.response_digest).empty())) {
    EndAttempt(AttemptEnd::kFailed,
               "response body altered: Content-Encoding added or digest missing", load);
    if (idempotent && Retry(true)) return;
    Fail(kBadGateway, "spoiled-response");
    return;
  }
  const bool unproven_refusal = PromisesNotRun(status);
  if (status >= kFirstServerError || unproven_refusal) {
    EndAttempt(AttemptEnd::kServerError, "status " + std::to_string(status), load);
    if (idempotent && Retry(true)) return;
  } else {
    EndAttempt(AttemptEnd::kAnswered, {}, load);
  }
  if (unproven_refusal) {
    // The server may have run the request, but clients would repeat it after this status.
    Fail(kBadGateway, "unproven-refusal");
    return;
  }
  Forward(response);
}

void ProxiedRequest::OnNotRun(const Response& response) {
  if (Retry(true)) return;
  if (may_have_run_) {
    Fail(kBadGateway, "not-run-after-failure");
  } else if (response.result_int() == 400) {
    Answer(400, RequestEnd::kBadRequest, "server-400");
  } else {
    Refuse("servers-refuse");
  }
}

bool ProxiedRequest::Retry(bool reached_server) {
  const core::TimePoint now = core::RuntimeClock::now();
  if (!AdoptPolicyInForce() || attempts_sent_ >= route_->attempts) return false;
  if (deadline_ - now < core::Duration(route_->objective) / kMinRemainingDivisor) return false;
  if (reached_server) {
    const double allowance =
        context_.fleet.FractionalShare(context_.limits.retry_allowance) * kBudgetSafetyFactor;
    if (!context_.RetryWindowFor(service_name_)
             .TryRetry(context_.limits.retry_ratio * kBudgetSafetyFactor, allowance, now)) {
      ++context_.metrics.retries_denied;
      return false;
    }
  }
  ++context_.metrics.retries;
  StartAttempt();
  return true;
}

void ProxiedRequest::Forward(const Response& response) {
  std::string head = "HTTP/1.1 " + std::to_string(response.result_int()) + " ";
  head.append(response.reason().data(), response.reason().size()).append("\r\n");
  const ConnectionFields dropped(response);
  for (const auto& it : response) {
    if (dropped.Contains(it)) continue;
    head.append(it.name_string().data(), it.name_string().size()).append(": ");
    head.append(it.value().data(), it.value().size()).append("\r\n");
  }
  const unsigned status = response.result_int();
  if (status != 204 && status != 304) {
    head += "Content-Length: " + std::to_string(response.body().size()) + "\r\n";
  }
  session_->Reply(std::move(head), response.body());
  Finish(status >= kFirstServerError ? RequestEnd::kServerError : RequestEnd::kServed, status, {});
}

void ProxiedRequest::Refuse(std::string_view reason) {
  Answer(kUnavailable, RequestEnd::kRefused, reason);
}

void ProxiedRequest::Fail(unsigned status, std::string_view reason) {
  Answer(status, status == kGatewayTimeout ? RequestEnd::kTimedOut : RequestEnd::kFailed, reason);
}

void ProxiedRequest::Answer(unsigned status, RequestEnd end, std::string_view reason) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  const auto text = http::obsolete_reason(http::int_to_status(status));
  head.append(text.data(), text.size()).append("\r\nContent-Length: 0\r\n");
  if (!id_.empty()) head += context_.names.request_id + ": " + id_ + "\r\n";
  if (status == kUnavailable) {
    // Servers finish their current work after about the route's latency; the jitter keeps clients
    // that were rejected together from returning together.
    core::Duration wait = kMinRetryAfter;
    if (route_ != nullptr) {
      const double spread = std::uniform_real_distribution<double>(
          1 - kRetryAfterJitter, 1 + kRetryAfterJitter)(context_.random);
      const auto usual = static_cast<double>(context_.picker.Expected(*route_).count());
      wait =
          std::max<core::Duration>(wait, core::Duration(static_cast<std::int64_t>(usual * spread)));
    }
    std::array<char, 32> buf{};
    const int n =
        std::snprintf(buf.data(), buf.size(), "%.3f", std::chrono::duration<double>(wait).count());
    head.append("Retry-After: ").append(buf.data(), static_cast<std::size_t>(n)).append("\r\n");
  }
  session_->Reply(std::move(head), {});
  Finish(end, status, reason);
}

void ProxiedRequest::Finish(RequestEnd end, unsigned status, std::string_view reason) {
  finished_ = true;
  context_.deadlines->Remove(deadline_id_);
  const core::Duration latency = core::RuntimeClock::now() - received_at_;
  const std::string route_name = route_ == nullptr ? "none" : route_->name;
  context_.metrics.CountRequest(route_name, end, latency);
  if (!reason.empty()) ++context_.metrics.refusals[std::string(reason)];
  const bool failure = end != RequestEnd::kServed && end != RequestEnd::kClientGone;
  if (failure || telemetry::EventStream::Sampled(id_)) {
    StreamEvent event = StreamEvent::kRequest;
    if (end == RequestEnd::kRefused) event = StreamEvent::kRefused;
    if (end == RequestEnd::kFailed || end == RequestEnd::kTimedOut) event = StreamEvent::kFailed;
    context_.events.Write(
        event, {{"id", id_},
                {"route", route_name},
                {"service", service_name_},
                {"policy", routes_ ? routes_->version() : 0},
                {"end", kRequestEndNames[static_cast<std::size_t>(end)]},
                {"status", status},
                {"reason", reason},
                {"ms", Ms(latency)},
                {"left_ms", route_ == nullptr ? 0 : Ms(deadline_ - core::RuntimeClock::now())},
                {"servers", tried_},
                {"region", region_},
                {"position", position_},
                {"may_have_run", may_have_run_}});
  }
  session_ = nullptr;
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

void ProxiedRequest::OnDeadline() {
  if (finished_) return;
  deadline_id_ = 0;
  const auto self = shared_from_this();
  const auto connection = std::move(connection_);
  connection_ = nullptr;
  if (server_) EndAttempt(AttemptEnd::kAbandoned, "deadline");
  const bool sent = connection != nullptr || may_have_run_;
  if (connection) connection->Cancel();
  if (sent) {
    Fail(kGatewayTimeout, "deadline");
  } else {
    Refuse("deadline");
  }
}

}  // namespace vanilladeck::gateway

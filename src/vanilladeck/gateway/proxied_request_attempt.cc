#include <algorithm>
#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/connection_fields.h"
#include "vanilladeck/gateway/proxied_request.h"
#include "vanilladeck/gateway/proxied_request_impl.h"

/// Attempts at servers: choice, connection, exchange, and what follows from its outcome.

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using steering::AttemptEnd;
using telemetry::StreamEvent;

// Connecting takes at most one round trip between regions (0.11 s). Waiting longer does not help
// after a lost packet, which is not retransmitted in time.
constexpr core::Duration kConnectTimeout = milliseconds(500);
// Failed connections do not count as attempts; three in a row point to a fault of this instance.
constexpr std::uint32_t kMaxConnectFailures = 3;
// Safety margin, because instances see the counts of a window at slightly different times.
constexpr double kBudgetSafetyFactor = 0.75;
// A retry is sent only if at least this fraction (1/n) of the route's objective remains.
constexpr int kMinRemainingDivisor = 10;

}  // namespace

bool ProxiedRequest::EndsBeforeExit() const {
  return !context_.stop ||
         context_.stop->MayPassOn(core::RuntimeClock::now(), deadline_,
                                  context_.picker.Measured(*route_, service_name_));
}

void ProxiedRequest::StartAttempt() {
  if (!EndsBeforeExit()) {
    GiveUp(kStopping);
    return;
  }
  if (!AdoptPolicyInForce()) {
    GiveUp("policy-changed");
    return;
  }
  if (!AreRegionsBinding()) {
    GiveUp("policy-outdated");
    return;
  }
  const core::TimePoint now = core::RuntimeClock::now();
  const steering::PickQuery query{route_,          service_, affinity_key_, spread_,
                                  deadline_ - now, &tried_,  customer_};
  auto choice = context_.picker.Choose(query, now);
  if (const auto* reason = std::get_if<steering::NoServerReason>(&choice)) {
    GiveUp(steering::kNoServerReasonNames[static_cast<std::size_t>(*reason)]);
    return;
  }
  auto& pick = std::get<steering::Pick>(choice);
  server_ = std::move(pick.server);
  position_ = pick.position;
  object_ = pick.object;
  tried_.push_back(server_->report.id);
  load_when_sent_ = server_->Load(now);
  sent_at_ = now;
  context_.servers.OnSent(*server_, now, object_);
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
  } else if (key_removed_) {
    RefuseKey("key-removed");
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
  // While the connection was being made, the server may have started draining, another policy may
  // have come into force, or a stop may have begun.
  const bool ends_before_exit = EndsBeforeExit();
  if (!ends_before_exit || !AssignmentStands()) {
    context_.pool.Release(*server_, connection);
    // The server may have been replaced by another entry that can take the request.
    tried_.pop_back();
    EndAttempt(AttemptEnd::kAbandoned, ends_before_exit
                                           ? "server became unassignable while connecting"
                                           : "this instance stops");
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
      UpstreamRequest(core::RuntimeClock::now()), request_.method() == http::verb::head,
      deadline_ + kConnectTimeout,
      [self = shared_from_this(), server = server_, connection](const Response& response) {
        // Also a response to an earlier request tells that the server leaves.
        self->NoteLeaving(*server, response);
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

OutgoingRequest ProxiedRequest::UpstreamRequest(core::TimePoint now) const {
  const auto& names = context_.names;
  std::string text;
  text.reserve(512);
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
        boost::beast::iequals(it.name_string(), names.expected_server) || IsHiddenFromServers(it)) {
      continue;
    }
    append(name, {it.value().data(), it.value().size()});
  }
  append(names.deadline_ms, std::to_string(std::max<std::int64_t>(1, Ms(deadline_ - now))));
  append(names.expected_server, server_->report.id);
  if (customer_ != nullptr) append(names.customer_name, customer_->name);
  if (arriving_) {
    if (const auto length = arriving_->length()) {
      append("Content-Length", std::to_string(*length));
    } else {
      append("Transfer-Encoding", "chunked");
    }
    text.append("\r\n");
    return {std::move(text), arriving_->first_part(), arriving_};
  }
  const bool has_body =
      body_ || request_.method() == http::verb::post || request_.method() == http::verb::put;
  if (has_body) append("Content-Length", std::to_string(body_ ? body_->size() : 0));
  text.append("\r\n");
  return {std::move(text), body_, nullptr};
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

void ProxiedRequest::EndAttempt(AttemptEnd end, const std::string& detail,
                                const std::optional<steering::ServerLoad>& load) {
  const core::TimePoint now = core::RuntimeClock::now();
  const core::Duration latency = now - sent_at_;
  ++context_.metrics.attempts[static_cast<std::size_t>(end)];
  const std::string& service = server_->report.service;
  // After a pause of this process, what is read after the deadline tells nothing of the server.
  const bool in_time = now < deadline_;
  const bool unqueued = in_time && load_when_sent_ < server_->report.slots;
  const bool ejected_before = now < server_->ejected_until;
  const auto sent = server_->pace ? server_->pace->SentOf(object_) : steering::FreshPace::Sent{};
  if (unqueued && sent.IsSlowerThanUsual() &&
      (end == AttemptEnd::kAnswered || end == AttemptEnd::kAbandoned)) {
    context_.picker.OnFreshLatency(*route_, service, latency, sent, end == AttemptEnd::kAnswered);
  }
  context_.servers.OnEnd(
      *server_, end, load, latency,
      unqueued ? context_.picker.Expected(*route_, service) : core::Duration::zero(), now, object_);
  if (end == AttemptEnd::kAnswered) {
    context_.metrics.server_latency.Add(latency);
    if (in_time) {
      context_.picker.OnLatency(*route_, service, latency, unqueued && !sent.IsSlowerThanUsual(),
                                now);
    }
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
  if (config::MayRepeat(route_->kind) && Retry(true)) return;
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
  const bool idempotent = config::MayRepeat(route_->kind);
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
  } else if (key_removed_) {
    RefuseKey("key-removed");
  } else {
    Refuse("servers-refuse");
  }
}

bool ProxiedRequest::Retry(bool reached_server) {
  // A part of the body has been sent and freed.
  if (arriving_ && !arriving_->first_part()) return false;
  const core::TimePoint now = core::RuntimeClock::now();
  if (!EndsBeforeExit()) return false;
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

}  // namespace vanilladeck::gateway

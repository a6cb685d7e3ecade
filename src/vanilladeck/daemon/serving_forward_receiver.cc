#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <utility>

#include "vanilladeck/daemon/serving_forward.h"

namespace vanilladeck::daemon {
namespace {

using http::Problem;
using http::ProblemCode;

peer::ForwardReply ToReply(RouteResult& result) {
  peer::ForwardReply reply;
  reply.outcome = OutcomeOf(result);
  if (result.has_error()) {
    const Problem& problem = result.error();
    reply.error = std::string(http::Properties(problem.code).proxy_error);
    if (!problem.detail.empty()) reply.error += ": " + problem.detail;
    const auto retry_after =
        std::chrono::ceil<std::chrono::milliseconds>(problem.retry_after).count();
    reply.retry_after_ms = static_cast<std::uint32_t>(retry_after);
    return reply;
  }
  http::Response& response = result.value();
  reply.status = static_cast<int>(response.result_int());
  reply.headers = http::EndToEndFields(response);
  reply.body = std::move(response.body());
  return reply;
}

RoutedRequest ToRoutedRequest(const peer::ForwardRequest& request) {
  RoutedRequest routed;
  routed.service = request.service;
  routed.method = request.method;
  routed.target = request.target;
  routed.headers = request.headers;
  routed.body = request.body;
  routed.rank = request.rank;
  routed.deadline = core::RuntimeClock::now() + std::chrono::milliseconds(request.timeout_ms);
  routed.idempotent = request.method != "POST" && request.method != "PATCH";
  return routed;
}

}  // namespace

void ForwardReceiver::ApplySnapshot() {
  if (!context_.HasConfiguration()) return;
  const Snapshot& snapshot = *context_.snapshot;
  if (deployment_ != snapshot.deployment) {
    deployment_ = snapshot.deployment;
    const bool reconfigured = ledger_ && ledger_->Configure(*deployment_).has_value();
    if (!reconfigured) {
      auto ledger =
          steering::CreditLedger::Create(*deployment_, context_.OwnRegion(), context_.self);
      if (ledger.has_value()) {
        ledger_ = std::move(ledger.value());
      } else {
        ledger_.reset();
      }
    }
  }
  if (!ledger_) return;
  ledger_->SetSeats(
      steering::NumberSeats(*deployment_, context_.settings.failure_domain, snapshot.seats),
      context_.SeatsValidUntil());
}

void ForwardReceiver::OnForwardArrived(ForwardArrived arrived) {
  boost::asio::co_spawn(context_.io, Serve(std::move(arrived)), boost::asio::detached);
}

boost::asio::awaitable<void> ForwardReceiver::Serve(ForwardArrived arrived) {
  context_.metrics.Count(telemetry::Counter::kForwardsServed);
  const std::uint64_t id = arrived.id;
  const core::TimePoint started = core::RuntimeClock::now();
  Cancellation cancellation;
  active_[id] = &cancellation;
  RoutedRequest routed = ToRoutedRequest(arrived.request);
  const auto parent = telemetry::TraceContext::Parse(arrived.request.traceparent);
  telemetry::Span span = telemetry::Span::Start(parent ? &*parent : nullptr, "serve-forwarded",
                                                telemetry::SpanKind::kServer);
  routed.trace = span.context;
  RouteResult result = co_await Run(arrived.request, routed, cancellation);
  active_.erase(id);
  span.failed = result.has_error();
  span.attributes = {{"service", routed.service}};
  context_.FinishSpan(span);
  context_.metrics.CountRequest(routed.rank, OutcomeOf(result),
                                core::RuntimeClock::now() - started);
  (void)context_.PostToControl(ForwardServed{id, ToReply(result)});
}

boost::asio::awaitable<RouteResult> ForwardReceiver::Run(const peer::ForwardRequest& request,
                                                         const RoutedRequest& routed,
                                                         Cancellation& cancellation) {
  const std::shared_ptr<ServiceQueue> queue = queues_.Find(routed.service);
  if (!queue || !ledger_) {
    co_return Problem{ProblemCode::kNoServer, core::Outcome::kNotRun, "not served here", {}};
  }
  const auto admitted = ledger_->Admit(request.sender, request.from_region, routed.service,
                                       core::RuntimeClock::now());
  if (admitted.has_error()) {
    const auto code = static_cast<std::size_t>(admitted.error().code);
    co_return Problem{ProblemCode::kOverloaded, core::Outcome::kNotRun,
                      std::string(steering::kCreditRefusalNames[code]), std::chrono::seconds(1)};
  }
  auto slot = co_await queue->Admit(routed.rank, routed.deadline, cancellation);
  if (slot.has_error()) {
    context_.metrics.CountShed(routed.rank);
    if (ledger_) ledger_->Finish(request.from_region, core::RuntimeClock::now());
    co_return std::move(slot.error());
  }
  RouteResult result =
      co_await dispatcher_.Run(*queue, std::move(slot.value()), routed, cancellation);
  const core::TimePoint now = core::RuntimeClock::now();
  const bool shed = result.has_error() && result.error().code == ProblemCode::kOverloaded;
  if (ledger_ && shed) ledger_->OnShed(request.from_region, now);
  if (ledger_) ledger_->Finish(request.from_region, now);
  co_return result;
}

void ForwardReceiver::OnForwardCancelled(const ForwardCancelled& cancelled) {
  const auto it = active_.find(cancelled.id);
  if (it != active_.end()) it->second->Cancel();
}

void ForwardReceiver::OnCreditsArrived(const CreditsArrived& arrived) {
  CreditsServed served;
  served.id = arrived.id;
  served.grant.granter = context_.self;
  const core::TimePoint now = core::RuntimeClock::now();
  const std::shared_ptr<ServiceQueue> queue = queues_.Find(arrived.request.service);
  if (queue && ledger_ && !context_.draining && queue->Available(now)) {
    const steering::IdleSlots idle{queue->IdleSlots(now), queue->pool().Measured(now)};
    const auto grant = ledger_->Grant(arrived.request, idle, now);
    if (grant.has_value()) served.grant = grant.value();
  }
  (void)context_.PostToControl(std::move(served));
}

}  // namespace vanilladeck::daemon

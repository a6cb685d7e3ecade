#include "vanilladeck/daemon/serving_dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace vanilladeck::daemon {
namespace {

using admission::FinishKind;
using http::Problem;
using http::ProblemCode;

// A running server answers /cancel immediately; a longer wait only delays the caller's response.
constexpr core::Duration kCancelTimeout = std::chrono::milliseconds(150);
constexpr core::Duration kShedRetryAfter = std::chrono::seconds(1);
constexpr unsigned kServiceUnavailable = 503;

http::Request MakeRequest(const RoutedRequest& routed, const std::string& server,
                          const std::string& request_id, const telemetry::Span& span) {
  http::Request request;
  request.method_string(routed.method);
  request.target(routed.target);
  for (const auto& [name, value] : routed.headers) request.insert(name, value);
  request.set("Host", server);
  request.set(http::kRequestId, request_id);
  request.set(http::kTraceparent, span.context.ToString());
  const core::Duration remaining = routed.deadline - core::RuntimeClock::now();
  const auto remaining_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
  request.set(http::kRequestTimeoutMs, std::to_string(std::max<std::int64_t>(1, remaining_ms)));
  request.body() = routed.body;
  request.prepare_payload();
  return request;
}

/// True if the server rejected the request without running it.
bool IsNotRunRejection(const http::Response& response) {
  return response.result_int() == kServiceUnavailable &&
         response[http::kRequestOutcome] == core::Name(core::Outcome::kNotRun);
}

Problem ShedProblem(const http::Response& response) {
  const auto seconds = http::ParseNumber(response["Retry-After"]);
  constexpr std::uint64_t kMaxSeconds = 3600;
  const core::Duration retry_after =
      seconds ? core::Duration(std::chrono::seconds(std::min(*seconds, kMaxSeconds)))
              : kShedRetryAfter;
  return {ProblemCode::kOverloaded, core::Outcome::kNotRun, "the backend server refused it",
          retry_after};
}

FinishKind FinishKindOf(const RouteResult& result) {
  if (result.has_value()) return FinishKind::kSuccess;
  switch (result.error().code) {
    case ProblemCode::kOverloaded:
      return FinishKind::kShed;
    case ProblemCode::kResponseTimeout:
      return FinishKind::kTimeout;
    case ProblemCode::kConnectionRefused:
    case ProblemCode::kConnectionTimeout:
      return FinishKind::kConnect;
    case ProblemCode::kCancelled:
    case ProblemCode::kDeadlineExpired:
    case ProblemCode::kNoSeat:
    case ProblemCode::kNoServer:
      return FinishKind::kCancelled;
    default:
      return FinishKind::kError;
  }
}

/// True if another attempt can succeed and cannot run a non-idempotent request twice.
bool MayRetry(const Problem& problem, const RoutedRequest& request) {
  switch (problem.code) {
    case ProblemCode::kConnectionRefused:
    case ProblemCode::kConnectionTimeout:
    case ProblemCode::kOverloaded:
    case ProblemCode::kNoServer:
    case ProblemCode::kConnectionTerminated:
    case ProblemCode::kResponseIncomplete:
      return problem.outcome == core::Outcome::kNotRun || request.idempotent;
    default:
      return false;
  }
}

}  // namespace

struct Dispatcher::AttemptTimer {
  AttemptTimer(boost::asio::io_context& io, ServiceQueue& service_queue, bool is_idempotent)
      : queue(service_queue), timer(io), armed(is_idempotent) {}

  /// Capturing `this` is safe: `Attempt` calls `Disarm` before the timer is destroyed.
  void Arm(const std::shared_ptr<http::BackendConnection>& connection) {
    const std::optional<core::Duration> limit = queue.AttemptTimeout();
    if (!armed || !limit) return;
    armed = false;
    active = std::make_shared<bool>(true);
    timer.expires_after(*limit);
    timer.async_wait([this, connection, still_active = active](boost::system::error_code ec) {
      // Without retry budget the request keeps waiting for its response.
      if (ec || !*still_active || !queue.budget().TryRetry()) return;
      retry_charged = true;
      connection->AbortWithTimeout();
    });
  }

  void Disarm() {
    if (active) *active = false;
    timer.cancel();
  }

  ServiceQueue& queue;
  core::Timer timer;
  std::shared_ptr<bool> active;
  bool armed;
  bool retry_charged = false;
};

boost::asio::awaitable<RouteResult> Dispatcher::Run(ServiceQueue& queue, Slot slot,
                                                    const RoutedRequest& request,
                                                    Cancellation& cancellation) {
  queue.budget().OnFirstAttempt();
  AttemptTimer attempt_timer(context_.io, queue, request.idempotent);
  for (;;) {
    RouteResult result = co_await Attempt(queue, slot.server, request, cancellation, attempt_timer);
    const core::TimePoint now = core::RuntimeClock::now();
    if (result.has_value()) {
      queue.Finish(slot, FinishKind::kSuccess, now - slot.started);
      co_return result;
    }
    const FinishKind kind = FinishKindOf(result);
    const bool retry_charged = std::exchange(attempt_timer.retry_charged, false);
    const bool in_time = !cancellation.cancelled() && now < request.deadline;
    const bool may_retry =
        in_time &&
        (retry_charged || (MayRetry(result.error(), request) && queue.budget().TryRetry()));
    if (!may_retry || !queue.Reassign(slot, kind)) {
      queue.Finish(slot, kind, std::nullopt);
      co_return result;
    }
    context_.metrics.Count(telemetry::Counter::kRetries);
  }
}

std::optional<Problem> Dispatcher::CheckBeforeSending(const RoutedRequest& request) const {
  const core::TimePoint now = core::RuntimeClock::now();
  if (now >= request.deadline) {
    return Problem{ProblemCode::kDeadlineExpired, core::Outcome::kNotRun, "before sending", {}};
  }
  if (now >= context_.SeatsValidUntil()) {
    return Problem{ProblemCode::kNoSeat, core::Outcome::kNotRun, "the hold of the seat ran out",
                   std::chrono::seconds(1)};
  }
  return std::nullopt;
}

boost::asio::awaitable<RouteResult> Dispatcher::Attempt(ServiceQueue& queue,
                                                        const std::string& server,
                                                        const RoutedRequest& request,
                                                        Cancellation& cancellation,
                                                        AttemptTimer& attempt_timer) {
  const std::uint32_t limit = queue.pool().ConnectionShare(server);
  auto acquired = co_await connections_.Acquire(server, limit, request.deadline);
  if (acquired.has_error()) co_return std::move(acquired.error());
  http::ConnectionPool::Lease lease = std::move(acquired.value());
  telemetry::Span span =
      telemetry::Span::Start(&request.trace, "dispatch", telemetry::SpanKind::kClient);
  const std::string request_id = context_.NextRequestId();
  const http::Request message = MakeRequest(request, server, request_id, span);
  const http::SendCheck check = [this, &request] { return CheckBeforeSending(request); };
  if (cancellation.cancelled()) {
    connections_.Release(std::move(lease));
    co_return Problem{ProblemCode::kCancelled, core::Outcome::kNotRun, "before sending", {}};
  }
  // A non-idempotent request is not aborted once sent, so that its outcome can be recorded.
  if (request.idempotent) {
    cancellation.OnCancel([connection = lease.connection] { connection->Cancel(); });
  }
  attempt_timer.Arm(lease.connection);
  http::ExchangeResult exchanged =
      co_await connections_.Exchange(lease, message, request.deadline, check);
  attempt_timer.Disarm();
  cancellation.OnCancel(nullptr);
  connections_.Release(std::move(lease));
  span.failed = exchanged.has_error();
  span.attributes = {{"server.address", server}, {"request.id", request_id}};
  context_.FinishSpan(span);
  if (exchanged.has_error()) {
    http::ExchangeError error = std::move(exchanged.error());
    co_return co_await HandleFailure(queue, server, request, request_id, std::move(error));
  }
  http::Response response = std::move(exchanged.value());
  if (boost::beast::iequals(response[http::kServerState], "leaving")) {
    queue.pool().OnLeaving(server);
  }
  if (IsNotRunRejection(response)) co_return ShedProblem(response);
  co_return response;
}

boost::asio::awaitable<RouteResult> Dispatcher::HandleFailure(ServiceQueue& queue,
                                                              const std::string& server,
                                                              const RoutedRequest& request,
                                                              std::string request_id,
                                                              http::ExchangeError error) {
  const ProblemCode code = error.problem.code;
  const bool abandoned = code == ProblemCode::kResponseTimeout || code == ProblemCode::kCancelled;
  if (code == ProblemCode::kResponseTimeout) {
    context_.metrics.Count(telemetry::Counter::kSilentConnections);
  }
  if (!abandoned || !error.sent) co_return std::move(error.problem);
  context_.metrics.Count(telemetry::Counter::kCancellations);
  const std::uint32_t limit = queue.pool().ConnectionShare(server);
  if (request.idempotent) {
    // Runs detached: the cancellation only frees the server's slot, its result is not needed.
    boost::asio::co_spawn(
        context_.io,
        [this, server, limit, request_id]() -> boost::asio::awaitable<void> {
          (void)co_await CancelAtServer(server, limit, request_id);
        },
        boost::asio::detached);
    co_return std::move(error.problem);
  }
  const bool not_started = co_await CancelAtServer(server, limit, std::move(request_id));
  if (not_started) error.problem.outcome = core::Outcome::kNotRun;
  co_return std::move(error.problem);
}

boost::asio::awaitable<bool> Dispatcher::CancelAtServer(std::string server, std::uint32_t limit,
                                                        std::string request_id) {
  const core::TimePoint deadline = core::RuntimeClock::now() + kCancelTimeout;
  auto acquired = co_await connections_.Acquire(server, limit, deadline);
  if (acquired.has_error()) co_return false;
  http::ConnectionPool::Lease lease = std::move(acquired.value());
  http::Request request(boost::beast::http::verb::post, "/cancel", 11);
  request.set("Host", server);
  request.set(http::kRequestId, request_id);
  request.prepare_payload();
  const http::SendCheck no_check;
  const http::ExchangeResult result =
      co_await connections_.Exchange(lease, request, deadline, no_check);
  connections_.Release(std::move(lease));
  if (result.has_error() || result.value().result() != boost::beast::http::status::ok) {
    co_return false;
  }
  const auto body = nlohmann::json::parse(result.value().body(), nullptr, false);
  co_return body.is_object() && body.contains("cancelled") && body["cancelled"] == true;
}

}  // namespace vanilladeck::daemon

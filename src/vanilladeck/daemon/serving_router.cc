#include "vanilladeck/daemon/serving_router.h"

#include <utility>

#include "vanilladeck/daemon/serving_request.h"

namespace vanilladeck::daemon {
namespace {

using boost::beast::http::verb;
using http::Problem;
using http::ProblemCode;

constexpr std::string_view kLookupPath = "/v1/lookup";

bool IsGetOrHead(const http::Request& request) {
  return request.method() == verb::get || request.method() == verb::head;
}

http::Response MethodNotAllowed(std::string_view method) {
  http::Response response = http::MakeProblemResponse(
      {ProblemCode::kMethodNotAllowed, core::Outcome::kNotRun, std::string(method), {}});
  response.set("Allow", "GET, HEAD");
  return response;
}

/// Builds the caller's response from the backend server's response.
http::Response MakeCallerResponse(http::Response& answer, bool is_head) {
  http::Response response;
  response.result(answer.result_int());
  for (const auto& [name, value] : http::EndToEndFields(answer, {http::kServerState})) {
    response.insert(name, value);
  }
  response.set(http::kRequestOutcome, core::Name(core::Outcome::kRan));
  const std::string length(answer["Content-Length"]);
  response.body() = std::move(answer.body());
  const unsigned status = response.result_int();
  const bool has_body = !is_head && status != 204 && status != 304;
  if (has_body) {
    response.content_length(response.body().size());
  } else if (!length.empty() && status != 204) {
    response.set("Content-Length", length);
  }
  return response;
}

/// True for failures of the own failure domain that need not affect another one.
bool MayForwardAfter(const Problem& problem) {
  if (problem.outcome != core::Outcome::kNotRun) return false;
  switch (problem.code) {
    case ProblemCode::kOverloaded:
    case ProblemCode::kNoServer:
    case ProblemCode::kNoSeat:
    case ProblemCode::kConnectionRefused:
    case ProblemCode::kConnectionTimeout:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::optional<http::Response> Router::ServeNow(const http::Request& request,
                                               std::string_view peer_ip) {
  const std::string_view target = request.target();
  const std::string_view path = target.substr(0, target.find('?'));
  if (path.substr(0, kServicePrefix.size()) == kServicePrefix) {
    if (dependencies_.context.HasConfiguration()) return std::nullopt;
    return http::MakeProblemResponse({ProblemCode::kNoConfiguration, core::Outcome::kNotRun,
                                      "no configuration was received yet",
                                      std::chrono::seconds(1)});
  }
  const bool known = path == kLookupPath || path == "/metrics" || path == "/healthz";
  if (!known) {
    return http::MakeProblemResponse(
        {ProblemCode::kNoSuchResource, core::Outcome::kNotRun, std::string(path), {}});
  }
  if (!IsGetOrHead(request)) return MethodNotAllowed(request.method_string());
  if (path == kLookupPath) {
    return dependencies_.lookup.Serve(target, peer_ip, request[http::kClientId]);
  }
  return path == "/metrics" ? MetricsPage() : Healthz();
}

http::Response Router::Healthz() const {
  http::Response response;
  const bool serving = dependencies_.context.HasConfiguration() && !dependencies_.context.draining;
  response.result(serving ? 200U : 503U);
  response.set("Content-Type", "text/plain");
  response.body() = serving                          ? "serving\n"
                    : dependencies_.context.draining ? "draining\n"
                                                     : "no configuration\n";
  response.prepare_payload();
  return response;
}

http::Response Router::MetricsPage() const {
  http::Response response;
  response.set("Content-Type", "text/plain; version=0.0.4");
  response.body() = dependencies_.context.metrics.PrometheusText();
  response.prepare_payload();
  return response;
}

void Router::OnRefused(const Problem& /*problem*/) {
  dependencies_.context.metrics.Count(telemetry::Counter::kRefused);
}

boost::asio::awaitable<http::Response> Router::Serve(http::CallerExchange& exchange) {
  const std::shared_ptr<const Snapshot> snapshot = dependencies_.context.snapshot;
  auto checked = ParseServiceRequest(exchange, *snapshot->deployment, core::RuntimeClock::now());
  if (checked.has_error()) co_return http::MakeProblemResponse(checked.error());
  RoutedRequest request = std::move(checked.value());
  const bool has_parent = exchange.request.count(http::kTraceparent) > 0;
  const telemetry::TraceContext parent = request.trace;
  telemetry::Span span = telemetry::Span::Start(has_parent ? &parent : nullptr, request.service,
                                                telemetry::SpanKind::kServer);
  request.trace = span.context;
  Cancellation cancellation;
  exchange.on_disconnect = [&cancellation] { cancellation.Cancel(); };
  RouteResult result = Problem{};
  if (request.idempotent) {
    result = co_await Route(request, cancellation);
  } else {
    OperationRunner::Route route = [this, &cancellation](const RoutedRequest& claimed) {
      return Route(claimed, cancellation);
    };
    result = co_await dependencies_.operations.Run(request, std::move(route));
  }
  exchange.on_disconnect = nullptr;
  span.failed = result.has_error();
  span.attributes = {{"http.request.method", request.method},
                     {"rank", std::string(core::Name(request.rank))},
                     {"outcome", std::string(core::Name(OutcomeOf(result)))}};
  dependencies_.context.FinishSpan(span);
  dependencies_.context.metrics.CountRequest(request.rank, OutcomeOf(result),
                                             core::RuntimeClock::now() - exchange.arrived);
  if (result.has_error()) co_return http::MakeProblemResponse(result.error());
  co_return MakeCallerResponse(result.value(), exchange.request.method() == verb::head);
}

boost::asio::awaitable<RouteResult> Router::Route(const RoutedRequest& request,
                                                  Cancellation& cancellation) {
  const std::shared_ptr<ServiceQueue> queue = dependencies_.queues.Find(request.service);
  const bool available = queue && queue->Available(core::RuntimeClock::now());
  RouteResult result =
      Problem{ProblemCode::kNoServer, core::Outcome::kNotRun,
              "no server of " + request.service + " takes work here", std::chrono::seconds(1)};
  if (available) {
    result = co_await RunLocally(queue, request, cancellation);
    if (result.has_value() || !MayForwardAfter(result.error())) co_return result;
  }
  if (cancellation.cancelled()) co_return result;
  std::optional<RouteResult> forwarded =
      co_await dependencies_.forward.Forward(request, !available);
  if (forwarded) co_return std::move(*forwarded);
  co_return result;
}

boost::asio::awaitable<RouteResult> Router::RunLocally(std::shared_ptr<ServiceQueue> queue,
                                                       const RoutedRequest& request,
                                                       Cancellation& cancellation) {
  auto slot = co_await queue->Admit(request.rank, request.deadline, cancellation);
  if (slot.has_error()) {
    if (slot.error().code == ProblemCode::kOverloaded) {
      dependencies_.context.metrics.CountShed(request.rank);
    }
    co_return std::move(slot.error());
  }
  co_return co_await dependencies_.dispatcher.Run(*queue, std::move(slot.value()), request,
                                                  cancellation);
}

}  // namespace vanilladeck::daemon

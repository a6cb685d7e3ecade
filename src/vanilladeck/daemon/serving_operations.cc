#include "vanilladeck/daemon/serving_operations.h"

#include <optional>
#include <utility>
#include <variant>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::daemon {
namespace {

using http::Problem;
using http::ProblemCode;

// Longer than a store call with retries; limits how long recording can delay the caller's response.
constexpr core::Duration kCompleteTimeout = std::chrono::seconds(3);
constexpr core::Duration kInProgressRetryAfter = std::chrono::seconds(1);

http::Response Replay(const operations::RecordedAnswer& answer) {
  http::Response response;
  response.result(static_cast<unsigned>(answer.status));
  if (!answer.content_type.empty()) response.set("Content-Type", answer.content_type);
  response.body() = answer.body;
  return response;
}

/// Converts the reply to a claim that was not granted into the caller's result.
struct ClaimReplyToResult {
  RouteResult operator()(const operations::RecordedAnswer& answer) const { return Replay(answer); }
  RouteResult operator()(const operations::InProgress& /*reply*/) const {
    return Problem{ProblemCode::kOperationInProgress, core::Outcome::kUnknown,
                   "another request with this key runs now", kInProgressRetryAfter};
  }
  RouteResult operator()(const operations::OutcomeUnknown& /*reply*/) const {
    return Problem{ProblemCode::kOperationUnknown,
                   core::Outcome::kUnknown,
                   "an earlier attempt may have run",
                   {}};
  }
  RouteResult operator()(const operations::Mismatch& /*reply*/) const {
    return Problem{ProblemCode::kKeyMismatch,
                   core::Outcome::kNotRun,
                   "the key is for another client, service or request",
                   {}};
  }
  RouteResult operator()(const operations::Expired& /*reply*/) const {
    return Problem{
        ProblemCode::kKeyExpired, core::Outcome::kNotRun, "ask for a new key with a lookup", {}};
  }
  RouteResult operator()(const operations::Unavailable& reply) const {
    return Problem{ProblemCode::kRecordsUnavailable, core::Outcome::kNotRun,
                   "no claim could be recorded", std::chrono::milliseconds(reply.retry_after_ms)};
  }
  RouteResult operator()(const operations::Granted& /*reply*/) const {
    return Problem{};  // Unreachable; `Problem` defaults to an internal error.
  }
};

operations::RecordedAnswer ToRecordedAnswer(const http::Response& response) {
  return {static_cast<int>(response.result_int()), std::string(response["Content-Type"]),
          response.body()};
}

CompleteAsked MakeComplete(ServingContext& context, const RoutedRequest& request,
                           std::uint64_t claim_id) {
  CompleteAsked asked;
  asked.id = context.NextId();
  asked.request.key = request.key;
  asked.request.claim_id = claim_id;
  asked.request.holder = context.self;
  return asked;
}

}  // namespace

OperationRunner::OperationRunner(ServingContext& context)
    : context_(context),
      claims_(context.io.get_executor()),
      completions_(context.io.get_executor()) {}

boost::asio::awaitable<RouteResult> OperationRunner::Run(const RoutedRequest& request,
                                                         Route route) {
  const std::uint64_t claim_id = context_.NextId();
  const operations::ClaimReply reply = co_await Claim(request, claim_id);
  const auto* granted = std::get_if<operations::Granted>(&reply);
  if (granted == nullptr) {
    if (std::holds_alternative<operations::RecordedAnswer>(reply)) {
      context_.metrics.Count(telemetry::Counter::kReplays);
    }
    co_return std::visit(ClaimReplyToResult{}, reply);
  }
  RouteResult result = co_await route(request);
  CompleteAsked asked = MakeComplete(context_, request, claim_id);
  asked.request.attempt = granted->attempt;
  asked.request.outcome = OutcomeOf(result);
  if (result.has_value()) asked.request.answer = ToRecordedAnswer(result.value());
  // If recording fails, the claim stays and repeats get "unknown"; this caller gets its result.
  (void)co_await Complete(std::move(asked));
  co_return result;
}

boost::asio::awaitable<operations::ClaimReply> OperationRunner::Claim(const RoutedRequest& request,
                                                                      std::uint64_t claim_id) {
  context_.metrics.Count(telemetry::Counter::kClaims);
  ClaimAsked asked;
  asked.id = claim_id;
  asked.request.key = request.key;
  asked.request.client = request.client;
  asked.request.service = request.service;
  asked.request.fingerprint =
      core::Sha256Hex(request.method + " " + request.target + "\n" + request.body);
  asked.request.rank = request.rank;
  asked.request.holder = context_.self;
  asked.request.claim_id = claim_id;
  if (!context_.PostToControl(std::move(asked))) co_return operations::Unavailable{};
  std::optional<operations::ClaimReply> reply = co_await claims_.Wait(claim_id, request.deadline);
  if (reply) co_return std::move(*reply);
  ReleaseClaim(request, claim_id);
  co_return operations::Unavailable{};
}

void OperationRunner::ReleaseClaim(const RoutedRequest& request, std::uint64_t claim_id) {
  CompleteAsked asked = MakeComplete(context_, request, claim_id);
  asked.request.outcome = core::Outcome::kNotRun;
  // If this message is lost, the claim stays and repeats of the key get "unknown", which is safe.
  (void)context_.PostToControl(std::move(asked));
}

boost::asio::awaitable<bool> OperationRunner::Complete(CompleteAsked asked) {
  const std::uint64_t id = asked.id;
  if (!context_.PostToControl(std::move(asked))) co_return false;
  const core::TimePoint deadline = core::RuntimeClock::now() + kCompleteTimeout;
  const auto reply = co_await completions_.Wait(id, deadline);
  co_return reply && reply->recorded;
}

void OperationRunner::OnClaimAnswered(ClaimAnswered& answer) {
  (void)claims_.Resolve(answer.id, answer.reply);
}

void OperationRunner::OnCompleteAnswered(CompleteAnswered& answer) {
  (void)completions_.Resolve(answer.id, answer.reply);
}

}  // namespace vanilladeck::daemon

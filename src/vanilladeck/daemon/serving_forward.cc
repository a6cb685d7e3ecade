#include "vanilladeck/daemon/serving_forward.h"

#include <algorithm>
#include <utility>

namespace vanilladeck::daemon {
namespace {

using http::Problem;
using http::ProblemCode;

// A round trip between regions takes about 115 ms; this allows for two.
constexpr core::Duration kCreditWait = std::chrono::milliseconds(300);
// Minimum time before credits are requested again from a receiver that granted none.
constexpr core::Duration kCreditRequestBackoff = std::chrono::milliseconds(250);
// The reply may arrive this long after the request has timed out at the receiver.
constexpr core::Duration kReplyMargin = std::chrono::milliseconds(300);
constexpr std::size_t kMaxCandidates = 4;
constexpr int kMaxForwardAttempts = 2;
constexpr double kMinRequestedCredits = 4;
constexpr double kMaxRequestedCredits = 64;
constexpr double kDemandDecay = 0.5;  // Per credit request.

RouteResult FromReply(peer::ForwardReply& reply) {
  if (reply.status == 0) {
    return Problem{ProblemCode::kForwardFailed, reply.outcome, reply.error,
                   std::chrono::milliseconds(reply.retry_after_ms)};
  }
  // Instances of earlier releases pass on invalid status codes of backend servers.
  const auto status = static_cast<unsigned>(reply.status);
  if (!http::IsValidStatusCode(status)) {
    return Problem{ProblemCode::kForwardFailed,
                   core::Outcome::kUnknown,
                   "status code " + std::to_string(reply.status),
                   {}};
  }
  http::Response response;
  response.result(status);
  for (const auto& [name, value] : reply.headers) response.insert(name, value);
  response.body() = std::move(reply.body);
  return response;
}

}  // namespace

ForwardSender::ForwardSender(ServingContext& context)
    : context_(context), replies_(context.io.get_executor()), grants_(context.io.get_executor()) {}

void ForwardSender::ApplySnapshot() {
  const bool unchanged =
      snapshot_ && snapshot_->deployment == context_.snapshot->deployment &&
      std::equal(snapshot_->entry_instances.begin(), snapshot_->entry_instances.end(),
                 context_.snapshot->entry_instances.begin(),
                 context_.snapshot->entry_instances.end(),
                 [](const EntryInstance& a, const EntryInstance& b) {
                   return a.id == b.id && a.leaving == b.leaving;
                 });
  snapshot_ = context_.snapshot;
  if (unchanged) return;
  candidates_.clear();
  for (auto& [target, states] : credit_request_states_) {
    std::erase_if(states, [](const auto& it) { return !it.second.outstanding; });
  }
  std::erase_if(credit_request_states_, [](const auto& it) { return it.second.empty(); });
}

ForwardSender::Candidates ForwardSender::FindCandidates(const std::string& service) const {
  const config::Service* configured = FindService(*context_.snapshot->deployment, service);
  if (configured == nullptr) return {};
  Candidates local;
  Candidates remote;
  const std::string own_region = context_.OwnRegion();
  for (const EntryInstance& instance : context_.snapshot->entry_instances) {
    if (instance.leaving || instance.failure_domain == context_.settings.failure_domain) continue;
    const bool has_place = std::any_of(
        configured->places.begin(), configured->places.end(),
        [&](const auto& place) { return place.failure_domain == instance.failure_domain; });
    if (has_place) (instance.region == own_region ? local : remote).push_back(instance.id);
  }
  // Each sender starts at a different offset, so that not all choose the same receiver.
  const auto rotate_tier = [this](Candidates& tier) {
    if (tier.empty()) return;
    const auto shift = static_cast<std::ptrdiff_t>(context_.self.incarnation % tier.size());
    std::rotate(tier.begin(), tier.begin() + shift, tier.end());
  };
  rotate_tier(local);
  rotate_tier(remote);
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

ForwardSender::Candidates ForwardSender::SelectCandidates(const std::string& service) {
  auto it = candidates_.find(service);
  if (it == candidates_.end()) it = candidates_.emplace(service, FindCandidates(service)).first;
  Candidates selected = it->second;
  if (selected.size() > kMaxCandidates) selected.resize(kMaxCandidates);
  return selected;
}

std::optional<steering::CreditUse> ForwardSender::TakeCredit(const Candidates& candidates,
                                                             const std::string& service) {
  const core::TimePoint now = core::RuntimeClock::now();
  for (const core::InstanceId& target : candidates) {
    auto use = credits_.Take(target, service, now);
    if (use.has_value()) return std::move(use.value());
  }
  return std::nullopt;
}

std::optional<std::uint64_t> ForwardSender::RequestCredits(const core::InstanceId& target,
                                                           const std::string& service) {
  const core::TimePoint now = core::RuntimeClock::now();
  CreditRequestState& state = StateOf(target, service);
  if (state.outstanding || now < state.not_before) return std::nullopt;
  double& demand = demand_[service];
  CreditsAsked asked;
  asked.id = context_.NextId();
  asked.target = target;
  asked.request.sender = context_.self;
  asked.request.from_region = context_.OwnRegion();
  asked.request.service = service;
  asked.request.wanted =
      static_cast<std::uint32_t>(std::clamp(demand, kMinRequestedCredits, kMaxRequestedCredits));
  demand *= kDemandDecay;
  const std::uint64_t id = asked.id;
  if (!context_.PostToControl(std::move(asked))) return std::nullopt;
  state.outstanding = true;
  pending_credit_requests_[id] = {target, service, now};
  return id;
}

boost::asio::awaitable<std::optional<steering::CreditUse>> ForwardSender::AwaitCredit(
    const Candidates& candidates, const RoutedRequest& request) {
  const core::TimePoint until = std::min(request.deadline, core::RuntimeClock::now() + kCreditWait);
  for (const core::InstanceId& target : candidates) {
    const std::optional<std::uint64_t> id = RequestCredits(target, request.service);
    if (id) {
      (void)co_await grants_.Wait(*id, until);
    } else if (StateOf(target, request.service).outstanding) {
      // Another request already requested credits; its grant can serve this request too.
      constexpr core::Duration kPoll = std::chrono::milliseconds(20);
      core::Timer poll(context_.io);
      while (StateOf(target, request.service).outstanding && core::RuntimeClock::now() < until) {
        poll.expires_after(kPoll);
        co_await poll.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      }
    }
    std::optional<steering::CreditUse> credit = TakeCredit(candidates, request.service);
    if (credit || core::RuntimeClock::now() >= until) co_return credit;
  }
  co_return std::nullopt;
}

boost::asio::awaitable<std::optional<RouteResult>> ForwardSender::Forward(
    const RoutedRequest& request, bool may_wait) {
  if (!context_.HasConfiguration()) co_return std::nullopt;
  demand_[request.service] = std::min(demand_[request.service] + 1, kMaxRequestedCredits);
  const Candidates candidates = SelectCandidates(request.service);
  std::optional<RouteResult> last_result;
  for (int i = 0; i < kMaxForwardAttempts; ++i) {
    std::optional<steering::CreditUse> credit = TakeCredit(candidates, request.service);
    if (!credit && may_wait) {
      credit = co_await AwaitCredit(candidates, request);
    }
    if (!credit) {
      for (const core::InstanceId& target : candidates) {
        (void)RequestCredits(target, request.service);
      }
      co_return last_result;
    }
    RouteResult result = co_await Send(request, *credit);
    const bool retry = result.has_error() && result.error().outcome == core::Outcome::kNotRun &&
                       core::RuntimeClock::now() < request.deadline;
    last_result = std::move(result);
    if (!retry) co_return last_result;
  }
  co_return last_result;
}

boost::asio::awaitable<RouteResult> ForwardSender::Send(const RoutedRequest& request,
                                                        const steering::CreditUse& credit) {
  const core::TimePoint now = core::RuntimeClock::now();
  const core::Duration timeout = std::min(request.deadline - now, credit.remaining);
  const auto timeout_ms = std::chrono::floor<std::chrono::milliseconds>(timeout).count();
  if (timeout_ms <= 0) {
    co_return Problem{
        ProblemCode::kDeadlineExpired, core::Outcome::kNotRun, "before forwarding", {}};
  }
  telemetry::Span span =
      telemetry::Span::Start(&request.trace, "forward", telemetry::SpanKind::kClient);
  span.attributes = {{"server.address", credit.receiver.address}};
  ForwardAsked asked;
  asked.id = context_.NextId();
  asked.target = credit.receiver;
  asked.request.service = request.service;
  asked.request.method = request.method;
  asked.request.target = request.target;
  asked.request.headers = request.headers;
  asked.request.body = request.body;
  asked.request.rank = request.rank;
  asked.request.timeout_ms = static_cast<std::uint32_t>(timeout_ms);
  asked.request.traceparent = span.context.ToString();
  asked.request.from_region = context_.OwnRegion();
  asked.request.sender = context_.self;
  const std::uint64_t id = asked.id;
  if (!context_.PostToControl(std::move(asked))) {
    co_return Problem{ProblemCode::kForwardFailed, core::Outcome::kNotRun, "too many messages",
                      std::chrono::seconds(1)};
  }
  context_.metrics.Count(telemetry::Counter::kForwardsSent);
  std::optional<peer::ForwardReply> reply =
      co_await replies_.Wait(id, now + timeout + kReplyMargin);
  span.failed = !reply || reply->status == 0;
  context_.FinishSpan(span);
  if (!reply) {
    co_return Problem{ProblemCode::kForwardFailed,
                      core::Outcome::kUnknown,
                      "the other failure domain did not answer in time",
                      {}};
  }
  if (reply->status == 0 && reply->outcome == core::Outcome::kNotRun) {
    credits_.Drop(credit.receiver);
  }
  co_return FromReply(*reply);
}

void ForwardSender::OnForwardAnswered(ForwardAnswered& answer) {
  (void)replies_.Resolve(answer.id, answer.reply);
}

void ForwardSender::OnCreditsAnswered(CreditsAnswered& answer) {
  const auto it = pending_credit_requests_.find(answer.id);
  if (it == pending_credit_requests_.end()) return;
  const PendingCreditRequest pending = std::move(it->second);
  pending_credit_requests_.erase(it);
  const core::TimePoint now = core::RuntimeClock::now();
  CreditRequestState& state = StateOf(pending.target, pending.service);
  state.outstanding = false;
  if (answer.grant.count == 0) state.not_before = now + kCreditRequestBackoff;
  // An error means that the grant expired before it arrived; it is then ignored.
  (void)credits_.Add(answer.grant, pending.service, pending.sent_at, now);
  (void)grants_.Resolve(answer.id, answer.grant);
}

}  // namespace vanilladeck::daemon

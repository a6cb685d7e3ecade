#include "vanilladeck/daemon/serving_forward.h"

#include <algorithm>
#include <utility>

namespace vanilladeck::daemon {
namespace {

using http::Problem;
using http::ProblemCode;

// One round trip between regions takes about 115 ms; a request waits for at most two.
constexpr core::Duration kCreditWait = std::chrono::milliseconds(300);
// A refused question is repeated only after this time.
constexpr core::Duration kAskPause = std::chrono::milliseconds(250);
// The answer may arrive this much after the life of the request ended at the receiver.
constexpr core::Duration kAnswerMargin = std::chrono::milliseconds(300);
constexpr std::size_t kMaxCandidates = 4;
constexpr int kMaxSends = 2;
constexpr double kMinWanted = 4;
constexpr double kMaxWanted = 64;
constexpr double kDemandDecay = 0.5;  // Per question.

RouteResult FromReply(peer::ForwardReply& reply) {
  if (reply.status == 0) {
    return Problem{ProblemCode::kForwardFailed, reply.outcome, reply.error,
                   std::chrono::milliseconds(reply.retry_after_ms)};
  }
  http::Response response;
  response.result(static_cast<unsigned>(reply.status));
  for (const auto& [name, value] : reply.headers) response.insert(name, value);
  response.body() = std::move(reply.body);
  return response;
}

}  // namespace

ForwardSender::ForwardSender(ServingContext& context)
    : context_(context), replies_(context.io.get_executor()), grants_(context.io.get_executor()) {}

void ForwardSender::Apply() {
  const bool same = snapshot_ && snapshot_->deployment == context_.snapshot->deployment &&
                    std::equal(snapshot_->entry_instances.begin(), snapshot_->entry_instances.end(),
                               context_.snapshot->entry_instances.begin(),
                               context_.snapshot->entry_instances.end(),
                               [](const EntryInstance& a, const EntryInstance& b) {
                                 return a.id == b.id && a.leaving == b.leaving;
                               });
  snapshot_ = context_.snapshot;
  if (same) return;
  candidates_.clear();
  for (auto& [target, states] : ask_states_) {
    std::erase_if(states, [](const auto& it) { return !it.second.outstanding; });
  }
  std::erase_if(ask_states_, [](const auto& it) { return it.second.empty(); });
}

ForwardSender::Candidates ForwardSender::FindCandidates(const std::string& service) const {
  const config::Service* configured = FindService(*context_.snapshot->deployment, service);
  if (configured == nullptr) return {};
  Candidates near;
  Candidates far;
  const std::string own_region = context_.OwnRegion();
  for (const EntryInstance& instance : context_.snapshot->entry_instances) {
    if (instance.leaving || instance.failure_domain == context_.settings.failure_domain) continue;
    const bool has_place = std::any_of(
        configured->places.begin(), configured->places.end(),
        [&](const auto& place) { return place.failure_domain == instance.failure_domain; });
    if (has_place) (instance.region == own_region ? near : far).push_back(instance.id);
  }
  // Each sender starts at another place, so that not all ask the same receiver.
  const auto spread = [this](Candidates& tier) {
    if (tier.empty()) return;
    const auto shift = static_cast<std::ptrdiff_t>(context_.self.incarnation % tier.size());
    std::rotate(tier.begin(), tier.begin() + shift, tier.end());
  };
  spread(near);
  spread(far);
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

ForwardSender::Candidates ForwardSender::Order(const std::string& service) {
  auto it = candidates_.find(service);
  if (it == candidates_.end()) it = candidates_.emplace(service, FindCandidates(service)).first;
  Candidates order = it->second;
  if (order.size() > kMaxCandidates) order.resize(kMaxCandidates);
  return order;
}

std::optional<steering::CreditUse> ForwardSender::TakeCredit(const Candidates& candidates,
                                                             const std::string& service) {
  const core::TimePoint now = core::RuntimeClock::now();
  for (const core::InstanceId& target : candidates) {
    auto use = wallet_.Take(target, service, now);
    if (use.has_value()) return std::move(use.value());
  }
  return std::nullopt;
}

std::optional<std::uint64_t> ForwardSender::AskForCredits(const core::InstanceId& target,
                                                          const std::string& service) {
  const core::TimePoint now = core::RuntimeClock::now();
  AskState& state = StateOf(target, service);
  if (state.outstanding || now < state.not_before) return std::nullopt;
  double& demand = demand_[service];
  CreditsAsked asked;
  asked.id = context_.NextId();
  asked.target = target;
  asked.request.sender = context_.self;
  asked.request.from_region = context_.OwnRegion();
  asked.request.service = service;
  asked.request.wanted = static_cast<std::uint32_t>(std::clamp(demand, kMinWanted, kMaxWanted));
  demand *= kDemandDecay;
  const std::uint64_t id = asked.id;
  if (!context_.Tell(std::move(asked))) return std::nullopt;
  state.outstanding = true;
  asks_[id] = {target, service, now};
  return id;
}

boost::asio::awaitable<std::optional<steering::CreditUse>> ForwardSender::AwaitCredit(
    const Candidates& candidates, const RoutedRequest& request) {
  const core::TimePoint until = std::min(request.deadline, core::RuntimeClock::now() + kCreditWait);
  for (const core::InstanceId& target : candidates) {
    const std::optional<std::uint64_t> id = AskForCredits(target, request.service);
    if (id) {
      (void)co_await grants_.Wait(*id, until);
    } else if (StateOf(target, request.service).outstanding) {
      // Another request asked already; its answer serves this one too.
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
  demand_[request.service] = std::min(demand_[request.service] + 1, kMaxWanted);
  const Candidates candidates = Order(request.service);
  std::optional<RouteResult> last;
  for (int i = 0; i < kMaxSends; ++i) {
    std::optional<steering::CreditUse> credit = TakeCredit(candidates, request.service);
    if (!credit && may_wait) {
      credit = co_await AwaitCredit(candidates, request);
    }
    if (!credit) {
      for (const core::InstanceId& target : candidates) {
        (void)AskForCredits(target, request.service);
      }
      co_return last;
    }
    RouteResult result = co_await Send(request, *credit);
    const bool again = result.has_error() && result.error().outcome == core::Outcome::kNotRun &&
                       core::RuntimeClock::now() < request.deadline;
    last = std::move(result);
    if (!again) co_return last;
  }
  co_return last;
}

boost::asio::awaitable<RouteResult> ForwardSender::Send(const RoutedRequest& request,
                                                        const steering::CreditUse& credit) {
  const core::TimePoint now = core::RuntimeClock::now();
  const core::Duration life = std::min(request.deadline - now, credit.remaining);
  const auto life_ms = std::chrono::floor<std::chrono::milliseconds>(life).count();
  if (life_ms <= 0) {
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
  asked.request.timeout_ms = static_cast<std::uint32_t>(life_ms);
  asked.request.traceparent = span.context.ToString();
  asked.request.from_region = context_.OwnRegion();
  asked.request.sender = context_.self;
  const std::uint64_t id = asked.id;
  if (!context_.Tell(std::move(asked))) {
    co_return Problem{ProblemCode::kForwardFailed, core::Outcome::kNotRun, "too many messages",
                      std::chrono::seconds(1)};
  }
  context_.metrics.Count(telemetry::Counter::kForwardsSent);
  std::optional<peer::ForwardReply> reply = co_await replies_.Wait(id, now + life + kAnswerMargin);
  span.failed = !reply || reply->status == 0;
  context_.Record(span);
  if (!reply) {
    co_return Problem{ProblemCode::kForwardFailed,
                      core::Outcome::kUnknown,
                      "the other failure domain did not answer in time",
                      {}};
  }
  if (reply->status == 0 && reply->outcome == core::Outcome::kNotRun) {
    wallet_.Drop(credit.receiver);
  }
  co_return FromReply(*reply);
}

void ForwardSender::OnForwardAnswered(ForwardAnswered& answer) {
  (void)replies_.Resolve(answer.id, answer.reply);
}

void ForwardSender::OnCreditsAnswered(CreditsAnswered& answer) {
  const auto it = asks_.find(answer.id);
  if (it == asks_.end()) return;
  const Ask ask = std::move(it->second);
  asks_.erase(it);
  const core::TimePoint now = core::RuntimeClock::now();
  AskState& state = StateOf(ask.target, ask.service);
  state.outstanding = false;
  if (answer.grant.count == 0) state.not_before = now + kAskPause;
  // A grant that arrived too late is as good as none.
  (void)wallet_.Add(answer.grant, ask.service, ask.asked_at, now);
  (void)grants_.Resolve(answer.id, answer.grant);
}

}  // namespace vanilladeck::daemon

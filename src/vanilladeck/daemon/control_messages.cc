#include <utility>

#include "vanilladeck/daemon/control_impl.h"

namespace vanilladeck::daemon {
namespace {

using core::RuntimeClock;

/// Added to the request's timeout, so that a refusal which the peer sends at the deadline arrives
/// before this instance reports the outcome as unknown.
constexpr core::Duration kForwardTimeoutMargin = std::chrono::milliseconds(200);
constexpr core::Duration kCreditsTimeout = std::chrono::milliseconds(500);

/// Outcome of a forwarded request whose call to the peer failed.
peer::ForwardReply ForwardReplyFor(const peer::CallError& error) {
  peer::ForwardReply reply;
  switch (error.code) {
    case peer::CallErrorCode::kUnreachable:
      reply.outcome = core::Outcome::kNotRun;
      reply.error = "destination_unavailable";
      break;
    case peer::CallErrorCode::kRejected:
      reply.outcome = core::Outcome::kNotRun;
      reply.error = "connection_limit_reached";
      break;
    case peer::CallErrorCode::kOutcomeUnknown:
      reply.outcome = core::Outcome::kUnknown;
      reply.error = "connection_timeout";
      break;
  }
  return reply;
}

}  // namespace

void Control::Impl::DrainMailboxes() {
  mailbox_.Drain(
      [this](ToControl message) { std::visit([this](auto& it) { Handle(it); }, message); });
  peer_mailbox_.Drain(
      [this](peer::Event event) { std::visit([this](auto& it) { Handle(it); }, event); });
}

void Control::Impl::PostServing(const ToServing& message) {
  // Retries instead of dropping the message: the serving thread drains its mailbox within
  // microseconds.
  while (!post_(message)) std::this_thread::yield();
}

void Control::Impl::Respond(std::uint64_t id, const peer::Answer& answer) {
  while (!node_->Respond(id, answer)) std::this_thread::yield();
}

void Control::Impl::Handle(ClaimAsked& message) {
  const auto answer = [this, id = message.id](operations::ClaimReply reply) {
    PostServing(ClaimAnswered{id, std::move(reply)});
  };
  if (!operations_) return answer(operations::Unavailable{});
  operations_->Claim(std::move(message.request), answer);
}

void Control::Impl::Handle(CompleteAsked& message) {
  const auto answer = [this, id = message.id](operations::CompleteReply reply) {
    PostServing(CompleteAnswered{id, reply});
  };
  if (!operations_) return answer({false});
  operations_->Complete(message.request, answer);
}

void Control::Impl::Handle(ForwardAsked& message) {
  const auto timeout =
      std::chrono::milliseconds(message.request.timeout_ms) + kForwardTimeoutMargin;
  peers_->Call(message.target.address, std::move(message.request), timeout,
               [this, id = message.id](peer::CallResult result) {
                 auto reply = result.has_value() ? std::get<peer::ForwardReply>(result.value())
                                                 : ForwardReplyFor(result.error());
                 PostServing(ForwardAnswered{id, std::move(reply)});
               });
}

void Control::Impl::Handle(ForwardServed& message) {
  active_forwards_.erase(message.id);
  Respond(message.id, message.reply);
}

void Control::Impl::Handle(CreditsAsked& message) {
  peers_->Call(message.target.address, std::move(message.request), kCreditsTimeout,
               [this, id = message.id](const peer::CallResult& result) {
                 const auto grant = result.has_value() ? std::get<peer::CreditGrant>(result.value())
                                                       : peer::CreditGrant{};
                 PostServing(CreditsAnswered{id, grant});
               });
}

void Control::Impl::Handle(CreditsServed& message) { Respond(message.id, message.grant); }

void Control::Impl::Handle(peer::CallFinished& event) { peers_->OnFinished(std::move(event)); }

void Control::Impl::Handle(peer::IncomingCall& event) {
  std::visit([this, id = event.id](auto& call) { Serve(id, call); }, event.call);
}

void Control::Impl::Handle(const peer::IncomingCallCancelled& event) {
  if (active_forwards_.erase(event.id) > 0) PostServing(ForwardCancelled{event.id});
}

void Control::Impl::Serve(std::uint64_t id, const membership::Heartbeat& call) {
  OnPeerHeartbeat(call);
  Respond(id, view_->MakeHeartbeat(RuntimeClock::now()));
}

void Control::Impl::Serve(std::uint64_t id, peer::ForwardRequest& call) {
  active_forwards_.insert(id);
  PostServing(ForwardArrived{id, std::move(call)});
}

void Control::Impl::Serve(std::uint64_t id, const operations::ClaimRequest& call) {
  const auto answer = [this, id](const operations::ClaimReply& reply) { Respond(id, reply); };
  if (!operations_) return answer(operations::Unavailable{});
  operations_->ServeClaim(call, answer);
}

void Control::Impl::Serve(std::uint64_t id, const operations::CompleteRequest& call) {
  const auto answer = [this, id](operations::CompleteReply reply) { Respond(id, reply); };
  if (!operations_) return answer({false});
  operations_->ServeComplete(call, answer);
}

void Control::Impl::Serve(std::uint64_t id, const peer::CreditRequest& call) {
  PostServing(CreditsArrived{id, call});
}

void Control::Impl::Serve(std::uint64_t id, const peer::FetchVersions& call) {
  const bool same_deployment = call.deployment.empty() || call.deployment == settings_.deployment;
  Respond(id, peer::Versions{same_deployment ? config_->replica().EncodedRecordsAfter(call.after)
                                             : std::vector<std::string>{}});
}

void Control::Impl::Serve(std::uint64_t id, const peer::FetchServers&) {
  Respond(id, peer::Servers{servers_});
}

void Control::Impl::Serve(std::uint64_t id, const peer::ConfirmSeat& call) {
  Respond(id, seats_->Confirm(call.claim, RuntimeClock::now()));
}

void Control::Impl::Serve(std::uint64_t id, const peer::AnnounceSeat& call) {
  seats_->RecordClaim(call.claim);
  Respond(id, peer::SeatAcknowledged{});
}

}  // namespace vanilladeck::daemon

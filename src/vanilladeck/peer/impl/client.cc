#include "vanilladeck/peer/impl/client.h"

#include <algorithm>
#include <utility>

#include "vanilladeck/peer/impl/wire.h"

namespace vanilladeck::peer::impl {
namespace {

/// A TCP connection within one deployment opens after one round trip; 500 ms without a connection
/// mean that the peer or the network path to it is down.
constexpr kj::Duration kConnectTimeout = 500 * kj::MILLISECONDS;

/// Starts the RPC for each alternative of `Call` and decodes its answer.
struct CallStarter {
  wire::Peer::Client peer;

  kj::Promise<Answer> operator()(const membership::Heartbeat& call) {
    auto request = peer.heartbeatRequest();
    Encode(call, request.initOwn());
    return request.send().then([](auto&& reply) -> Answer { return Decode(reply.getPeer()); });
  }
  kj::Promise<Answer> operator()(const ForwardRequest& call) {
    auto request = peer.forwardRequest();
    Encode(call, request.initRequest());
    return request.send().then([](auto&& reply) -> Answer { return Decode(reply.getReply()); });
  }
  kj::Promise<Answer> operator()(const operations::ClaimRequest& call) {
    auto request = peer.claimRequest();
    Encode(call, request.initRequest());
    return request.send().then([](auto&& reply) -> Answer { return Decode(reply.getReply()); });
  }
  kj::Promise<Answer> operator()(const operations::CompleteRequest& call) {
    auto request = peer.completeRequest();
    Encode(call, request.initRequest());
    return request.send().then(
        [](auto&& reply) -> Answer { return operations::CompleteReply{reply.getRecorded()}; });
  }
  kj::Promise<Answer> operator()(const CreditRequest& call) {
    auto request = peer.creditsRequest();
    Encode(call, request.initRequest());
    return request.send().then([](auto&& reply) -> Answer { return Decode(reply.getGrant()); });
  }
  kj::Promise<Answer> operator()(const FetchVersions& call) {
    auto request = peer.fetchVersionsRequest();
    request.setDeployment(call.deployment);
    request.setAfter(call.after);
    return request.send().then(
        [](auto&& reply) -> Answer { return Versions{Decode(reply.getRecords())}; });
  }
  kj::Promise<Answer> operator()(const FetchServers&) {
    return peer.fetchServersRequest().send().then(
        [](auto&& reply) -> Answer { return Servers{Decode(reply.getServers())}; });
  }
  kj::Promise<Answer> operator()(const ConfirmSeat& call) {
    auto request = peer.confirmSeatRequest();
    Encode(call.claim, request.initClaim());
    return request.send().then(
        [](auto&& reply) -> Answer { return SeatConfirmed{reply.getConfirmed()}; });
  }
  kj::Promise<Answer> operator()(const AnnounceSeat& call) {
    auto request = peer.announceSeatRequest();
    Encode(call.claim, request.initClaim());
    return request.send().then([](auto&&) -> Answer { return SeatAcknowledged{}; });
  }
};

kj::Duration ToKjDuration(core::Duration duration) { return duration.count() * kj::NANOSECONDS; }

}  // namespace

Connection::Connection(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting)
    : open_(connecting
                .then([this](kj::Own<kj::AsyncIoStream> stream) {
                  transport_ = kj::heap<Transport>(kj::mv(stream));
                  disconnected_ = transport_->client.onDisconnect()
                                      .then([this] { MarkBroken(); })
                                      .eagerlyEvaluate([this](kj::Exception&&) { MarkBroken(); });
                })
                .fork()) {}

wire::Peer::Client Connection::Peer() {
  return transport_->client.bootstrap().castAs<wire::Peer>();
}

kj::Own<Connection> Client::Connect(const std::string& address) {
  auto it = connections_.find(address);
  if (it != connections_.end() && !it->second->broken()) return kj::addRef(*it->second);
  auto connecting = provider_.getNetwork().parseAddress(address).then(
      [](kj::Own<kj::NetworkAddress> parsed) { return parsed->connect().attach(kj::mv(parsed)); });
  auto connection = kj::refcounted<Connection>(
      provider_.getTimer().timeoutAfter(kConnectTimeout, kj::mv(connecting)));
  auto reference = kj::addRef(*connection);
  connections_.insert_or_assign(address, kj::mv(connection));
  return reference;
}

kj::Promise<CallResult> Client::Send(const std::string& address, Call call,
                                     core::Duration timeout) {
  auto connection = Connect(address);
  Connection& used = *connection;
  auto sent = kj::heap<bool>(false);
  bool& was_sent = *sent;
  auto answer = used.WhenOpen().then([&used, &was_sent, call = std::move(call)] {
    was_sent = true;
    return std::visit(CallStarter{used.Peer()}, call);
  });
  return provider_.getTimer()
      .timeoutAfter(ToKjDuration(timeout), kj::mv(answer))
      .then([](Answer received) -> CallResult { return received; },
            [&used, &was_sent, address](kj::Exception&& error) -> CallResult {
              // kj reports local timeouts as OVERLOADED, too; only a remote exception is a refusal
              // by the peer.
              if (was_sent && error.getType() == kj::Exception::Type::OVERLOADED &&
                  error.getDescription().startsWith("remote exception")) {
                return CallError{CallErrorCode::kRejected, address};
              }
              used.MarkBroken();
              return CallError{
                  was_sent ? CallErrorCode::kOutcomeUnknown : CallErrorCode::kUnreachable, address};
            })
      .attach(kj::mv(sent), kj::mv(connection));
}

}  // namespace vanilladeck::peer::impl

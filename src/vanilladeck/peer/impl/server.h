#pragma once

#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "vanilladeck/peer/node.h"
#include "vanilladeck/peer/peer.capnp.h"

namespace vanilladeck::peer::impl {

/// Calls from peers that this daemon has not answered yet. Used on the RPC thread only.
class PendingCalls {
 public:
  explicit PendingCalls(Node::Sink sink) : sink_(std::move(sink)) {}

  /// Passes the call to the sink. When the sink is full, the call is not processed and the promise
  /// rejects with kj's OVERLOADED.
  [[nodiscard]] kj::Promise<Answer> Dispatch(Call call);

  /// Answers a call; the id of a cancelled call is ignored.
  void Fulfill(std::uint64_t id, Answer answer);

 private:
  void OnCancelled(std::uint64_t id);

  Node::Sink sink_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<Answer>>> fulfillers_;
};

/// Decodes the calls from peers and encodes the answers.
class Server final : public wire::Peer::Server {
 public:
  explicit Server(PendingCalls& pending) : pending_(pending) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override;
  kj::Promise<void> forward(ForwardContext context) override;
  kj::Promise<void> claim(ClaimContext context) override;
  kj::Promise<void> complete(CompleteContext context) override;
  kj::Promise<void> credits(CreditsContext context) override;
  kj::Promise<void> fetchVersions(FetchVersionsContext context) override;
  kj::Promise<void> fetchServers(FetchServersContext context) override;
  kj::Promise<void> confirmSeat(ConfirmSeatContext context) override;
  kj::Promise<void> announceSeat(AnnounceSeatContext context) override;

 private:
  PendingCalls& pending_;
};

}  // namespace vanilladeck::peer::impl

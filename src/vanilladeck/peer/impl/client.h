#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>

#include <string>
#include <unordered_map>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/peer/call.h"
#include "vanilladeck/peer/peer.capnp.h"

namespace vanilladeck::peer::impl {

/// A connection to a peer, owned jointly by the client and the calls in flight on it.
class Connection final : public kj::Refcounted {
 public:
  explicit Connection(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting);

  /// Resolves once the connection is open.
  [[nodiscard]] kj::Promise<void> WhenOpen() { return open_.addBranch(); }

  /// The peer's RPC interface; may be called only after `WhenOpen` has resolved.
  [[nodiscard]] wire::Peer::Client Peer();

  [[nodiscard]] bool broken() const noexcept { return broken_; }
  void MarkBroken() noexcept { broken_ = true; }

 private:
  struct Transport {
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    explicit Transport(kj::Own<kj::AsyncIoStream> opened)
        : stream(kj::mv(opened)), client(*stream) {}
  };

  kj::Own<Transport> transport_;
  bool broken_ = false;
  kj::ForkedPromise<void> open_;
  kj::Promise<void> disconnected_ = nullptr;
};

/// Sends calls to peers over cached connections. Used on the RPC thread only.
class Client {
 public:
  explicit Client(kj::AsyncIoProvider& provider) : provider_(provider) {}

  /// The promise never rejects; failures are returned as `CallError`.
  [[nodiscard]] kj::Promise<CallResult> Send(const std::string& address, Call call,
                                             core::Duration timeout);

 private:
  [[nodiscard]] kj::Own<Connection> Connect(const std::string& address);

  kj::AsyncIoProvider& provider_;
  std::unordered_map<std::string, kj::Own<Connection>> connections_;
};

}  // namespace vanilladeck::peer::impl

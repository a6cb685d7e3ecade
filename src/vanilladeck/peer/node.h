#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/peer/call.h"

namespace vanilladeck::peer {

/// A call from a peer; to be answered by `Node::Respond` with the same id.
struct IncomingCall {
  std::uint64_t id = 0;
  Call call;
};

/// The peer has cancelled an `IncomingCall` or lost its connection.
struct IncomingCallCancelled {
  std::uint64_t id = 0;
};

/// The result of a call that was started with `Node::Send`.
struct CallFinished {
  std::uint64_t id = 0;
  CallResult result;
};

using Event = std::variant<IncomingCall, IncomingCallCancelled, CallFinished>;

/// The listener for peers could not be opened.
struct ListenError {
  std::string address;
  std::string reason;
};

/// Cap'n Proto RPC server and client for calls between daemons, on a thread of its own.
///
/// Keeps one connection per peer address. After a timeout the connection is not used for new calls,
/// because all calls on an unresponsive connection would time out; the calls in flight on it run
/// until their own deadlines.
class Node {
 public:
  /// Called with each event on the RPC thread; returns false when it cannot accept the event now.
  using Sink = std::function<bool(Event)>;

  /// Listens on `address` ("IP:port") and starts the thread.
  [[nodiscard]] static core::Result<std::unique_ptr<Node>, ListenError> Create(
      const std::string& address, Sink sink);

  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts a call; exactly one `CallFinished` with `id` follows. Returns false, and sends nothing,
  /// when the command queue is full. Thread-safe.
  [[nodiscard]] bool Send(std::uint64_t id, std::string address, Call call, core::Duration timeout);

  /// Answers an `IncomingCall`. Returns false when the command queue is full. Thread-safe.
  [[nodiscard]] bool Respond(std::uint64_t id, Answer answer);

  /// Cancels a call started with `Send`, which the peer sees as `IncomingCallCancelled`. Returns
  /// false when the command queue is full. Thread-safe.
  [[nodiscard]] bool Cancel(std::uint64_t id);

 private:
  class Loop;
  explicit Node(std::unique_ptr<Loop> loop);
  std::unique_ptr<Loop> loop_;
};

}  // namespace vanilladeck::peer

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

/// A call of a peer that waits for `Node::Respond` with the same id.
struct IncomingCall {
  std::uint64_t id = 0;
  Call call;
};

/// The peer no longer waits for the answer to an `IncomingCall` call.
struct IncomingCallCancelled {
  std::uint64_t id = 0;
};

/// The end of a call that was started with `Node::Send`.
struct CallFinished {
  std::uint64_t id = 0;
  CallResult result;
};

using Event = std::variant<IncomingCall, IncomingCallCancelled, CallFinished>;

/// The peers' listener could not be opened.
struct ListenError {
  std::string address;
  std::string reason;
};

/// The peers' duty thread: Cap'n Proto RPC server and client.
///
/// One connection per peer address is kept. After a timeout the connection is no longer used for
/// new calls, because a connection that went silent would time out all of them; calls in flight on
/// it run to their own deadlines.
class Node {
 public:
  /// Receives events on the peers' thread; returns false when it can't take one now.
  using Sink = std::function<bool(Event)>;

  /// Listens on `address` ("IP:port") and starts the thread.
  [[nodiscard]] static core::Result<std::unique_ptr<Node>, ListenError> Create(
      const std::string& address, Sink sink);

  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts a call; exactly one `CallFinished` with `id` follows. Returns false, and sends nothing,
  /// when too many calls wait. Thread-safe.
  [[nodiscard]] bool Send(std::uint64_t id, std::string address, Call call, core::Duration timeout);

  /// Answers an `IncomingCall` call. Returns false when too many answers wait. Thread-safe.
  [[nodiscard]] bool Respond(std::uint64_t id, Answer answer);

  /// Gives up on a call started with `Send`; the peer sees it as `IncomingCallCancelled`.
  /// Thread-safe.
  [[nodiscard]] bool Cancel(std::uint64_t id);

 private:
  class Loop;
  explicit Node(std::unique_ptr<Loop> loop);
  std::unique_ptr<Loop> loop_;
};

}  // namespace vanilladeck::peer

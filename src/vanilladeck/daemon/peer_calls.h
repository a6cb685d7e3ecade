#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/peer/node.h"

namespace vanilladeck::daemon {

/// Outstanding calls of the control thread to peers and their completion callbacks.
class PeerCalls {
 public:
  using Done = std::function<void(peer::CallResult)>;

  explicit PeerCalls(peer::Node& node) : node_(node) {}

  /// `done` is called exactly once; immediately with kRejected when too many calls are queued.
  /// Returns the id of the call for `Cancel`.
  std::uint64_t Call(const std::string& address, peer::Call call, core::Duration timeout,
                     Done done);

  /// Cancels a call; its `done` gets kOutcomeUnknown unless a reply has already been received.
  void Cancel(std::uint64_t id);

  void OnFinished(peer::CallFinished finished);

 private:
  peer::Node& node_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, Done> pending_;
};

}  // namespace vanilladeck::daemon

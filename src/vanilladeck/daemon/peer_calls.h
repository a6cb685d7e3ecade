#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/peer/node.h"

namespace vanilladeck::daemon {

/// Calls of the control thread to peers, each with the function that takes its result.
class PeerCalls {
 public:
  using Done = std::function<void(peer::CallResult)>;

  explicit PeerCalls(peer::Node& node) : node_(node) {}

  /// `done` is called exactly once; at once with kRejected when too many calls wait. Returns the
  /// number of the call for `Abandon`.
  std::uint64_t Call(const std::string& address, peer::Call call, core::Duration timeout,
                     Done done);

  /// Gives a call up; its `done` gets kOutcomeUnknown unless an answer is already on its way.
  void Abandon(std::uint64_t id);

  void OnFinished(peer::CallFinished finished);

 private:
  peer::Node& node_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, Done> waiting_;
};

}  // namespace vanilladeck::daemon

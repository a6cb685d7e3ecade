#include "vanilladeck/daemon/peer_calls.h"

#include <utility>

namespace vanilladeck::daemon {

std::uint64_t PeerCalls::Call(const std::string& address, peer::Call call, core::Duration timeout,
                              Done done) {
  const std::uint64_t id = next_id_++;
  if (!node_.Send(id, address, std::move(call), timeout)) {
    done(peer::CallError{peer::CallErrorCode::kRejected, address});
    return id;
  }
  pending_.emplace(id, std::move(done));
  return id;
}

void PeerCalls::Cancel(std::uint64_t id) {
  // When the node's queue is full, the call ends with its own timeout instead.
  if (pending_.contains(id)) (void)node_.Cancel(id);
}

void PeerCalls::OnFinished(peer::CallFinished finished) {
  auto it = pending_.find(finished.id);
  if (it == pending_.end()) return;
  const Done done = std::move(it->second);
  pending_.erase(it);
  done(std::move(finished.result));
}

}  // namespace vanilladeck::daemon

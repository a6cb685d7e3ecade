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
  waiting_.emplace(id, std::move(done));
  return id;
}

void PeerCalls::Abandon(std::uint64_t id) {
  // With a full queue the call ends by its own timeout instead.
  if (waiting_.contains(id)) (void)node_.Cancel(id);
}

void PeerCalls::OnFinished(peer::CallFinished finished) {
  auto it = waiting_.find(finished.id);
  if (it == waiting_.end()) return;
  const Done done = std::move(it->second);
  waiting_.erase(it);
  done(std::move(finished.result));
}

}  // namespace vanilladeck::daemon

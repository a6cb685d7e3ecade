#include "vanilladeck/replay/impl/fcfs_baseline.h"

#include <algorithm>

namespace vanilladeck::replay::impl {

FcfsBaseline::FcfsBaseline(const std::map<std::string, std::uint32_t>& shares,
                           std::uint32_t queue_limit)
    : limit_per_server_(
          std::max<std::size_t>(1, queue_limit / std::max<std::size_t>(1, shares.size()))) {
  for (const auto& [address, share] : shares) servers_.push_back({address, share, 0, {}});
}

bool FcfsBaseline::Offer(std::uint64_t id) {
  Server& server = servers_[next_server_++ % servers_.size()];
  if (server.queue.size() >= limit_per_server_) return false;
  server.queue.push_back(id);
  return true;
}

std::optional<std::pair<std::uint64_t, std::string>> FcfsBaseline::Next() {
  for (Server& server : servers_) {
    if (server.running >= server.share || server.queue.empty()) continue;
    const std::uint64_t id = server.queue.front();
    server.queue.pop_front();
    ++server.running;
    return std::pair{id, server.address};
  }
  return std::nullopt;
}

void FcfsBaseline::Finish(const std::string& address) {
  const auto it = std::ranges::find(servers_, address, &Server::address);
  if (it != servers_.end()) --it->running;
}

}  // namespace vanilladeck::replay::impl

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace vanilladeck::replay::impl {

/// Baseline for comparison: servers in round-robin order, one first-come, first-served queue per
/// server, no ranks.
class FcfsBaseline {
 public:
  /// `shares`: slots of each server that this instance may use. `queue_limit`: waiting requests of
  /// all servers together.
  FcfsBaseline(const std::map<std::string, std::uint32_t>& shares, std::uint32_t queue_limit);

  /// Queues a request at the next server in order; false if the queue of that server is full.
  [[nodiscard]] bool Offer(std::uint64_t id);
  /// Starts the next request for which a slot is free; returns it with the address of its server.
  [[nodiscard]] std::optional<std::pair<std::uint64_t, std::string>> Next();
  void Finish(const std::string& address);

 private:
  struct Server {
    std::string address;
    std::uint32_t share = 0;
    std::uint32_t running = 0;
    std::deque<std::uint64_t> queue;
  };
  std::vector<Server> servers_;
  std::size_t next_server_ = 0;
  std::size_t limit_per_server_;
};

}  // namespace vanilladeck::replay::impl

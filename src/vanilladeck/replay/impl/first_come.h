#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace vanilladeck::replay::impl {

/// Baseline: servers in turn, one first-come-first-served queue per server, no ranks.
class FirstCome {
 public:
  /// `shares` are the own slots per server, `queue_limit` the waiting requests in all.
  FirstCome(const std::map<std::string, std::uint32_t>& shares, std::uint32_t queue_limit);

  /// False if the queue of the server whose turn it is is full.
  [[nodiscard]] bool Offer(std::uint64_t id);
  /// The next request that can start, with its server.
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
  std::size_t turn_ = 0;
  std::size_t limit_per_server_;
};

}  // namespace vanilladeck::replay::impl

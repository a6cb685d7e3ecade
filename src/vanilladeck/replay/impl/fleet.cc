#include "vanilladeck/replay/impl/fleet.h"

#include <algorithm>
#include <chrono>

namespace vanilladeck::replay::impl {

Fleet::Fleet(const Trace& trace)
    : cold_factor_(trace.cold_factor), cold_requests_(trace.cold_requests) {
  const auto& domains = trace.deployment.failure_domains;
  for (std::size_t i = 0; i < domains.size(); ++i) {
    const config::Place& place = trace.deployment.services.front().places.at(i);
    for (std::uint32_t k = 0; k < place.servers; ++k) {
      const std::string address = "10." + std::to_string(i) + ".0." + std::to_string(k) + ":80";
      servers_[address] = {domains[i].region, domains[i].name, place.slots, 0, 0, std::nullopt};
    }
  }
}

core::Duration Fleet::Start(const std::string& address, core::Duration service, bool shifted,
                            core::Duration now) {
  FleetServer& server = servers_.at(address);
  if (server.running >= server.slots) ++starts_over_capacity_;
  ++server.running;
  if (server.leaving_since) last_start_on_leaving_ = now - *server.leaving_since;
  if (!shifted || server.shifted++ >= cold_requests_) return service;
  return std::chrono::duration_cast<core::Duration>(service * cold_factor_);
}

void Fleet::Finish(const std::string& address, core::Duration now) {
  FleetServer& server = servers_.at(address);
  --server.running;
  if (server.leaving_since) drained_after_ = now - *server.leaving_since;
}

std::uint32_t Fleet::Slots() const noexcept {
  std::uint32_t sum = 0;
  for (const auto& [address, server] : servers_) sum += server.slots;
  return sum;
}

}  // namespace vanilladeck::replay::impl

#include "vanilladeck/admission/server_pool.h"

#include <algorithm>
#include <chrono>
#include <unordered_set>
#include <utility>

#include "vanilladeck/admission/seat_share.h"

namespace vanilladeck::admission {
namespace {

using impl::BackendServer;

// Servers compared per pick. The start of the sample rotates, so that instances with equal views do
// not all choose the same server, and the cost does not grow with the fleet.
constexpr std::size_t kPickSample = 16;
constexpr core::Duration kReportLifetime = std::chrono::seconds(2);
// Longer than the propagation delay of the platform's list.
constexpr core::Duration kTombstoneLifetime = std::chrono::minutes(5);

std::optional<PoolError> Validate(const config::Place& place, std::uint32_t seat_count) {
  if (place.slots == 0) return PoolError{PoolErrorCode::kNoSlots, place.failure_domain};
  if (place.connections == 0) return PoolError{PoolErrorCode::kNoConnections, place.failure_domain};
  if (seat_count == 0) return PoolError{PoolErrorCode::kNoSeats, place.failure_domain};
  return std::nullopt;
}

}  // namespace

core::Result<ServerPool, PoolError> ServerPool::Create(const config::Place& place,
                                                       std::uint32_t seat_count) {
  if (auto error = Validate(place, seat_count)) return *error;
  return ServerPool(place, seat_count);
}

core::Result<void, PoolError> ServerPool::Configure(const config::Place& place,
                                                    std::uint32_t seat_count) {
  if (auto error = Validate(place, seat_count)) return *error;
  place_ = place;
  seat_count_ = seat_count;
  RefreshAll();
  return core::success();
}

void ServerPool::SetSeats(std::vector<std::uint32_t> seats, core::TimePoint valid_until) {
  valid_until_ = valid_until;
  if (seats == seats_) return;
  seats_ = std::move(seats);
  RefreshAll();
}

void ServerPool::SetServers(const std::vector<ListedServer>& servers, core::TimePoint now) {
  if (servers.empty() && has_list_) return;
  std::unordered_set<std::string_view> listed;
  for (const ListedServer& entry : servers) listed.insert(entry.address);
  for (std::size_t i = servers_.size(); i-- > 0;) {
    BackendServer& server = servers_[i];
    if (listed.contains(server.address)) continue;
    server.listed = false;
    if (server.leaving) tombstones_[server.address] = {now, server.unreachable_since_leaving};
    if (server.in_flight == 0) {
      RemoveServer(i);
    } else {
      Refresh(i);
    }
  }
  const bool first_list = !has_list_;
  has_list_ = has_list_ || !servers.empty();
  for (const ListedServer& entry : servers) AddServer(entry, first_list, now);
  std::erase_if(tombstones_,
                [now](const auto& it) { return now - it.second.since > kTombstoneLifetime; });
}

core::Result<std::string, PickError> ServerPool::Pick(core::TimePoint now, std::string_view avoid) {
  if (now >= valid_until_) return PickError{PickErrorCode::kSeatExpired};
  if (available_.empty()) {
    return PickError{usable_slots_ == 0 ? PickErrorCode::kNoServer : PickErrorCode::kNoSlot};
  }
  const std::size_t count = std::min(kPickSample, available_.size());
  const std::size_t start = cursor_++;
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = available_[(start + i) % available_.size()];
    if (servers_[index].address == avoid) continue;
    // Compares the loads in_flight / limit without dividing.
    const auto load = [this](std::size_t at, std::size_t other) {
      return static_cast<std::uint64_t>(servers_[at].in_flight) * limits_[other];
    };
    if (!best || load(index, *best) < load(*best, index)) best = index;
  }
  if (!best) return PickError{PickErrorCode::kNoSlot};
  servers_[*best].OnStarted();
  ++in_flight_;
  Refresh(*best);
  return servers_[*best].address;
}

void ServerPool::OnFinished(std::string_view address, FinishKind kind, core::TimePoint now) {
  BackendServer* server = Find(address);
  if (server == nullptr || server->in_flight == 0) return;
  --in_flight_;
  if (kind == FinishKind::kShed) server->OnShed();
  server->OnFinished(kind == FinishKind::kSuccess);
  if (kind == FinishKind::kConnect) {
    server->OnFailure(now, true);
  } else if (kind == FinishKind::kTimeout || kind == FinishKind::kError) {
    server->OnFailure(now, MayEject());
  }
  const std::size_t index = IndexOf(*server);
  if (!server->listed && server->in_flight == 0) {
    RemoveServer(index);
  } else {
    Refresh(index);
  }
}

void ServerPool::OnLoadReport(std::string_view address, std::uint32_t busy, core::TimePoint now) {
  BackendServer* server = Find(address);
  if (server == nullptr) return;
  reported_at_[server->address] = now;
  server->OnReport(busy);
  Refresh(IndexOf(*server));
}

void ServerPool::OnLeaving(std::string_view address) {
  BackendServer* server = Find(address);
  if (server == nullptr) return;
  server->leaving = true;
  Refresh(IndexOf(*server));
}

void ServerPool::OnHealth(std::string_view address, HealthState state, core::TimePoint now) {
  BackendServer* server = Find(address);
  if (server == nullptr) return;
  switch (state) {
    case HealthState::kHealthy:
      server->OnHealthy(now);
      break;
    case HealthState::kLeaving:
      server->leaving = true;
      break;
    case HealthState::kUnreachable:
      if (server->leaving) server->unreachable_since_leaving = true;
      server->OnFailure(now, true);
      break;
  }
  Refresh(IndexOf(*server));
}

std::vector<std::string> ServerPool::ProbesDue(core::TimePoint now) const {
  std::vector<std::string> due;
  for (const BackendServer& server : servers_) {
    const bool ejection_over = server.ejected_until && now >= *server.ejected_until;
    if (server.listed && (server.needs_probe || server.leaving || ejection_over)) {
      due.push_back(server.address);
    }
  }
  return due;
}

void ServerPool::Tick(core::TimePoint now) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    servers_[i].Grow(now);
    Refresh(i);
  }
}

std::uint32_t ServerPool::InFlight(std::string_view address) const {
  const BackendServer* server = Find(address);
  return server == nullptr ? 0 : server->in_flight;
}

std::uint32_t ServerPool::FreeSlots(core::TimePoint now) const noexcept {
  if (now >= valid_until_) return 0;
  std::uint32_t free = 0;
  for (std::size_t index : available_) free += limits_[index] - servers_[index].in_flight;
  return free;
}

bool ServerPool::Measured(core::TimePoint now) const noexcept {
  std::size_t usable = 0;
  std::size_t measured = 0;
  for (const BackendServer& server : servers_) {
    if (!server.AcceptsRequests()) continue;
    ++usable;
    const auto it = reported_at_.find(server.address);
    if (it != reported_at_.end() && now - it->second <= kReportLifetime) ++measured;
  }
  return usable > 0 && 2 * measured >= usable;
}

std::uint32_t ServerPool::ConnectionShare(std::string_view address) const {
  const BackendServer* server = Find(address);
  return server == nullptr ? 0 : server->connections;
}

bool ServerPool::Leaving(std::string_view address) const {
  const BackendServer* server = Find(address);
  return server != nullptr && (server->leaving || !server->listed);
}

bool ServerPool::Drained(std::string_view address) const {
  const BackendServer* server = Find(address);
  return server == nullptr || (!server->AcceptsRequests() && server->in_flight == 0);
}

std::vector<std::string> ServerPool::Addresses() const {
  std::vector<std::string> addresses;
  for (const BackendServer& server : servers_) addresses.push_back(server.address);
  return addresses;
}

BackendServer* ServerPool::Find(std::string_view address) {
  const auto it = index_.find(std::string(address));
  return it == index_.end() ? nullptr : &servers_[it->second];
}

const BackendServer* ServerPool::Find(std::string_view address) const {
  const auto it = index_.find(std::string(address));
  return it == index_.end() ? nullptr : &servers_[it->second];
}

void ServerPool::AddServer(const ListedServer& listed, bool first_list, core::TimePoint now) {
  BackendServer* server = Find(listed.address);
  if (server == nullptr) {
    index_.emplace(listed.address, servers_.size());
    limits_.push_back(0);
    server = &servers_.emplace_back();
    server->address = listed.address;
    ApplyShares(*server);
    server->StartCold(now);
    if (first_list) server->ramp = std::max(1.0, place_.slots + 0.0);
    if (tombstones_.erase(listed.address) > 0) server->needs_probe = true;
  } else if (!server->listed) {
    // The address was listed again while earlier requests were still in flight.
    server->needs_probe = true;
    server->leaving = false;
    tombstones_.erase(listed.address);
  }
  server->listed = true;
  server->leaving = server->leaving || listed.leaving;
  Refresh(IndexOf(*server));
}

void ServerPool::RemoveServer(std::size_t index) {
  // Removes the server from the totals before its index is reused.
  servers_[index].listed = false;
  Refresh(index);
  reported_at_.erase(servers_[index].address);
  index_.erase(servers_[index].address);
  const std::size_t last = servers_.size() - 1;
  if (index != last) {
    servers_[index] = std::move(servers_[last]);
    limits_[index] = limits_[last];
    index_[servers_[index].address] = index;
    const std::size_t position = servers_[index].available_position;
    if (position != BackendServer::kNotAvailable) available_[position] = index;
  }
  servers_.pop_back();
  limits_.pop_back();
}

void ServerPool::ApplyShares(BackendServer& server) const {
  server.slots = place_.slots;
  server.share = 0;
  server.connections = 0;
  for (std::uint32_t seat : seats_) {
    server.share += SeatShare(place_.slots, server.address, seat, seat_count_);
    server.connections += SeatShare(place_.connections, server.address, seat, seat_count_);
  }
}

void ServerPool::Refresh(std::size_t index) {
  BackendServer& server = servers_[index];
  usable_slots_ -= limits_[index];
  limits_[index] = server.Limit();
  usable_slots_ += limits_[index];
  const bool available = server.in_flight < limits_[index];
  if (available && server.available_position == BackendServer::kNotAvailable) {
    server.available_position = available_.size();
    available_.push_back(index);
  } else if (!available && server.available_position != BackendServer::kNotAvailable) {
    const std::size_t position = server.available_position;
    available_[position] = available_.back();
    servers_[available_[position]].available_position = position;
    available_.pop_back();
    server.available_position = BackendServer::kNotAvailable;
  }
}

void ServerPool::RefreshAll() {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    ApplyShares(servers_[i]);
    Refresh(i);
  }
}

bool ServerPool::MayEject() const noexcept {
  const auto ejected = static_cast<std::size_t>(
      std::ranges::count_if(servers_, [](const auto& it) { return it.ejected_until.has_value(); }));
  // Requests that fail everywhere must not eject all servers.
  return 2 * (ejected + 1) <= servers_.size();
}

}  // namespace vanilladeck::admission

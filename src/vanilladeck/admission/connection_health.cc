#include "vanilladeck/admission/connection_health.h"

#include <utility>

namespace vanilladeck::admission {

core::Result<ConnectionHealth, ConnectionHealthError> ConnectionHealth::Create(
    ConnectionHealthSettings settings) {
  if (settings.probe_timeout <= core::Duration::zero() ||
      settings.idle_limit <= core::Duration::zero()) {
    return ConnectionHealthError{settings};
  }
  return ConnectionHealth(settings);
}

void ConnectionHealth::OnOpened(ConnectionId id, std::string server, core::TimePoint now) {
  ServerConnections& siblings = servers_[server];
  siblings.ids.insert(id);
  connections_[id] =
      Connection{std::move(server), State::kGood, siblings.silent_count, now, std::nullopt};
}

void ConnectionHealth::OnClosed(ConnectionId id) { Remove(id); }

bool ConnectionHealth::Usable(ConnectionId id, core::TimePoint now) const {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return false;
  const Connection& connection = it->second;
  return connection.state == State::kGood && !connection.respond_by &&
         now - connection.last_answer <= settings_.idle_limit;
}

void ConnectionHealth::OnRequestSent(ConnectionId id, core::TimePoint respond_by) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) it->second.respond_by = respond_by;
}

void ConnectionHealth::OnResponse(ConnectionId id, core::TimePoint now) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  connection.state = State::kGood;
  connection.last_answer = now;
  connection.respond_by.reset();
  ServerConnections& server = servers_[connection.server];
  // Only a response on a connection opened after the last silent one shows that the server works
  // and the older connections are broken.
  if (connection.generation == server.silent_count && server.silent_count > 0) {
    CloseSuspects(server, connection.generation);
  }
}

void ConnectionHealth::OnSilent(ConnectionId id) { MarkSilent(id); }

ConnectionActions ConnectionHealth::Check(core::TimePoint now) {
  std::vector<ConnectionId> silent;
  for (const auto& [id, connection] : connections_) {
    if (connection.respond_by && now >= *connection.respond_by) silent.push_back(id);
  }
  for (ConnectionId id : silent) MarkSilent(id);
  ConnectionActions actions;
  for (auto& [id, connection] : connections_) {
    const bool idle = !connection.respond_by;
    const bool stale = now - connection.last_answer > settings_.idle_limit;
    if (idle && (connection.state == State::kSuspect || stale)) {
      connection.state = State::kProbing;
      connection.respond_by = now + settings_.probe_timeout;
      actions.probe.push_back(id);
    }
  }
  actions.close.swap(to_close_);
  return actions;
}

std::size_t ConnectionHealth::Count(const std::string& server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? 0 : it->second.ids.size();
}

void ConnectionHealth::MarkSilent(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  ServerConnections& server = servers_[it->second.server];
  ++server.silent_count;
  for (ConnectionId sibling : server.ids) {
    Connection& connection = connections_[sibling];
    if (connection.state == State::kGood) connection.state = State::kSuspect;
  }
  to_close_.push_back(id);
  Remove(id);
}

void ConnectionHealth::Remove(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const auto server = servers_.find(it->second.server);
  server->second.ids.erase(id);
  if (server->second.ids.empty()) servers_.erase(server);
  connections_.erase(it);
}

void ConnectionHealth::CloseSuspects(ServerConnections& server, std::uint64_t before_generation) {
  std::vector<ConnectionId> suspects;
  for (ConnectionId id : server.ids) {
    const Connection& connection = connections_[id];
    // A request in flight keeps its own deadline: its response may still arrive.
    const bool busy = connection.state == State::kSuspect && connection.respond_by.has_value();
    if (connection.state != State::kGood && connection.generation < before_generation && !busy) {
      suspects.push_back(id);
    }
  }
  for (ConnectionId id : suspects) {
    to_close_.push_back(id);
    Remove(id);
  }
}

}  // namespace vanilladeck::admission

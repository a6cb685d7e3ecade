#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::admission {

using ConnectionId = std::uint64_t;

struct ConnectionHealthSettings {
  /// Time a `/health` probe may take on a suspect connection.
  core::Duration probe_timeout = std::chrono::milliseconds(500);
  /// A connection idle for longer is probed before its next use.
  core::Duration idle_limit = std::chrono::seconds(10);
};

struct ConnectionHealthError {
  ConnectionHealthSettings settings;  ///< A duration in these is not positive.
};

/// Actions that the owner of the connections must take.
struct ConnectionActions {
  std::vector<ConnectionId> close;  ///< To close; the outcome of their requests is unknown.
  std::vector<ConnectionId> probe;  ///< To send `/health` on; report the response.
};

/// Detects connections to backend servers that no longer respond while new connections do.
///
/// A connection without a response by the request's deadline is silent: it is closed, and the other
/// connections to the same server become suspect. A suspect connection carries no new request until
/// a probe on it is answered. When a connection opened after the silent one receives a response,
/// the remaining suspects are closed. A silent connection is thus out of use after the request's
/// deadline at the latest, and idle ones to the same server one `probe_timeout` later.
class ConnectionHealth {
 public:
  [[nodiscard]] static core::Result<ConnectionHealth, ConnectionHealthError> Create(
      ConnectionHealthSettings settings);

  void OnOpened(ConnectionId id, std::string server, core::TimePoint now);
  void OnClosed(ConnectionId id);

  /// True if the connection is idle and may carry a request.
  [[nodiscard]] bool Usable(ConnectionId id, core::TimePoint now) const;

  void OnRequestSent(ConnectionId id, core::TimePoint respond_by);

  /// A complete response to a request or probe arrived.
  void OnResponse(ConnectionId id, core::TimePoint now);

  /// Reports a request that was abandoned before its deadline because no response arrived.
  void OnSilent(ConnectionId id);

  /// Returns the actions that are due; call at least every few tens of milliseconds.
  [[nodiscard]] ConnectionActions Check(core::TimePoint now);

  [[nodiscard]] std::size_t Count(const std::string& server) const;

 private:
  enum class State : std::uint8_t { kGood, kSuspect, kProbing };

  struct Connection {
    std::string server;
    State state = State::kGood;
    std::uint64_t generation = 0;  ///< `silent_count` of the server when the connection was opened.
    core::TimePoint last_answer;
    std::optional<core::TimePoint> respond_by;  ///< Set while a request or probe is in flight.
  };

  struct ServerConnections {
    std::unordered_set<ConnectionId> ids;
    std::uint64_t silent_count = 0;  ///< Silent connections so far.
  };

  explicit ConnectionHealth(ConnectionHealthSettings settings) : settings_(settings) {}

  void MarkSilent(ConnectionId id);
  void Remove(ConnectionId id);
  void CloseSuspects(ServerConnections& server, std::uint64_t before_generation);

  ConnectionHealthSettings settings_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::unordered_map<std::string, ServerConnections> servers_;
  std::vector<ConnectionId> to_close_;
};

}  // namespace vanilladeck::admission

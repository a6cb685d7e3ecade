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
  ConnectionHealthSettings settings;  ///< A limit of these is not positive.
};

/// What the owner of the connections has to do now.
struct ConnectionActions {
  std::vector<ConnectionId> close;  ///< Close, never reuse; their requests have unknown outcome.
  std::vector<ConnectionId> probe;  ///< Send `/health` on this connection, then report the answer.
};

/// Finds connections to backend servers that went silent while new ones work.
///
/// A request without an answer by its deadline makes its connection silent: it is closed and its
/// siblings (connections to the same server) become suspect. A suspect connection carries no new
/// request until a probe on that connection is answered. When a connection opened after the silence
/// answers, the remaining suspects are closed. A silent connection is thus out of use at the latest
/// after the request's own deadline, and its idle siblings one `probe_timeout` later.
class ConnectionHealth {
 public:
  [[nodiscard]] static core::Result<ConnectionHealth, ConnectionHealthError> Create(
      ConnectionHealthSettings settings);

  void OnOpened(ConnectionId id, std::string server, core::TimePoint now);
  void OnClosed(ConnectionId id);

  /// True if a request may be sent on the idle connection now.
  [[nodiscard]] bool Usable(ConnectionId id, core::TimePoint now) const;

  void OnRequestSent(ConnectionId id, core::TimePoint respond_by);

  /// A complete response to a request or probe arrived.
  void OnResponse(ConnectionId id, core::TimePoint now);

  /// Reports a request that was given up before its deadline because nothing came back.
  void OnSilent(ConnectionId id);

  /// Collects what is due; call at least every few tens of milliseconds.
  [[nodiscard]] ConnectionActions Check(core::TimePoint now);

  [[nodiscard]] std::size_t Count(const std::string& server) const;

 private:
  enum class State : std::uint8_t { kGood, kSuspect, kProbing };

  struct Connection {
    std::string server;
    State state = State::kGood;
    std::uint64_t generation = 0;  ///< Silences seen on the server before this one was opened.
    core::TimePoint last_answer;
    std::optional<core::TimePoint> respond_by;  ///< Set while a request or probe is in flight.
  };

  struct ServerConnections {
    std::unordered_set<ConnectionId> ids;
    std::uint64_t silences = 0;
  };

  explicit ConnectionHealth(ConnectionHealthSettings settings) : settings_(settings) {}

  void Silence(ConnectionId id);
  void Remove(ConnectionId id);
  void CloseSuspects(ServerConnections& server, std::uint64_t before_generation);

  ConnectionHealthSettings settings_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::unordered_map<std::string, ServerConnections> servers_;
  std::vector<ConnectionId> to_close_;
};

}  // namespace vanilladeck::admission

#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace vanilladeck::process {

using Clock = std::chrono::steady_clock;

/// A backend server began to work on a request.
struct Run {
  std::size_t server = 0;
  std::size_t lifetime = 0;  ///< Of the server.
  Clock::time_point at;
};

/// How a request ended for its client.
enum class Ending : std::uint8_t {
  kPending,
  kAnswered,
  kClosed,   ///< The connection ended without a complete response.
  kGivenUp,  ///< No response within the client's time.
};

/// A request as its client and the backend servers saw it.
struct Request {
  std::size_t gateway = 0;
  std::size_t gateway_lifetime = 0;
  /// The service whose route it used, or nothing for the route that policies move.
  std::optional<std::size_t> service;
  bool idempotent = true;
  Clock::time_point sent;
  Clock::time_point ended;
  Ending ending = Ending::kPending;
  int status = 0;
  std::vector<Run> runs;
};

/// A version of the policy, which sends the moved route to one service.
struct PolicyVersion {
  int number = 0;
  std::size_t service = 0;
  Clock::time_point sent;
  std::optional<Clock::time_point> acknowledged;
};

/// What the test impairs.
enum class Impaired : std::uint8_t { kStore, kProcess, kStoreAccess };

/// A time in which the store, a gateway or its path to the store was impaired by the test.
struct Impairment {
  Impaired what = Impaired::kStore;
  Clock::time_point begin;
  std::optional<Clock::time_point> end;  ///< Nothing while it lasts.

  [[nodiscard]] bool Overlaps(Clock::time_point from, Clock::time_point to) const {
    return begin <= to && (!end || *end >= from);
  }
};

/// One life of a gateway's process.
struct GatewayLifetime {
  Clock::time_point started;
  std::optional<Clock::time_point> terminated;  ///< SIGTERM.
  std::optional<Clock::time_point> killed;      ///< SIGKILL.
};

/// One life of a backend server.
struct ServerLifetime {
  std::string id;
  Clock::time_point joined;
  /// When the store accepted that the server leaves or has left.
  std::optional<Clock::time_point> leaving_acknowledged;
};

/// All that a run has seen, from which its checks are made.
struct FleetRecords {
  std::deque<Request> requests;  ///< A request's position is its id.
  std::vector<PolicyVersion> versions;
  std::vector<Impairment> store_impairments;
  std::vector<std::vector<Impairment>> gateway_impairments;  ///< By gateway.
  std::vector<std::vector<GatewayLifetime>> gateways;
  std::vector<std::vector<ServerLifetime>> servers;
  std::vector<std::size_t> service_of_server;
  std::chrono::milliseconds largest_delay{0};  ///< Of a timer of the test process itself.
};

}  // namespace vanilladeck::process

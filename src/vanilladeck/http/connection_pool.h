#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "vanilladeck/admission/connection_health.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/http/backend_connection.h"
#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::http {

/// Pool of keep-alive connections to backend servers, with a limit per server.
///
/// Opening a connection costs about 1 ms, so idle connections are reused, the most recently used
/// one first. `admission::ConnectionHealth` detects unresponsive connections.
class ConnectionPool {
 public:
  /// A connection in use; returned to the pool with `Release`.
  struct Lease {
    std::string server;
    admission::ConnectionId id = 0;
    std::shared_ptr<BackendConnection> connection;
  };

  ConnectionPool(boost::asio::any_io_executor executor, const BackendLimits& limits,
                 admission::ConnectionHealth health);

  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Takes an idle connection to `server` ("IP:port") or opens one; at most `limit` may exist.
  [[nodiscard]] boost::asio::awaitable<core::Result<Lease, Problem>> Acquire(
      std::string server, std::uint32_t limit, core::TimePoint deadline);

  /// Performs an exchange on a leased connection and updates the connection's health.
  [[nodiscard]] boost::asio::awaitable<ExchangeResult> Exchange(const Lease& lease,
                                                                const Request& request,
                                                                core::TimePoint deadline,
                                                                const SendCheck& check);

  /// Keeps the connection for reuse if it is reusable, otherwise closes it.
  void Release(Lease lease);

  /// Closes the idle connections to a server that was removed.
  void CloseIdle(const std::string& server);

  /// Probes suspect connections and closes unresponsive ones; call every few tens of milliseconds.
  void Check();

  [[nodiscard]] std::size_t Count(const std::string& server) const { return health_.Count(server); }

 private:
  using IdleList = std::vector<Lease>;

  [[nodiscard]] boost::asio::awaitable<void> Probe(Lease lease);
  [[nodiscard]] std::optional<Lease> TakeUsable(const std::string& server, core::TimePoint now);
  [[nodiscard]] std::optional<Lease> TakeIdle(const std::string& server,
                                              admission::ConnectionId id);
  /// Closes one idle connection that may not be used now, to make room for a new one. Returns false
  /// if there is none.
  [[nodiscard]] bool EvictUnusable(const std::string& server);

  boost::asio::any_io_executor executor_;
  BackendLimits limits_;
  admission::ConnectionHealth health_;
  std::unordered_map<std::string, IdleList> idle_;
  std::unordered_map<admission::ConnectionId, std::string> server_of_idle_;
  std::unordered_map<std::string, std::uint32_t> connecting_;
  admission::ConnectionId next_id_ = 1;
};

}  // namespace vanilladeck::http

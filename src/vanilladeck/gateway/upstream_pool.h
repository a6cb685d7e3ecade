#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanilladeck/config/route.h"
#include "vanilladeck/gateway/upstream_connection.h"
#include "vanilladeck/steering/server.h"

namespace vanilladeck::gateway {

/// Result of acquiring a connection.
enum class AcquireStatus : std::uint8_t {
  kReused,
  kConnected,
  kUnreachable,   ///< The server did not accept a connection in time.
  kNoDescriptor,  ///< This process cannot open more connections; not a fault of the server.
};

/// Pool of connections to backend servers, by `steering::Server`. The most recently used one is
/// reused first.
class UpstreamPool {
 public:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
  /// The connection is null on failure; `detail` is for the log.
  using AcquireDone =
      std::function<void(const ConnectionPtr&, AcquireStatus status, const std::string& detail)>;

  /// `max_open` limits the number of open connections, including idle ones.
  UpstreamPool(boost::asio::io_context& context, DeadlinesPtr deadlines, core::ByteBudgetPtr budget,
               std::size_t max_open)
      : context_(context),
        deadlines_(std::move(deadlines)),
        budget_(std::move(budget)),
        max_open_(max_open),
        open_(std::make_shared<std::size_t>(0)) {}

  /// For a non-idempotent request, reuses only connections that the server is unlikely to close.
  void Acquire(const steering::Server& server, config::RequestKind kind, core::TimePoint deadline,
               AcquireDone done);

  /// Returns a connection to the pool; closes it if it is not reusable.
  void Release(const steering::Server& server, const ConnectionPtr& connection);

  /// Closes the idle connections to this server.
  void CloseIdleConnections(const steering::Server& server);

  /// Closes connections whose idle time is over; to be called about once a second.
  void CloseExpired(core::TimePoint now);

  [[nodiscard]] std::size_t open() const noexcept { return *open_; }
  [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }

 private:
  [[nodiscard]] ConnectionPtr NewConnection();
  /// Closes the connection that has been idle longest; false if none is idle.
  bool CloseLongestIdle();
  ConnectionPtr TakeIdle(std::uint64_t serial, config::RequestKind kind, core::TimePoint now);

  boost::asio::io_context& context_;
  DeadlinesPtr deadlines_;
  core::ByteBudgetPtr budget_;
  std::size_t max_open_;
  std::shared_ptr<std::size_t> open_;  ///< Connections may outlive the pool.
  /// By serial of the server.
  std::unordered_map<std::uint64_t, std::vector<ConnectionPtr>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace vanilladeck::gateway

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanilladeck/config/route.h"
#include "vanilladeck/gateway/upstream_connection.h"
#include "vanilladeck/steering/server.h"

namespace vanilladeck::gateway {

/// How a request for a connection ended.
enum class AcquireStatus : std::uint8_t {
  kReused,
  kConnected,
  kUnreachable,   ///< The server took no connection in time.
  kNoDescriptor,  ///< This process may open no more connections; says nothing about the server.
};

/// Kept connections to backend servers, by incarnation; the most recently used goes first.
class UpstreamPool {
 public:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
  /// The connection is null if none came about; `detail` is for the log.
  using AcquireDone =
      std::function<void(const ConnectionPtr&, AcquireStatus status, const std::string& detail)>;

  /// At most `max_open` connections are open at a time, idle ones included.
  UpstreamPool(boost::asio::io_context& context, DeadlinesPtr deadlines, core::ByteBudgetPtr budget,
               std::size_t max_open)
      : context_(context),
        deadlines_(std::move(deadlines)),
        budget_(std::move(budget)),
        max_open_(max_open),
        open_(std::make_shared<std::size_t>(0)) {}

  /// A request that may run once only gets a connection with little risk of being closed.
  void Acquire(const steering::Server& server, config::RequestKind kind, core::TimePoint deadline,
               AcquireDone done);

  /// Keeps the connection if it is reusable.
  void Release(const steering::Server& server, const ConnectionPtr& connection);

  /// Closes the idle connections of an incarnation.
  void CloseIdleConnections(const steering::Server& server);

  /// Closes connections that were idle for long; call about once a second.
  void CloseExpired(core::TimePoint now);

  [[nodiscard]] std::size_t open() const noexcept { return *open_; }
  [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }

 private:
  [[nodiscard]] static std::string KeyOf(const steering::Server& server);
  [[nodiscard]] ConnectionPtr NewConnection();
  /// Closes the connection that has been idle longest; false if none is idle.
  bool CloseLongestIdle();
  ConnectionPtr TakeIdle(const std::string& key, config::RequestKind kind, core::TimePoint now);

  boost::asio::io_context& context_;
  DeadlinesPtr deadlines_;
  core::ByteBudgetPtr budget_;
  std::size_t max_open_;
  std::shared_ptr<std::size_t> open_;  ///< Connections may outlive the pool.
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace vanilladeck::gateway

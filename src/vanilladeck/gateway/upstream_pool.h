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

/// Kept connections to backend servers, by incarnation; the most recently used goes first.
class UpstreamPool {
 public:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
  /// Null with an error text if no connection came about.
  using AcquireDone =
      std::function<void(const ConnectionPtr&, bool fresh, const std::string& error)>;

  UpstreamPool(boost::asio::io_context& context, DeadlinesPtr deadlines)
      : context_(context), deadlines_(std::move(deadlines)) {}

  /// A request that may run once only gets a connection with little risk of being closed.
  void Acquire(const steering::Server& server, config::RequestKind kind, core::TimePoint deadline,
               AcquireDone done);

  /// Keeps the connection if it is reusable.
  void Release(const steering::Server& server, const ConnectionPtr& connection);

  /// Closes the idle connections of an incarnation.
  void Forget(const steering::Server& server);

  /// Closes connections that were idle for long; call about once a second.
  void Trim(core::TimePoint now);

  [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }

 private:
  [[nodiscard]] static std::string KeyOf(const steering::Server& server);
  ConnectionPtr TakeIdle(const std::string& key, config::RequestKind kind, core::TimePoint now);

  boost::asio::io_context& context_;
  DeadlinesPtr deadlines_;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace vanilladeck::gateway

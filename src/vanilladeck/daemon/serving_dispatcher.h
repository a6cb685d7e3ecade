#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_queue.h"
#include "vanilladeck/http/connection_pool.h"

namespace vanilladeck::daemon {

/// Sends admitted requests to backend servers of the own failure domain.
class Dispatcher {
 public:
  Dispatcher(ServingContext& context, http::ConnectionPool& connections)
      : context_(context), connections_(connections) {}

  /// Runs the request on the slot's server and finishes the slot. Retries on another server when
  /// the request is idempotent or was not run, and the service's retry budget allows it.
  [[nodiscard]] boost::asio::awaitable<RouteResult> Run(ServiceQueue& queue, Slot slot,
                                                        const RoutedRequest& request,
                                                        Cancellation& cancellation);

 private:
  [[nodiscard]] boost::asio::awaitable<RouteResult> Attempt(ServiceQueue& queue,
                                                            const std::string& server,
                                                            const RoutedRequest& request,
                                                            Cancellation& cancellation);
  /// Asks the server to drop a request that was given up; true when it had not started.
  [[nodiscard]] boost::asio::awaitable<bool> CancelAtServer(std::string server, std::uint32_t limit,
                                                            std::string request_id);
  [[nodiscard]] boost::asio::awaitable<RouteResult> AfterFailure(ServiceQueue& queue,
                                                                 const std::string& server,
                                                                 const RoutedRequest& request,
                                                                 std::string request_id,
                                                                 http::ExchangeError error);
  [[nodiscard]] std::optional<http::Problem> CheckBeforeSending(const RoutedRequest& request) const;

  ServingContext& context_;
  http::ConnectionPool& connections_;
};

}  // namespace vanilladeck::daemon

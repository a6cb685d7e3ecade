#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
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

  /// Sends the request to the slot's server and releases the slot at the end. Retries, on another
  /// server if there is one, when the request is idempotent or was not run and the service's retry
  /// budget allows it.
  [[nodiscard]] boost::asio::awaitable<RouteResult> Run(ServiceQueue& queue, Slot slot,
                                                        const RoutedRequest& request,
                                                        Cancellation& cancellation);

 private:
  /// Aborts one attempt of an idempotent request that exceeds `ServiceQueue::AttemptTimeout`, if
  /// the retry budget allows another attempt.
  struct AttemptTimer;

  [[nodiscard]] boost::asio::awaitable<RouteResult> Attempt(ServiceQueue& queue,
                                                            const std::string& server,
                                                            const RoutedRequest& request,
                                                            Cancellation& cancellation,
                                                            AttemptTimer& attempt_timer);
  /// Sends `/cancel` for an abandoned request; true if the server confirms that it did not run.
  [[nodiscard]] boost::asio::awaitable<bool> CancelAtServer(std::string server, std::uint32_t limit,
                                                            std::string request_id);
  [[nodiscard]] boost::asio::awaitable<RouteResult> HandleFailure(ServiceQueue& queue,
                                                                  const std::string& server,
                                                                  const RoutedRequest& request,
                                                                  std::string request_id,
                                                                  http::ExchangeError error);
  [[nodiscard]] std::optional<http::Problem> CheckBeforeSending(const RoutedRequest& request) const;

  ServingContext& context_;
  http::ConnectionPool& connections_;
};

}  // namespace vanilladeck::daemon

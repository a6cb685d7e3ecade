#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_dispatcher.h"
#include "vanilladeck/daemon/serving_forward.h"
#include "vanilladeck/daemon/serving_lookup.h"
#include "vanilladeck/daemon/serving_operations.h"
#include "vanilladeck/daemon/serving_services.h"
#include "vanilladeck/http/caller_listener.h"

namespace vanilladeck::daemon {

/// Components of the serving thread that handle requests.
struct RouterDependencies {
  ServingContext& context;
  ServiceQueues& queues;
  LookupResponder& lookup;
  Dispatcher& dispatcher;
  ForwardSender& forward;
  OperationRunner& operations;
};

/// Routes each caller's request to the component that answers it.
class Router : public http::CallerHandler {
 public:
  explicit Router(const RouterDependencies& dependencies) : dependencies_(dependencies) {}

  [[nodiscard]] std::optional<http::Response> ServeNow(const http::Request& request,
                                                       std::string_view peer_ip) override;
  [[nodiscard]] boost::asio::awaitable<http::Response> Serve(
      http::CallerExchange& exchange) override;
  void OnRefused(const http::Problem& problem) override;

 private:
  [[nodiscard]] http::Response Healthz() const;
  [[nodiscard]] http::Response MetricsPage() const;
  /// Runs the request here or forwards it; a non-idempotent request must hold its claim.
  [[nodiscard]] boost::asio::awaitable<RouteResult> Route(const RoutedRequest& request,
                                                          Cancellation& cancellation);
  [[nodiscard]] boost::asio::awaitable<RouteResult> RunLocally(std::shared_ptr<ServiceQueue> queue,
                                                               const RoutedRequest& request,
                                                               Cancellation& cancellation);

  RouterDependencies dependencies_;
};

}  // namespace vanilladeck::daemon

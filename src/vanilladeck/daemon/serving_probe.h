#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_services.h"
#include "vanilladeck/http/backend_connection.h"

namespace vanilladeck::daemon {

/// Polls `/health` and `/load` of the backend servers of the own failure domain.
///
/// Each server has a dedicated probe connection, so that a probe never waits behind a request.
class ServerProber {
 public:
  ServerProber(ServingContext& context, ServiceQueues& queues)
      : context_(context), queues_(queues) {}

  /// Starts the probes that are due; call about every 100 ms.
  void Tick(core::TimePoint now);

 private:
  enum class Health : std::uint8_t { kUnknown, kReachable, kUnreachable, kLeaving };
  struct Target {
    std::string address;
    std::shared_ptr<http::BackendConnection> connection;
    core::TimePoint next_probe;
    Health health = Health::kUnknown;
    bool probing = false;
    bool listed = true;
  };

  [[nodiscard]] boost::asio::awaitable<void> Probe(std::shared_ptr<ServiceQueue> queue,
                                                   std::shared_ptr<Target> target);
  [[nodiscard]] boost::asio::awaitable<admission::HealthState> ProbeHealth(
      Target& target, core::TimePoint deadline);
  [[nodiscard]] boost::asio::awaitable<std::optional<std::uint32_t>> ProbeLoad(
      Target& target, core::TimePoint deadline);
  /// Records the state and logs changes.
  void UpdateHealth(Target& target, admission::HealthState state);

  ServingContext& context_;
  ServiceQueues& queues_;
  /// Keyed by service and address.
  std::map<std::pair<std::string, std::string>, std::shared_ptr<Target>> targets_;
};

}  // namespace vanilladeck::daemon

#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "vanilladeck/core/byte_budget.h"
#include "vanilladeck/customers/allotments.h"
#include "vanilladeck/gateway/deadlines.h"
#include "vanilladeck/gateway/gateway_metrics.h"
#include "vanilladeck/gateway/request_body.h"
#include "vanilladeck/gateway/stop_schedule.h"
#include "vanilladeck/gateway/upstream_pool.h"
#include "vanilladeck/gateway/wire_names.h"
#include "vanilladeck/steering/fleet_share.h"
#include "vanilladeck/steering/route_table.h"
#include "vanilladeck/steering/server_limits.h"
#include "vanilladeck/steering/server_picker.h"
#include "vanilladeck/steering/server_set.h"
#include "vanilladeck/telemetry/event_stream.h"

namespace vanilladeck::gateway {

/// Limits on the sum over all instances.
struct FleetLimits {
  double retry_ratio = 0.2;    ///< Retries per first attempt of a service.
  double retry_allowance = 0;  ///< Retries per window in addition.
  core::Duration retry_window = std::chrono::seconds(10);
  double cold_overage = 1.5;  ///< Factor applied to a service's cold rate.
  double cold_slack = 0;      ///< Requests per second in addition.
  customers::AllotmentBounds allotment;
};

/// Limits of this process.
struct ProcessLimits {
  std::uint64_t memory_bytes = 256U << 20U;  ///< The platform kills a process that uses more.
  std::uint32_t descriptors = 4096;
  double link_mbps = 0;  ///< Bandwidth of the machine's link in Mbit/s; 0 if unknown.
  double cpu_share = 0;  ///< Processors that the process may use, such as 0.5; 0 if unknown.

  /// Limit on the bytes of HTTP messages held by all readers and writers together. Strings that
  /// grow by doubling may occupy twice their size, and socket buffers and the program itself need
  /// memory too, so messages get a quarter of the limit.
  [[nodiscard]] std::size_t message_bytes() const noexcept { return memory_bytes / 4; }
  /// Limit on the connections to backend servers.
  [[nodiscard]] std::size_t server_connections() const noexcept { return sockets() * 2 / 5; }
  [[nodiscard]] std::size_t client_sessions() const noexcept { return sockets() / 2; }
  [[nodiscard]] std::size_t lookup_sessions() const noexcept { return sockets() / 20; }
  /// Limit for each of the listeners for readiness checks, metrics and other instances.
  [[nodiscard]] std::size_t service_sessions() const noexcept { return sockets() / 64; }

 private:
  /// The rest is for files, the event loop and the connections to the store and to peers.
  [[nodiscard]] std::size_t sockets() const noexcept {
    constexpr std::uint32_t kReservedDescriptors = 216;
    constexpr std::uint32_t kMinSockets = 96;
    return std::max(descriptors, kReservedDescriptors + kMinSockets) - kReservedDescriptors;
  }
};

/// State of the request path, owned by the thread that runs the event loop.
struct Context {
  Context(boost::asio::io_context& io_context, const ProcessLimits& process, WireNames wire_names,
          FleetLimits fleet_limits, steering::ServerSet::RegionOf region_of,
          steering::PickerSettings picker_settings, telemetry::EventStream& event_stream)
      : io(io_context),
        deadlines(std::make_shared<Deadlines>(io_context)),
        messages(std::make_shared<core::ByteBudget>(process.message_bytes())),
        names(std::move(wire_names)),
        limits(fleet_limits),
        servers(std::move(region_of)),
        server_limits(picker_settings.instance),
        process_id(NewProcessId()),
        allotments(picker_settings.instance, process_id, limits.allotment,
                   core::RuntimeClock::now()),
        picker(std::move(picker_settings), servers, fleet, server_limits),
        pool(io_context, deadlines, messages, process.server_connections()),
        events(event_stream),
        random(std::random_device{}()) {}

  steering::RetryWindow& RetryWindowFor(const std::string& service) {
    const auto it = retry_windows.find(service);
    if (it != retry_windows.end()) return it->second;
    return retry_windows.emplace(service, steering::RetryWindow(limits.retry_window)).first->second;
  }

  boost::asio::io_context& io;
  DeadlinesPtr deadlines;
  core::ByteBudgetPtr messages;  ///< Shared by all readers and writers of HTTP messages.
  WireNames names;
  FleetLimits limits;
  steering::FleetShare fleet;
  steering::ServerSet servers;
  steering::ServerLimits server_limits;
  std::uint64_t process_id;  ///< Tells other instances one run of this one from the next.
  customers::Allotments allotments;
  steering::ServerPicker picker;
  UpstreamPool pool;
  std::shared_ptr<const steering::RouteTable> routes;  ///< Null until the first policy arrives.
  core::TimePoint policy_as_of;  ///< `routes` is the newest policy as of this time.
  /// Age of the policy up to which its allowed regions can be relied on.
  core::Duration max_region_policy_age = core::Duration::max();
  std::unordered_map<std::string, steering::RetryWindow> retry_windows;
  StreamCounts arriving_bodies;
  std::optional<StopSchedule> stop;  ///< Set when a planned stop begins.
  telemetry::EventStream& events;
  GatewayMetrics metrics;
  std::mt19937_64 random;

 private:
  static std::uint64_t NewProcessId() {
    std::random_device source;
    return (std::uint64_t{source()} << 21U) + 1;
  }
};

}  // namespace vanilladeck::gateway

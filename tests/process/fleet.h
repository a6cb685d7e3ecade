#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "process/fleet_client.h"
#include "process/fleet_server.h"
#include "process/gateway_process.h"
#include "standins/common/http_client.h"
#include "standins/store/metadata_store.h"

namespace vanilladeck::process {

struct FleetOptions {
  std::size_t gateways = 3;
  std::size_t regions = 1;  ///< One or two, with three failure domains each.
  std::size_t services = 5;
  std::size_t servers_per_service = 3;
  std::size_t clients_per_gateway = 5;
  milliseconds client_pause{25};  ///< Between two requests of a client.
  standins::MetadataStore::Behavior store = {};
  /// After a return of the store the operator writes within `Fleet::kRewriteTime`, or after this.
  std::optional<milliseconds> operator_pause = std::nullopt;
  std::uint32_t seed = 1;
};

/// Real gateway processes over a stand-in of the platform's store, with simulated backend servers
/// and clients, and an operator that writes policies. All but the gateways run on the thread of the
/// test, so their records need no locks and have one clock.
class Fleet {
 public:
  // Bounds of the users' pages for deployments of this size.
  static constexpr milliseconds kConfigBound{2500};
  static constexpr milliseconds kDrainBound{2500};
  static constexpr milliseconds kContactTime{4000};
  static constexpr milliseconds kStopGrace{6000};
  static constexpr milliseconds kDowngradeBound{250};
  // How soon the operator and the servers write again what a return of the store has lost.
  static constexpr milliseconds kRewriteTime{2000};

  explicit Fleet(const FleetOptions& options);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet();

  /// Runs all but the gateways for `time`.
  void RunFor(milliseconds time) { io_.run_for(time); }
  /// Runs until `done` returns true, which it is asked each 10 ms; false after `time`.
  template <class F>
  [[nodiscard]] bool RunUntil(milliseconds time, F done) {
    constexpr milliseconds kInterval{10};
    const auto end = Clock::now() + time;
    while (!done()) {
      if (Clock::now() >= end) return false;
      io_.run_for(kInterval);
    }
    return true;
  }

  /// Calls `action` after `pause`, while the fleet runs.
  void CallLater(milliseconds pause, std::function<void()> action);

  [[nodiscard]] standins::MetadataStore& store() { return *store_; }
  [[nodiscard]] FleetServer& server(std::size_t i) { return *servers_.at(i); }
  [[nodiscard]] std::size_t server_count() const noexcept { return servers_.size(); }
  [[nodiscard]] std::size_t gateway_count() const noexcept { return gateways_.size(); }
  [[nodiscard]] Child& gateway(std::size_t i) { return gateways_.at(i)->process(); }
  [[nodiscard]] FleetRecords& records() noexcept { return records_; }
  [[nodiscard]] asio::io_context& io() noexcept { return io_; }

  /// Writes the next version of the policy, which sends the moved route to the next service. While
  /// the store is away the operator tries again until the store accepts the version.
  void SendPolicy();

  /// The store goes away and returns from a copy, see `MetadataStore::LoseAndReturn`.
  void LoseStore(milliseconds silence, milliseconds age);
  /// Refuses or cuts off a gateway at the store, or serves it again.
  void SetStoreAccess(std::size_t gateway, standins::MetadataStore::Access access);

  void StartGateway(std::size_t i);
  void Terminate(std::size_t i);  ///< SIGTERM.
  void Kill(std::size_t i);       ///< SIGKILL.
  void Pause(std::size_t i);      ///< SIGSTOP.
  void Continue(std::size_t i);   ///< SIGCONT.
  /// True if the process has ended.
  [[nodiscard]] bool HasEnded(std::size_t i) {
    return gateway(i).Wait(milliseconds(0)).has_value();
  }

  /// Status of a gateway's readiness check; 0 without a response within a second.
  [[nodiscard]] int Readiness(std::size_t i);
  /// True if a lookup at gateway `asked` names gateway `named`.
  [[nodiscard]] bool LookupNames(std::size_t asked, std::size_t named);
  /// Names of the gateways that have no record in the store.
  [[nodiscard]] std::vector<std::string> GatewaysWithoutRecord() const;
  /// Requests on the moved route that were sent to a gateway since a time.
  struct Moved {
    std::size_t requests = 0;
    std::size_t other_service = 0;  ///< Ran on another service than that of the newest version.
  };
  [[nodiscard]] Moved MovedSince(Clock::time_point since, std::size_t gateway) const;
  /// Servers that are ready, had joined well before `since`, and got no request from then on.
  [[nodiscard]] std::vector<std::string> UnusedServersSince(Clock::time_point since) const;
  /// Requests that were not answered with 200.
  [[nodiscard]] std::size_t FailedRequests(Clock::time_point since = {}) const;

  /// Copies the logs of the gateways to a folder `name` under $VANILLADECK_LOG_FOLDER, if that is
  /// set.
  void KeepLogs(const std::string& name) const;

 private:
  void WriteGatewaySettings(std::size_t i);
  [[nodiscard]] standins::FetchResult Get(const asio::ip::tcp::endpoint& endpoint,
                                          const std::string& target);
  void OfferPolicy();
  void BeginImpairment(std::size_t gateway, Impaired what);
  void EndImpairment(std::size_t gateway, Impaired what);
  asio::awaitable<void> MeasureDelays();
  [[nodiscard]] std::string PolicyText(const PolicyVersion& version) const;
  [[nodiscard]] std::string RegionOf(std::size_t i) const;
  [[nodiscard]] std::string ZoneOf(std::size_t i) const;
  [[nodiscard]] static std::string NameOf(std::size_t i) { return "edge-" + std::to_string(i + 1); }

  FleetOptions options_;
  asio::io_context io_;
  FleetRecords records_;
  std::mt19937 random_;
  std::unique_ptr<standins::MetadataStore> store_;
  std::vector<std::unique_ptr<FleetServer>> servers_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  std::vector<std::unique_ptr<FleetClient>> clients_;
};

}  // namespace vanilladeck::process

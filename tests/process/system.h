#pragma once

#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process/child.h"
#include "standins/common/http_client.h"

namespace vanilladeck::process {

using Json = nlohmann::json;
using standins::FetchResult;
using Headers = std::vector<std::pair<std::string, std::string>>;

constexpr milliseconds kSettleTimeout{20'000};

/// Values of the deployment file that tests vary.
struct DeploymentOptions {
  int lookup_ttl_s = 2;
  int queue_limit = 200;
};

/// Runs the real programs on loopback, with stand-ins for the platform and the backend servers: two
/// regions of one failure domain each, with two daemons and two backend servers per domain. Daemons
/// 0 and 1 are in west-a, 2 and 3 in east-a.
class System {
 public:
  static constexpr std::size_t kDaemons = 4;
  static constexpr std::size_t kDomains = 2;
  static constexpr int kSlots = 10;  ///< Per backend server.

  /// Starts everything and waits until every daemon serves; `backend` holds initial settings for
  /// the backend stand-in.
  explicit System(const Json& backend = Json::object(), const DeploymentOptions& options = {});
  System(const System&) = delete;
  System& operator=(const System&) = delete;
  ~System();

  void StartDaemon(std::size_t i);
  [[nodiscard]] Child& daemon(std::size_t i) { return *daemons_.at(i).child; }

  /// Starts vanilladeckctl to apply a deployment file based on version `base` at daemon `i`.
  [[nodiscard]] Child StartApply(std::size_t i, int base, const DeploymentOptions& options);

  /// Configuration version in the lookup responses of daemon `i`; 0 without a response.
  [[nodiscard]] int ConfigVersion(std::size_t i) const;
  [[nodiscard]] FetchResult Lookup(std::size_t i, const std::string& client = "test") const;
  [[nodiscard]] std::string OperationKey(std::size_t i, const std::string& client = "test") const;
  [[nodiscard]] FetchResult Send(std::size_t i, boost::beast::http::verb verb,
                                 const std::string& target, const Headers& headers = {},
                                 const std::string& body = "") const;
  /// Whether the daemon holds a seat; a daemon without one only forwards requests.
  [[nodiscard]] bool HoldsSeat(std::size_t i) const;
  [[nodiscard]] bool IsServing(std::size_t i) const;

  /// Sets the fault that the platform stand-in injects, see standins/platform/platform.h.
  void SetPlatformFault(const Json& fault) const;
  void ConfigureBackends(std::size_t domain, const Json& settings) const;
  [[nodiscard]] Json BackendStats(std::size_t domain) const;

  /// Starts the load generator against all daemons; `FinishLoad` waits for it and returns its
  /// summary.
  void StartLoad(int seconds, double rps_per_rank, double post_share);
  [[nodiscard]] Json FinishLoad();
  /// Operations that the load generator has finished so far, with their outcomes.
  [[nodiscard]] std::vector<Json> FinishedOperations() const;

  /// Requests that the backend servers have run.
  [[nodiscard]] std::vector<Json> RanRequests() const;
  [[nodiscard]] std::size_t RunCount(const std::string& key) const;

  /// Fails the test if an operation ran more than once, a confirmed one did not run, or one
  /// reported as not run did run.
  void CheckOperationRuns() const;
  /// Fails the test if a backend server ever had more concurrent requests than slots.
  void CheckSlotLimits() const;

 private:
  struct Daemon {
    std::string settings_file;
    std::string callers_address;
    std::string operators_address;
    std::unique_ptr<Child> child;
  };

  [[nodiscard]] std::string ProgramPath(const std::string& name) const;
  [[nodiscard]] std::string FilePath(const std::string& name) const {
    return (dir_ / name).string();
  }
  void StartPlatform();
  void StartBackends(std::size_t domain, const Json& settings);
  void WriteDaemonSettings(std::size_t i);
  [[nodiscard]] std::string WriteDeploymentFile(const DeploymentOptions& options);
  [[nodiscard]] bool AllDaemonsReady(int version) const;

  std::filesystem::path dir_;
  std::string platform_address_;
  std::string platform_control_address_;
  std::vector<std::string> backend_control_addresses_;
  std::vector<Child> standins_;
  std::vector<Daemon> daemons_;
  std::unique_ptr<Child> load_;
  int file_id_ = 0;
};

}  // namespace vanilladeck::process

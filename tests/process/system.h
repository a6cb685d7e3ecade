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

constexpr milliseconds kSettleLimit{20'000};

/// What a test varies in the system's deployment text.
struct DeploymentOptions {
  int lookup_ttl_s = 2;
  int queue_limit = 200;
};

/// The real programs on loopback: the platform, two regions of one failure domain each with two
/// daemons and two backend servers. Daemons 0 and 1 are in west-a, 2 and 3 in east-a.
class System {
 public:
  static constexpr std::size_t kDaemons = 4;
  static constexpr std::size_t kDomains = 2;
  static constexpr int kSlots = 10;  ///< Of one backend server.

  /// Starts everything and waits until every daemon serves; `backend` holds settings of the
  /// backend stand-in.
  explicit System(const Json& backend = Json::object(), const DeploymentOptions& options = {});
  System(const System&) = delete;
  System& operator=(const System&) = delete;
  ~System();

  void StartDaemon(std::size_t i);
  [[nodiscard]] Child& daemon(std::size_t i) { return *daemons_.at(i).child; }

  /// Starts the operators' tool at daemon `i` with a deployment text edited from version `base`.
  [[nodiscard]] Child StartApply(std::size_t i, int base, const DeploymentOptions& options);

  /// Version that daemon `i` names in its look-up answers; 0 without an answer.
  [[nodiscard]] int Version(std::size_t i) const;
  [[nodiscard]] FetchResult Lookup(std::size_t i, const std::string& client = "test") const;
  [[nodiscard]] std::string OperationKey(std::size_t i, const std::string& client = "test") const;
  [[nodiscard]] FetchResult Send(std::size_t i, boost::beast::http::verb verb,
                                 const std::string& target, const Headers& headers = {},
                                 const std::string& body = "") const;
  /// Whether the daemon uses a seat of its own; one without a seat only forwards.
  [[nodiscard]] bool HoldsSeat(std::size_t i) const;
  [[nodiscard]] bool Serves(std::size_t i) const;

  /// Sets the fault of the platform, see the stand-in.
  void PlatformFault(const Json& fault) const;
  void SetBackend(std::size_t domain, const Json& settings) const;
  [[nodiscard]] Json BackendStats(std::size_t domain) const;

  /// Starts the load generator against all daemons; `FinishLoad` gives its summary.
  void StartLoad(int seconds, double rps_per_rank, double post_share);
  [[nodiscard]] Json FinishLoad();
  /// Operations that the load generator has finished so far.
  [[nodiscard]] std::vector<Json> Operations() const;

  /// Requests that backend servers ran.
  [[nodiscard]] std::vector<Json> Ran() const;
  [[nodiscard]] std::size_t RunsOf(const std::string& key) const;

  /// Fails the test when an operation ran twice or a confirmed one did not run.
  void CheckOperations() const;
  /// Fails the test when a backend server was ever sent more than it has slots for.
  void CheckSlots() const;

 private:
  struct Daemon {
    std::string settings_file;
    std::string callers;
    std::string operators;
    std::unique_ptr<Child> child;
  };

  [[nodiscard]] std::string Program(const std::string& name) const;
  [[nodiscard]] std::string File(const std::string& name) const {
    return (folder_ / name).string();
  }
  void StartPlatform();
  void StartBackends(std::size_t domain, const Json& settings);
  void WriteSettings(std::size_t i);
  [[nodiscard]] std::string WriteDeployment(const DeploymentOptions& options);
  [[nodiscard]] bool Settled(int version) const;

  std::filesystem::path folder_;
  std::string platform_;
  std::string platform_control_;
  std::vector<std::string> backend_controls_;
  std::vector<Child> standins_;
  std::vector<Daemon> daemons_;
  std::unique_ptr<Child> load_;
  int files_ = 0;
};

}  // namespace vanilladeck::process

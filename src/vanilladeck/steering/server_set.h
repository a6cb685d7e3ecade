#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "vanilladeck/steering/server.h"
#include "vanilladeck/steering/utilization.h"

namespace vanilladeck::steering {

/// How an attempt at a server ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,     ///< A whole response of the server, not a server error.
  kServerError,  ///< A whole response with a 5xx status that the server made.
  kShed,         ///< The server states that it did not run the request.
  kFailed,       ///< Reset, silence, or bytes that are no response.
  kUnreachable,  ///< No connection.
  kAbandoned,    ///< The caller left or the time was over; says nothing of the server.
};

inline constexpr std::array<std::string_view, 6> kAttemptEndNames{
    "answered", "server-error", "shed", "failed", "unreachable", "abandoned"};

/// Backend servers from the platform's list, joined with what own requests have shown.
///
/// A report with a new `born_ms` starts a new incarnation with empty statistics. Draining is sticky
/// within an incarnation, and older reports are ignored.
class ServerSet {
 public:
  using RegionOf = std::function<std::string(const std::string& failure_domain)>;

  explicit ServerSet(RegionOf region_of) : region_of_(std::move(region_of)) {}

  enum class Change : std::uint8_t { kNone, kAdded, kReplaced, kDraining, kBack };

  /// Takes over one report; tells what changed for routing.
  Change OnReport(const ServerReport& report, core::TimePoint now);

  /// The entry is no longer in the list; true if the server was in use.
  bool OnRemoved(const std::string& id);

  /// Another server answers at the address: unusable until a newer report of this id.
  void OnMisdirected(Server& server) noexcept;

  void OnSent(Server& server, core::TimePoint now);
  /// `expected` is the usual latency of the route; zero when unknown.
  void OnEnd(Server& server, AttemptEnd end, const std::optional<ServerLoad>& load,
             core::Duration latency, core::Duration expected, core::TimePoint now);

  /// Failure domains whose servers must get nothing.
  void SetEvacuated(std::set<std::string> failure_domains, core::Duration cold_duration,
                    core::TimePoint now);

  /// Mean over the servers of a service in a region; none without recent answers.
  [[nodiscard]] std::optional<double> MeanUtilization(const std::string& service,
                                                      const std::string& region,
                                                      core::TimePoint now) const;

  [[nodiscard]] const std::vector<ServerPtr>& OfService(const std::string& service) const;
  [[nodiscard]] ServerPtr Find(const std::string& id) const;

  /// In the list, not draining and not evacuated.
  [[nodiscard]] bool Assignable(const Server& server) const noexcept;
  /// Assignable and not ejected after failures.
  [[nodiscard]] bool Usable(const Server& server, core::TimePoint now) const noexcept;

  [[nodiscard]] std::size_t size() const noexcept { return by_id_.size(); }
  [[nodiscard]] std::vector<std::string> Ids() const;

 private:
  void Index(const ServerPtr& server);
  void Unindex(const Server& server);

  RegionOf region_of_;
  std::map<std::string, ServerPtr> by_id_;
  std::unordered_map<std::string, std::vector<ServerPtr>> by_service_;
  std::set<std::string> evacuated_;
  std::map<std::pair<std::string, std::string>, Utilization> utilization_;  ///< Service, region.
};

}  // namespace vanilladeck::steering

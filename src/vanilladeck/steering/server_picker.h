#pragma once

#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "vanilladeck/config/route.h"
#include "vanilladeck/steering/fleet_share.h"
#include "vanilladeck/steering/region_split.h"
#include "vanilladeck/steering/route_latency.h"
#include "vanilladeck/steering/server_limits.h"
#include "vanilladeck/steering/server_set.h"

namespace vanilladeck::steering {

/// A request that needs a backend server.
struct PickQuery {
  const config::Route* route = nullptr;
  const config::ServiceLimits* service = nullptr;
  std::string_view object;   ///< Affinity key; empty if the request has none.
  std::uint64_t spread = 0;  ///< Random; used in place of the hash of an absent object.
  core::Duration remaining{0};
  const std::vector<std::string>* tried = nullptr;  ///< Ids of servers that were already tried.
  const config::Customer* customer = nullptr;       ///< Null if the request has none.
};

enum class NoServerReason : std::uint8_t {
  kNoneUsable,  ///< No server is ready and reachable.
  kFull,        ///< Every server has reached the queue limit of this rank.
  kTooLate,     ///< No response is expected before the deadline.
  kCold,        ///< Only cold servers, and their rate limit is reached.
  kLimited,     ///< Every server has stated a limit that is reached.
};

inline constexpr std::array<std::string_view, 5> kNoServerReasonNames{
    "none-usable", "full", "too-late", "cold", "limited"};

struct Pick {
  ServerPtr server;
  core::Duration expected{0};  ///< Estimated time to the response.
  std::uint32_t position = 0;  ///< In the order of the object; 0 is the most preferred.
  std::uint64_t object = 0;    ///< Hash of the affinity key; 0 if the request has none.
};

struct PickerSettings {
  std::string instance;
  std::string region;
  core::Duration region_round_trip{0};  ///< Added to the estimate for a server of another region.
  double cold_overage = 1;              ///< Factor on the `cold_rate` of a service.
  double cold_slack = 0;                ///< Requests per second added to the product.
  /// Paces requests to servers that have just started or recovered (`FreshPace`), for services with
  /// a cold time and a cold rate. Off: only the cold rate limits them.
  bool fresh_pace = true;
};

/// Chooses backend servers by bounded-load rendezvous hashing within a region of the region split.
///
/// Servers answer faster for objects that they handled recently, so each object has a fixed order
/// of servers. A later server of the order is used when the estimated wait at the earlier ones
/// exceeds the cost of a cache miss.
class ServerPicker {
 public:
  ServerPicker(PickerSettings settings, ServerSet& servers, const FleetShare& fleet,
               ServerLimits& limits);

  [[nodiscard]] std::variant<Pick, NoServerReason> Choose(const PickQuery& query,
                                                          core::TimePoint now);

  /// Records the latency of a request of the route at a service that was answered in time.
  /// `comparable` is false if it was queued at its server or the server was slower than usual.
  void OnLatency(const config::Route& route, const std::string& service, core::Duration latency,
                 bool comparable, core::TimePoint now);
  /// Mean latency of the route at a service, or a part of its objective before it is measured.
  [[nodiscard]] core::Duration Expected(const config::Route& route,
                                        const std::string& service) const;
  /// Mean latency of the route at a service; zero before it is measured.
  [[nodiscard]] core::Duration Measured(const config::Route& route,
                                        const std::string& service) const;
  /// Records the latency of a request to a fresh server of a service that was cold or lacked the
  /// object, also of one that was given up.
  void OnFreshLatency(const config::Route& route, const std::string& service,
                      core::Duration latency, FreshPace::Sent sent, bool answered);

  /// Updates the region shares; call a few times a second.
  void UpdateSplits(core::TimePoint now);
  [[nodiscard]] double RegionShare(const std::string& service, const std::string& region) const;
  [[nodiscard]] const std::unordered_map<std::string, RegionSplit>& splits() const noexcept {
    return splits_;
  }

 private:
  struct Candidate {
    ServerPtr server;
    std::uint64_t weight = 0;
  };

  /// Distinct recent objects of a service, in the current and the previous period.
  struct ObjectCount {
    std::unordered_set<std::uint64_t> current;
    std::unordered_set<std::uint64_t> previous;
    core::TimePoint rotated;
  };

  void CountObject(const std::string& service, std::uint64_t object, core::TimePoint now);
  /// Number of preferred servers per object, out of `servers`: the first of its order.
  [[nodiscard]] std::size_t PreferredServerCount(const std::string& service,
                                                 std::size_t servers) const;

  /// Candidates for a request, the most preferred first.
  struct Order {
    std::vector<Candidate> candidates;
    bool limited = false;  ///< A usable server was left out because of its limit.
  };
  [[nodiscard]] Order OrderByAffinity(const PickQuery& query, const std::string& region,
                                      bool in_region, core::TimePoint now);
  /// A candidate that may be chosen.
  struct Choice {
    const Candidate* candidate = nullptr;
    double cost = std::numeric_limits<double>::max();
    double expected = 0;  ///< Estimated time to the response, in the clock's unit.
    std::size_t position = 0;
  };
  [[nodiscard]] std::variant<Pick, NoServerReason> ChooseLowestCost(const PickQuery& query,
                                                                    const Order& affinity_order,
                                                                    core::TimePoint now);
  [[nodiscard]] bool ColdRateAllows(const PickQuery& query, Server& server,
                                    core::TimePoint now) const;
  [[nodiscard]] std::uint32_t ColdShare(const config::ServiceLimits& service, const Server& server,
                                        core::TimePoint now) const;
  /// The server's pace; null if it is not fresh or its service has none. Starts and ends paces.
  [[nodiscard]] FreshPace* PaceOf(const PickQuery& query, Server& server, core::TimePoint now);
  /// Latency of an object's first request at a server, relative to the route's mean.
  [[nodiscard]] double MissRatio(const config::Route& route) const;
  [[nodiscard]] RegionSplit& SplitOf(const std::string& service);

  PickerSettings settings_;
  ServerSet& servers_;
  const FleetShare& fleet_;
  ServerLimits& limits_;
  std::unordered_map<std::string, RegionSplit> splits_;
  std::unordered_map<std::string, ObjectCount> objects_;
  /// By names of route and service: another service may be many times faster.
  std::unordered_map<std::string, std::map<std::string, RouteLatency>> latency_;
  std::unordered_map<std::string, double> miss_ratio_;  ///< By route name, smoothed.
  core::TimePoint overflow_window_start_;
  std::uint32_t overflow_picks_ = 0;  ///< Picks in the window outside the split's region.
  std::uint32_t picks_ = 0;           ///< All requests in the window.
};

}  // namespace vanilladeck::steering

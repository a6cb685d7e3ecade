#pragma once

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
#include "vanilladeck/steering/server_set.h"

namespace vanilladeck::steering {

/// A request that needs a backend server.
struct PickQuery {
  const config::Route* route = nullptr;
  const config::ServiceLimits* service = nullptr;
  std::string_view object;   ///< Affinity key; empty when requests have none.
  std::uint64_t spread = 0;  ///< Random; places requests without an object.
  core::Duration remaining{0};
  const std::vector<std::string>* tried = nullptr;  ///< Ids of servers that already had it.
};

enum class NoServerReason : std::uint8_t {
  kNoneUsable,  ///< No server is ready and reachable.
  kFull,        ///< Every server has as much work as this rank may queue.
  kTooLate,     ///< The answer could not come before the deadline.
  kCold,        ///< Only cold servers, and their rate is used up.
};

inline constexpr std::array<std::string_view, 4> kNoServerReasonNames{"none-usable", "full",
                                                                      "too-late", "cold"};

struct Pick {
  ServerPtr server;
  core::Duration expected{0};  ///< Estimated time to the answer.
  std::uint32_t position = 0;  ///< In the object's order of servers; 0 is its home.
};

struct PickerSettings {
  std::string region;
  core::Duration region_round_trip{0};  ///< Added to the estimate for a server of another region.
  double cold_overage = 1;              ///< Factor on a service's cold rate.
  double cold_slack = 0;                ///< Requests a second on top of it.
};

/// Chooses backend servers: bounded-load rendezvous hashing inside a slowly moving region split.
///
/// Servers answer faster for objects that they handled lately, so each object has a fixed order of
/// servers. A later server of the order is used when the estimated wait at the earlier ones exceeds
/// what a server without the object loses.
class ServerPicker {
 public:
  ServerPicker(PickerSettings settings, ServerSet& servers, const FleetShare& fleet);

  [[nodiscard]] std::variant<Pick, NoServerReason> Choose(const PickQuery& query,
                                                          core::TimePoint now);

  /// Learns the latency of a route at a server that did not queue it.
  void OnLatency(const config::Route& route, core::Duration latency);
  [[nodiscard]] core::Duration Expected(const config::Route& route) const;

  /// Moves the region shares; call a few times a second.
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

  /// Distinct objects of a service in the last seconds, in two generations.
  struct ObjectCount {
    std::unordered_set<std::uint64_t> current;
    std::unordered_set<std::uint64_t> previous;
    core::TimePoint rotated;
  };

  void CountObject(const std::string& service, std::uint64_t object, core::TimePoint now);
  /// Servers in an object's order that are kept for it, out of `servers`.
  [[nodiscard]] std::size_t Homes(const std::string& service, std::size_t servers) const;

  [[nodiscard]] std::vector<Candidate> Order(const PickQuery& query, const std::string& region,
                                             bool in_region, core::TimePoint now);
  [[nodiscard]] std::variant<Pick, NoServerReason> Best(const PickQuery& query,
                                                        const std::vector<Candidate>& order,
                                                        core::TimePoint now);
  [[nodiscard]] bool ColdAllows(const PickQuery& query, Server& server, core::TimePoint now) const;
  [[nodiscard]] RegionSplit& SplitOf(const std::string& service);

  PickerSettings settings_;
  ServerSet& servers_;
  const FleetShare& fleet_;
  std::unordered_map<std::string, RegionSplit> splits_;
  std::unordered_map<std::string, ObjectCount> objects_;
  std::unordered_map<std::string, core::Duration> latency_;  ///< By route name, smoothed.
  core::TimePoint overflow_window_;
  std::uint32_t overflow_ = 0;  ///< Requests sent outside the split's region in the window.
  std::uint32_t picks_ = 0;     ///< All requests in the window.
};

}  // namespace vanilladeck::steering

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/peer/credit.h"
#include "vanilladeck/steering/impl/pair_account.h"

namespace vanilladeck::steering {

/// Life of a credit. Longer lets a dead sender block capacity, shorter costs round trips.
inline constexpr core::Duration kCreditLifetime = std::chrono::seconds(2);

/// The receiver's own idle slots of a service.
struct IdleSlots {
  std::uint32_t count = 0;
  /// False if the load of the servers was not measured lately: existing traffic goes on, but
  /// nothing grows.
  bool measured = false;
};

/// Place of the held seats among all seats of the receiving region; see `RegionSeats`.
struct RegionSeats {
  std::vector<std::uint32_t> held;
  std::uint32_t total = 0;
};

/// Numbers the seats of a region: the domains in the deployment's order, seats within each.
[[nodiscard]] RegionSeats NumberSeats(const config::Deployment& deployment,
                                      std::string_view failure_domain,
                                      const std::vector<std::uint32_t>& held);

enum class CreditRefusal : std::uint8_t {
  kNoCredit,       ///< No unexpired credit of this sender; the request was not run.
  kUnknownRegion,  ///< The deployment has no link from the sender's region.
  kSeatExpired     ///< The receiver's seats are not valid now.
};

inline constexpr std::array<std::string_view, 3> kCreditRefusalNames{"no-credit", "unknown-region",
                                                                     "seat-expired"};

struct CreditError {
  CreditRefusal code = CreditRefusal::kNoCredit;
  std::string from_region;
};

struct CreditLedgerError {
  std::string region;  ///< Unknown in the deployment, or without seats.
};

/// Receiver's side of forwarded traffic: grants expiring credits and counts their use.
///
/// `shift_cap_rps` and `shift_cap_inflight` of each link into the own region are split over the
/// region's seats; this ledger enforces the shares of the seats that this instance holds. Credits
/// that were granted count against both caps until they are used or expire, so that a dead or
/// paused sender never frees capacity early. Time that runs backwards is ignored.
class CreditLedger {
 public:
  [[nodiscard]] static core::Result<CreditLedger, CreditLedgerError> Create(
      const config::Deployment& deployment, std::string region, core::InstanceId self);

  /// Applies changed caps; outstanding credits and requests in flight keep counting.
  [[nodiscard]] core::Result<void, CreditLedgerError> Configure(
      const config::Deployment& deployment);

  /// Sets the seats held until `valid_until`; nothing is granted or admitted after that.
  void SetSeats(const RegionSeats& seats, core::TimePoint valid_until);

  /// Grants up to `wanted` credits. An answer with count 0 is not an error: ask again later.
  /// Requests between domains of one region have no shift cap and are limited by idle slots only.
  /// Credits belong to this incarnation: a restarted receiver knows none of them.
  [[nodiscard]] core::Result<peer::CreditGrant, CreditError> Grant(
      const peer::CreditRequest& request, IdleSlots idle, core::TimePoint now);

  /// Uses one credit of `sender`; call when a forwarded request arrives, before admission.
  [[nodiscard]] core::Result<void, CreditError> Admit(const core::InstanceId& sender,
                                                      const std::string& from_region,
                                                      const std::string& service,
                                                      core::TimePoint now);

  /// Ends a request that `Admit` let in, whatever its outcome.
  void Finish(const std::string& from_region, core::TimePoint now);

  /// A server shed shifted work: halves the growth reached by the region's traffic.
  void OnShed(const std::string& from_region, core::TimePoint now);

  /// Unused, unexpired credits for a service, all regions; they claim idle slots.
  [[nodiscard]] std::uint32_t Outstanding(std::string_view service, core::TimePoint now);
  [[nodiscard]] std::uint32_t InFlight(const std::string& from_region) const;

 private:
  CreditLedger(std::string region, core::InstanceId self)
      : region_(std::move(region)), self_(std::move(self)) {}

  struct Caps {
    std::uint32_t rate = 0;
    std::uint32_t inflight = 0;
  };

  [[nodiscard]] core::TimePoint Observe(core::TimePoint now);
  void ApplyCaps();

  std::string region_;
  core::InstanceId self_;
  std::map<std::string, Caps> caps_;  ///< Per sending region, for the whole receiving region.
  std::map<std::string, impl::PairAccount> accounts_;
  RegionSeats seats_;
  core::TimePoint valid_until_;
  core::TimePoint latest_;
};

}  // namespace vanilladeck::steering

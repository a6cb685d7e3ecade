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
#include "vanilladeck/steering/impl/sending_region_account.h"

namespace vanilladeck::steering {

/// Lifetime of a credit. A longer one lets a failed sender block capacity, a shorter one costs
/// round trips.
inline constexpr core::Duration kCreditLifetime = std::chrono::seconds(2);

/// Idle slots of a service at the receiver, within the receiver's own share.
struct IdleSlots {
  std::uint32_t count = 0;
  /// False without recent load reports of the servers: traffic continues at its present rate but
  /// does not grow.
  bool measured = false;
};

/// Seats held by this instance, numbered within the receiving region.
struct RegionSeats {
  std::vector<std::uint32_t> held;
  std::uint32_t total = 0;  ///< Seats of the whole region.
};

/// Numbers the held seats of a failure domain within its region: failure domains in deployment
/// order, then the seats of each.
[[nodiscard]] RegionSeats NumberSeats(const config::Deployment& deployment,
                                      std::string_view failure_domain,
                                      const std::vector<std::uint32_t>& held);

enum class CreditRefusal : std::uint8_t {
  kNoCredit,       ///< The sender has no unexpired credit; the request was not run.
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

/// Receiver side of credit-based flow control for forwarded requests.
///
/// `shift_cap_rps` and `shift_cap_inflight` of each link into the own region are split over the
/// region's seats; this ledger enforces the shares of the seats that this instance holds. Granted
/// credits count against both caps until they are used or expire, so that a failed or paused sender
/// never frees capacity early. Steps of the clock backwards are ignored.
class CreditLedger {
 public:
  [[nodiscard]] static core::Result<CreditLedger, CreditLedgerError> Create(
      const config::Deployment& deployment, std::string region, core::InstanceId self);

  /// Applies changed caps; outstanding credits and requests in flight keep counting.
  [[nodiscard]] core::Result<void, CreditLedgerError> Configure(
      const config::Deployment& deployment);

  /// Sets the seats held until `valid_until`; nothing is granted or admitted after that.
  void SetSeats(const RegionSeats& seats, core::TimePoint valid_until);

  /// Grants up to `wanted` credits. A grant of 0 is not an error; the sender asks again later.
  /// Requests between failure domains of one region have no shift cap and are limited by idle slots
  /// only. Credits are valid for this incarnation: a restarted receiver accepts none of them.
  [[nodiscard]] core::Result<peer::CreditGrant, CreditError> Grant(
      const peer::CreditRequest& request, IdleSlots idle, core::TimePoint now);

  /// Consumes one credit of `sender`; call when a forwarded request arrives, before admission.
  [[nodiscard]] core::Result<void, CreditError> Admit(const core::InstanceId& sender,
                                                      const std::string& from_region,
                                                      const std::string& service,
                                                      core::TimePoint now);

  /// Ends a request that `Admit` accepted, whatever its outcome.
  void Finish(const std::string& from_region, core::TimePoint now);

  /// A server shed a forwarded request: halves the ramp of the region's traffic.
  void OnShed(const std::string& from_region, core::TimePoint now);

  /// Unused, unexpired credits for a service over all regions; each reserves an idle slot.
  [[nodiscard]] std::uint32_t Outstanding(std::string_view service, core::TimePoint now);
  [[nodiscard]] std::uint32_t InFlight(const std::string& from_region) const;

 private:
  CreditLedger(std::string region, core::InstanceId self)
      : region_(std::move(region)), self_(std::move(self)) {}

  struct Caps {
    std::uint32_t rate = 0;
    std::uint32_t inflight = 0;
  };

  [[nodiscard]] core::TimePoint LatestTime(core::TimePoint now);
  void ApplyCaps();

  std::string region_;
  core::InstanceId self_;
  std::map<std::string, Caps> caps_;  ///< By sending region; caps of the whole receiving region.
  std::map<std::string, impl::SendingRegionAccount> accounts_;
  RegionSeats seats_;
  core::TimePoint valid_until_;
  core::TimePoint latest_;
};

}  // namespace vanilladeck::steering

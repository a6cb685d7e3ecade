#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/customers/allotment_granter.h"
#include "vanilladeck/customers/fleet_weights.h"
#include "vanilladeck/customers/granter_choice.h"
#include "vanilladeck/gateway/context.h"
#include "vanilladeck/gateway/peer_channel.h"
#include "vanilladeck/membership/registration.h"

namespace vanilladeck::gateway {

/// Exchanges the tokens of customers with other instances, as a lender and as a granter. Without a
/// customer that has a limit, nothing is sent.
class AllotmentExchange {
 public:
  /// What the instance knows of its own listing.
  struct OwnListing {
    bool settled = false;     ///< It has been listed, and the others with it.
    core::TimePoint renewed;  ///< Sending time of the last renewal of its lease that succeeded.
  };

  AllotmentExchange(Context& context, std::string instance, std::string region, double link_mbps);

  void SetCustomers(const std::vector<config::Customer>& customers);
  /// Call several times a second, with the instances that are listed.
  void Tick(const std::map<std::string, membership::InstanceRecord>& instances,
            const OwnListing& own);
  /// Body of the answer to another instance's request; none if it is malformed.
  [[nodiscard]] std::optional<std::string> Serve(std::string_view body);
  /// Number of instances that lend their share to this one.
  [[nodiscard]] std::size_t lenders() const { return granter_.lenders(core::RuntimeClock::now()); }

 private:
  void UpdateFleet(const std::map<std::string, membership::InstanceRecord>& instances,
                   const OwnListing& own, core::TimePoint now);
  void Ask(core::TimePoint now);
  [[nodiscard]] customers::AllotmentAnswer Grant(const customers::AllotmentRequest& request);
  void OnAnswer(const std::string& granter, const customers::AllotmentAnswer& answer);
  void OnOutcome(const std::string& granter, const ExchangeOutcome& outcome);
  void LogGranter(core::TimePoint now);

  Context& context_;
  std::string instance_;
  std::string region_;
  double link_mbps_;
  customers::AllotmentGranter granter_;
  customers::FleetWeights weights_;
  customers::GranterChoice choice_;
  PeerChannel channel_;
  std::string logged_granter_;
};

}  // namespace vanilladeck::gateway

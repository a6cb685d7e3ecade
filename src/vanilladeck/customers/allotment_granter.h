#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanilladeck/config/customer.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/customers/allotment_limits.h"
#include "vanilladeck/customers/allotment_messages.h"

namespace vanilladeck::customers {

/// Grants tokens for the shares of limits that instances lend to this one.
///
/// The sum over all instances holds without agreement on one granter: each instance lends its share
/// to one granter at a time, and a granter creates tokens only for the shares lent to it. The
/// tokens that it keeps and those that its lenders have not used never exceed the lent part of the
/// customer's limit. State machine without I/O.
class AllotmentGranter {
 public:
  /// `process` is not 0 and differs between runs of this instance.
  AllotmentGranter(std::uint64_t process, AllotmentBounds bounds)
      : process_(process), bounds_(bounds) {}

  void SetCustomers(const std::vector<config::Customer>& customers, core::TimePoint now);

  /// What this instance's view of the fleet says.
  struct FleetView {
    double listed_weight = 0;    ///< Weight of all instances that are listed.
    bool sender_listed = false;  ///< The sender of the request is among them.
  };

  [[nodiscard]] AllotmentAnswer OnRequest(const AllotmentRequest& request, const FleetView& view,
                                          core::TimePoint now);

  /// Number of instances that lend their share.
  [[nodiscard]] std::size_t lenders(core::TimePoint now) const;
  /// Tokens of `customer` that can be granted; 0 if unknown.
  [[nodiscard]] double pool(const std::string& customer) const;

 private:
  struct Lender {
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    double share = 0;
    bool registered = false;
    bool listed = false;  ///< Found by this instance.
    double listed_weight = 0;
    core::TimePoint until;  ///< End of the time for which the share is lent.
    std::unordered_map<std::string, double> tokens;  ///< Upper bounds of its unused tokens.
  };
  struct Account {
    double rate = 0;
    double limit = 0;
    double pool = 0;
    double outstanding = 0;  ///< Sum of the lenders' unused tokens.
  };

  /// Creates the tokens for the time since the last call.
  void Advance(core::TimePoint now);
  /// Forgets lenders whose tokens no longer count.
  void RemoveFormerLenders(core::TimePoint now);
  /// True if instances with more than half of all shares lend theirs and find no fewer instances
  /// listed than this one.
  [[nodiscard]] bool HasMajority(core::TimePoint now) const;
  /// Sets the unused tokens of a lender.
  void SetTokens(Lender& lender, const std::string& customer, double tokens);
  /// Notes the unused tokens that a lender states.
  void Report(Lender& lender, const AllotmentRequest& request);
  [[nodiscard]] double Grant(Lender& lender, const AllotmentRequest::Entry& entry);

  std::uint64_t process_;
  AllotmentBounds bounds_;
  std::map<std::string, Lender> lenders_;
  std::unordered_map<std::string, Account> accounts_;
  core::TimePoint advanced_at_;
  double listed_weight_ = 0;
};

}  // namespace vanilladeck::customers

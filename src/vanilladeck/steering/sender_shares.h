#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// An instance that may send requests, by what its record in the store states.
struct Sender {
  std::string region;
  double link_mbps = 0;  ///< Never changes while the instance runs; 0 if unknown.

  [[nodiscard]] bool operator==(const Sender& other) const = default;
};

/// Shares of a limit on the requests to one server, summed over all instances.
///
/// Instances with wide links and those in the server's region get most, because most callers enter
/// there. The shares are the largest quotients of the instances' weights (D'Hondt's method): their
/// sum is the limit, and another instance never increases a share. An instance has a share only
/// while its view is recent and has listed its own record for twice as long as a recent view may be
/// old. So each instance with a share sees all others that have one, and the sum holds for any
/// views.
class SenderShares {
 public:
  /// `listed` are all instances in the store as of `view_as_of`; `own` names this one.
  void Update(const std::map<std::string, Sender>& listed, const std::string& own,
              core::TimePoint view_as_of, core::TimePoint now);

  /// False until the first update: nothing is known of other instances.
  [[nodiscard]] bool known() const noexcept { return known_; }

  /// This instance's share of `limit` for the server `id` in `region`; 0 without a valid view.
  [[nodiscard]] std::uint32_t Share(double limit, const std::string& id, const std::string& region,
                                    core::TimePoint now) const;

 private:
  struct Member {
    Sender sender;
    bool listed = false;
    core::TimePoint last_listed;
  };
  struct Cached {
    std::uint32_t limit = 0;
    std::uint32_t share = 0;
  };

  [[nodiscard]] std::uint32_t Compute(std::uint32_t limit, const std::string& id,
                                      const std::string& region) const;

  bool known_ = false;
  std::string own_;
  std::map<std::string, Member> members_;  ///< Listed, or listed a short time ago.
  core::TimePoint valid_from_ = core::TimePoint::max();
  core::TimePoint valid_until_;
  mutable std::unordered_map<std::string, Cached> cache_;  ///< By server, for the current members.
};

}  // namespace vanilladeck::steering

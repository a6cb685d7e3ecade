#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/steering/sender_shares.h"

namespace vanilladeck::steering {

/// This instance's share of limits that apply to the sum over all instances.
///
/// The shares are equal, so that the sum holds without coordination. When a limit is smaller than
/// the number of instances, a hash of the limit's subject selects those that may use it.
class FleetShare {
 public:
  /// `instances` includes this one. `complete_view` is false while a recently started instance may
  /// not know all others; until then its integer shares are 0, since they would be too large.
  void SetFleet(std::uint32_t instances, std::uint32_t own_rank,
                bool complete_view = true) noexcept {
    instances_ = instances == 0 ? 1 : instances;
    own_rank_ = own_rank;
    complete_view_ = complete_view;
  }

  [[nodiscard]] std::uint32_t instances() const noexcept { return instances_; }

  /// Shares of limits on the requests to one server, by the likely use of the instances.
  [[nodiscard]] SenderShares& senders() noexcept { return senders_; }
  [[nodiscard]] const SenderShares& senders() const noexcept { return senders_; }

  /// Integer share of `limit`; the hash of `subject` selects the instances that get the remainder.
  [[nodiscard]] std::uint32_t IntegerShare(double limit, std::string_view subject) const noexcept;

  /// `limit` divided by the number of instances, not rounded.
  [[nodiscard]] double FractionalShare(double limit) const noexcept { return limit / instances_; }

 private:
  std::uint32_t instances_ = 1;
  bool complete_view_ = true;
  std::uint32_t own_rank_ = 0;  ///< Position of this instance among the sorted names.
  SenderShares senders_;
};

/// Limits the retries of one service in a sliding window to a ratio of its first attempts plus an
/// allowance.
class RetryWindow {
 public:
  explicit RetryWindow(core::Duration window) noexcept : window_(window) {}

  void OnFirstAttempt(core::TimePoint now);
  /// Records a retry if `ratio` of the window's first attempts plus `allowance` permits one more.
  [[nodiscard]] bool TryRetry(double ratio, double allowance, core::TimePoint now);
  [[nodiscard]] std::size_t retries() const noexcept { return retries_.size(); }

 private:
  void Trim(core::TimePoint now);

  core::Duration window_;
  std::deque<core::TimePoint> attempts_;
  std::deque<core::TimePoint> retries_;
};

}  // namespace vanilladeck::steering

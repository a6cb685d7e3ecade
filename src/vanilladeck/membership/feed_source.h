#pragma once

#include <map>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::membership {

/// An instance in the same region that can relay changes.
struct FeedPeer {
  std::string name;
  std::string address;   ///< "IP:port" of its peer listener.
  double link_mbps = 0;  ///< Bandwidth of its link in Mbit/s; 0 if unknown.
};

/// Selects where an instance gets changes from: the store or another instance of its region.
///
/// Only the readers of a region read the store; they are the instances with the fastest links,
/// among equal ones the first by the hash of their names, so that all instances agree on them
/// without coordination and the number of store calls grows more slowly than the number of
/// instances. A reader that fails or lags is skipped for a back-off period; an instance without a
/// usable reader reads the store itself. An instance that the store does not answer asks any other
/// one as well.
class FeedSource {
 public:
  explicit FeedSource(std::string own_name) : own_name_(std::move(own_name)) {}

  /// `peers` are the ready instances of the region, including this one.
  void SetPeers(std::vector<FeedPeer> peers);

  /// Returns the peer to poll, or null to read the store.
  [[nodiscard]] const FeedPeer* Choose(core::TimePoint now) const;

  /// Returns the instance to ask while the store does not answer this one, or null if there is
  /// none. `others` are the known instances of all regions; each instance prefers a different one.
  /// Those that have failed come last, the most recent failure at the end; unlike a back-off
  /// period this order does not expire, so that any number of unusable ones is passed over.
  [[nodiscard]] const FeedPeer* ChooseWithoutStore(const std::vector<FeedPeer>& others) const;

  void OnFailure(const std::string& name, core::TimePoint now);

  /// Returns false if a reader whose last store answer is `age` old has missed one of its reads,
  /// which are `interval` apart. Falling back to another reader or to the store must still fit
  /// within the bound on propagation delay.
  [[nodiscard]] static constexpr bool IsCurrent(core::Duration age,
                                                core::Duration interval) noexcept {
    return age <= interval + interval / 4 + kReadTime;
  }

  /// Returns false if the last store answer that this instance knows of, its own or that of the
  /// reader it polls, is so old that other instances should be asked as well. What a reader knows
  /// arrives with its next poll, so that an instance that polls one is allowed that much more.
  [[nodiscard]] bool IsOwnStateCurrent(core::Duration age, core::Duration interval,
                                       core::TimePoint now) const;

  /// Pause between two polls of a reader. A response without changes is small.
  static constexpr core::Duration kPollInterval = std::chrono::milliseconds(400);
  /// Within a region a response takes milliseconds.
  static constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(300);
  /// Time by which a poll that is due may be late.
  static constexpr core::Duration kPollDelay = std::chrono::milliseconds(100);
  /// Duration of a store read across regions.
  static constexpr core::Duration kReadTime = std::chrono::milliseconds(200);
  /// Readers assigned to each instance; the second is a fallback for when the first fails.
  static constexpr std::size_t kReadersPerInstance = 2;
  /// Number of readers in a region of `instances`: half the square root, so that neither the store
  /// calls nor the traffic of one reader grow linearly with the fleet. With two readers for 100
  /// instances the busier one sent 1.7 MB/s, more than a 10 Mbit/s link carries.
  [[nodiscard]] static std::size_t ReaderCount(std::size_t instances) noexcept;
  /// In regions of up to this many instances all read the store, as relaying would save little.
  static constexpr std::size_t kMaxRegionWithoutReaders = 4;

 private:
  std::string own_name_;
  std::vector<FeedPeer> readers_;
  bool is_reader_ = true;
  std::map<std::string, core::TimePoint> failed_at_;  ///< Time of each instance's last failure.
};

}  // namespace vanilladeck::membership

#pragma once

#include <map>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::membership {

/// An instance of the own region that could pass changes on.
struct FeedPeer {
  std::string name;
  std::string address;  ///< "IP:port" of its peer listener.
};

/// Decides whether an instance reads the store itself or asks another one of its region.
///
/// The instances of a region agree on its readers without any message: the first few by a hash of
/// their names. So the store's calls grow more slowly than the instances. A reader
/// that fails or is behind is avoided for a while; without any reader an instance reads the store
/// itself.
class FeedSource {
 public:
  explicit FeedSource(std::string own_name) : own_name_(std::move(own_name)) {}

  /// `peers` are the ready instances of the region, the own one included.
  void SetPeers(std::vector<FeedPeer> peers);

  /// The peer to ask; null to read the store.
  [[nodiscard]] const FeedPeer* Choose(core::TimePoint now) const;

  void OnFailure(const std::string& name, core::TimePoint now);

  /// False if a reader that heard from the store `age` ago missed one of its reads, each `interval`
  /// apart. What follows, another reader or the store, must still fit into the bound on changes.
  [[nodiscard]] static constexpr bool IsCurrent(core::Duration age,
                                                core::Duration interval) noexcept {
    return age <= interval + interval / 4 + kReadTime;
  }

  /// Pause between two questions to a reader. An answer without changes is small.
  static constexpr core::Duration kPollInterval = std::chrono::milliseconds(400);
  /// Within a region an answer takes milliseconds.
  static constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(300);
  /// A read of the store between regions.
  static constexpr core::Duration kReadTime = std::chrono::milliseconds(200);
  /// Readers that an instance turns to: one may fail at any moment.
  static constexpr std::size_t kReadersAsked = 2;
  /// Readers of a region with this many instances: half of the square root, so that neither the
  /// store's calls nor what one reader sends grow like the fleet. With two readers for 100
  /// instances the busier one sent 1.7 MB/s, more than a link of 10 Mbit/s takes.
  [[nodiscard]] static std::size_t Readers(std::size_t instances) noexcept;
  /// In smaller regions everybody reads the store: there is little to save.
  static constexpr std::size_t kSmallRegion = 4;

 private:
  std::string own_name_;
  std::vector<FeedPeer> readers_;
  bool own_reader_ = true;
  std::map<std::string, core::TimePoint> avoided_until_;
};

}  // namespace vanilladeck::membership

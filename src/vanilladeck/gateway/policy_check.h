#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/membership/feed_source.h"

namespace vanilladeck::gateway {

/// Finds out whether other instances have a newer policy in force than the one known here, which
/// the store has lost if it returned from an older copy.
///
/// State machine without I/O. A round begins when the era changes or becomes known: some instances
/// are asked for their version. An instance that has just started holds its first policy back until
/// they have answered, since all that it has, and that others which have just started have, may be
/// the copy's. Versions that other messages
/// state count as well for some time.
class PolicyCheck {
 public:
  /// Begins a round.
  void Begin(core::TimePoint now) noexcept;

  /// Returns the next instance to ask, or none. `candidates` come in order of preference; `synced`
  /// is true once the state, and so all of them, is known.
  [[nodiscard]] std::optional<membership::FeedPeer> NextToAsk(
      const std::vector<membership::FeedPeer>& candidates, bool synced, core::TimePoint now);
  /// An instance that was asked answers; `OnStated` follows.
  void OnAnswer() noexcept;
  void OnNoAnswer() noexcept;

  /// Any message of `peer` states the version in force there; 0 if there is none, as during its own
  /// start.
  void OnStated(const membership::FeedPeer& peer, std::uint64_t version, core::TimePoint now);
  /// The version is in force here or held back.
  void OnKnown(std::uint64_t version) noexcept;

  /// Returns the instance from which a newer policy is to be read now, or none.
  [[nodiscard]] std::optional<membership::FeedPeer> NextToRead(bool synced, core::TimePoint now);
  /// Call after each read; a successful one calls `OnKnown` before.
  void OnRead(core::TimePoint now) noexcept;

  /// True while the first policy must not be put in force.
  [[nodiscard]] bool Holds(core::TimePoint now) const noexcept;
  [[nodiscard]] bool asking() const noexcept { return asking_; }
  /// True while instances are to be asked or read from.
  [[nodiscard]] bool active() const noexcept { return asking_ || in_flight_ > 0 || newer_; }
  [[nodiscard]] std::uint64_t known_version() const noexcept { return known_; }
  /// True while versions that others state count. At other times the store has every policy, and a
  /// second transfer would slow down the first one on a slow link.
  [[nodiscard]] bool CountsStatements(core::TimePoint now) const noexcept;
  /// The newest version that others state, if it is not known here; else 0.
  [[nodiscard]] std::uint64_t newer_version() const noexcept {
    return newer_ ? newer_->version : 0;
  }

  /// Instances that answer in one round, all asked at the same time. In a small fleet these are all
  /// others, so that a version that only one of them has read is found.
  static constexpr std::size_t kMaxAsked = 8;
  /// Instances in one round that do not answer; a copy may list many that have stopped.
  static constexpr std::size_t kMaxFailed = 24;
  /// A start waits for answers at most this long after it knows whom to ask, so that an instance
  /// that reaches no other one becomes ready. An answer between regions takes 0.23 s.
  static constexpr core::Duration kMaxHold = std::chrono::milliseconds(1000);
  /// A start waits at most this long for a policy that another instance has stated: a large one
  /// takes about 3 s on a slow link, and a stated version may be damaged or its holder gone.
  static constexpr core::Duration kMaxReadTime = std::chrono::seconds(10);
  /// After the beginning of a round others may still read the newest policy: the state settles
  /// within 2.2 s, and each instance tells one after another.
  static constexpr core::Duration kStatementTime = std::chrono::seconds(5);
  /// Outside a round, a newer version arrives from the store or a reader within this time.
  static constexpr core::Duration kPropagationTime = std::chrono::milliseconds(1000);
  static constexpr core::Duration kReadRetryPause = std::chrono::milliseconds(300);

 private:
  /// A newer version than the known one.
  struct Newer {
    std::uint64_t version = 0;
    std::vector<membership::FeedPeer> holders;
    std::size_t reads = 0;
    core::TimePoint since;
    core::TimePoint read_at;
  };

  bool asking_ = false;
  std::optional<core::TimePoint> began_at_;  ///< Of the last round.
  bool holding_ = false;
  bool reading_ = false;
  std::size_t in_flight_ = 0;
  std::size_t failed_ = 0;
  std::set<std::string> asked_;  ///< Addresses, in this round.
  std::uint64_t known_ = 0;
  std::optional<core::TimePoint> synced_at_;
  std::optional<Newer> newer_;
};

}  // namespace vanilladeck::gateway

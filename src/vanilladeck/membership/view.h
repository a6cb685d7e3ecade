#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/membership/member.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::membership {

/// Membership of the deployment as seen by one entry instance: gossip and failure detection.
///
/// Built from heartbeats and from the platform's lagging instance list; selects the targets of
/// heartbeats. A heartbeat carries the sender's own state and a bounded number of relayed members,
/// so that the traffic of one instance does not grow with the fleet. A member is live while its
/// sequence number advances, as received directly or relayed. Members of the own failure domain are
/// relayed often, so that their failure is detected within seconds; changes (started, leaving,
/// gone, back) are relayed first, so that they reach the rest of the fleet within seconds too. An
/// address belongs to one incarnation at a time: the one that started last.
class View {
 public:
  /// Heartbeats sent per tick. Each is answered with a heartbeat, so that an instance exchanges at
  /// least twice as many.
  static constexpr std::size_t kFanout = 3;
  /// Members relayed per heartbeat: of the own failure domain, of other domains, and changed ones.
  static constexpr std::size_t kRelayedOwnDomain = 8;
  static constexpr std::size_t kRelayedOtherDomains = 4;
  static constexpr std::size_t kRelayedChanges = 8;
  /// Minimum time without progress after which a member counts as gone.
  static constexpr core::Duration kMinFailureTimeout = std::chrono::seconds(3);

  View(std::string deployment, Member self, std::vector<std::string> seeds);

  /// State of this instance; changes are sent with the next heartbeat.
  [[nodiscard]] Member& self() noexcept { return self_; }
  [[nodiscard]] const Member& self() const noexcept { return self_; }

  /// Returns the next heartbeat to send, as a request or as the answer to one.
  [[nodiscard]] Heartbeat MakeHeartbeat(core::TimePoint now);

  /// Merges a peer's heartbeat; ignores one of another deployment and returns false.
  bool OnHeartbeat(const Heartbeat& heartbeat, core::TimePoint now);

  /// Replaces the platform's list of entry instances.
  void OnInstanceList(const std::vector<store::ListedInstance>& instances);

  /// Returns the addresses to send heartbeats to in this tick.
  [[nodiscard]] std::vector<std::string> PickTargets(core::TimePoint now);

  /// Returns the other live members, ordered by address.
  [[nodiscard]] std::vector<const Member*> Live(core::TimePoint now) const;

  /// Returns the incarnations that failed or were replaced since the last call, each once.
  [[nodiscard]] std::vector<core::InstanceId> TakeGone(core::TimePoint now);

  /// Whether the platform's list contains the address; false until a list has been read.
  [[nodiscard]] bool IsListed(const std::string& address) const;
  [[nodiscard]] bool HasList() const noexcept { return has_list_; }
  /// Listed addresses of a failure domain.
  [[nodiscard]] std::vector<std::string> ListedIn(const std::string& failure_domain) const;

  /// True if a later incarnation runs on this instance's address: this process was replaced.
  [[nodiscard]] bool superseded() const noexcept { return superseded_; }

 private:
  struct Tracked {
    Member member;
    core::TimePoint last_progress;
    bool gone = false;  ///< Timed out, or declared dead by its failure domain.
    /// Number of further heartbeats that relay the member's last change.
    std::uint32_t remaining_relays = 0;
  };

  void Merge(const Member& member, core::TimePoint now);
  void MergeGone(Tracked& tracked, const Member& member);
  void MarkChanged(Tracked& tracked) const;
  void AnnounceGone(Tracked& tracked) const;
  void AppendChanges(Heartbeat& heartbeat);
  void AppendRelayed(Heartbeat& heartbeat, bool own_domain, std::size_t limit, std::string& cursor,
                     core::TimePoint now) const;
  [[nodiscard]] bool IsInOwnDomain(const Member& member) const;
  [[nodiscard]] core::Duration FailureTimeout(const Member& member) const;
  [[nodiscard]] bool IsLive(const Tracked& tracked, core::TimePoint now) const;

  std::string deployment_;
  Member self_;
  std::vector<std::string> seeds_;
  std::map<std::string, Tracked> members_;  ///< By address of the peers' listener.
  std::size_t own_domain_count_ = 0;
  std::map<std::string, std::string> listed_;  ///< Failure domain by address.
  bool has_list_ = false;
  bool superseded_ = false;
  std::vector<core::InstanceId> newly_gone_;
  std::string own_domain_cursor_;
  std::string other_domains_cursor_;
  std::size_t target_cursor_ = 0;
};

}  // namespace vanilladeck::membership

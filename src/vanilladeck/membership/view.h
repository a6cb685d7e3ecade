#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/membership/member.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::membership {

/// Who is in the deployment, as one entry instance sees it.
///
/// Fed with heartbeats and with the platform's lagging list; decides whom to send heartbeats to.
/// A heartbeat carries the sender's own state and a bounded number of relayed members, so that the
/// traffic of one instance does not grow with the fleet. Liveness is progress of a member's
/// sequence number, heard directly or through others. Members of the own failure domain are heard
/// of often, so their silence is noticed within seconds; changes (started, leaving, gone, back) are
/// relayed first, so that the rest of the fleet learns of them within seconds, too. An address
/// stands for one incarnation at a time: the one that started last.
class View {
 public:
  /// Heartbeats sent per tick; each is answered by one, so an instance exchanges at least twice
  /// as many.
  static constexpr std::size_t kFanout = 3;
  /// Members relayed per heartbeat: those of the own failure domain, and others.
  static constexpr std::size_t kRelayedNear = 8;
  static constexpr std::size_t kRelayedFar = 4;
  static constexpr std::size_t kRelayedChanges = 8;
  /// Shortest silence after which a member counts as gone.
  static constexpr core::Duration kMinSilence = std::chrono::seconds(3);

  View(std::string deployment, Member self, std::vector<std::string> seeds);

  /// The own state; changes go out with the next heartbeat.
  [[nodiscard]] Member& self() noexcept { return self_; }
  [[nodiscard]] const Member& self() const noexcept { return self_; }

  /// Next heartbeat to send or to answer with.
  [[nodiscard]] Heartbeat MakeHeartbeat(core::TimePoint now);

  /// Takes a peer's heartbeat; one of another deployment is ignored and returns false.
  bool OnHeartbeat(const Heartbeat& heartbeat, core::TimePoint now);

  /// Takes the platform's list of entry instances.
  void OnInstanceList(const std::vector<store::ListedInstance>& instances);

  /// Addresses to send heartbeats to in this tick.
  [[nodiscard]] std::vector<std::string> PickTargets(core::TimePoint now);

  /// Other members that make progress, ordered by address.
  [[nodiscard]] std::vector<const Member*> Live(core::TimePoint now) const;

  /// Incarnations that went silent or were replaced since the last call, each reported once.
  [[nodiscard]] std::vector<core::InstanceId> TakeGone(core::TimePoint now);

  /// Whether the platform's list names the address; false while no list has been read.
  [[nodiscard]] bool IsListed(const std::string& address) const;
  [[nodiscard]] bool HasList() const noexcept { return has_list_; }
  /// Listed addresses of a failure domain.
  [[nodiscard]] std::vector<std::string> ListedIn(const std::string& failure_domain) const;

  /// True when a later incarnation runs on the own address: this process was replaced.
  [[nodiscard]] bool superseded() const noexcept { return superseded_; }

 private:
  struct Tracked {
    Member member;
    core::TimePoint last_progress;
    bool gone = false;  ///< Silent for too long, or taken for dead by its failure domain.
    /// Heartbeats that still carry the member's last change.
    std::uint32_t change_relays = 0;
  };

  void Merge(const Member& member, core::TimePoint now);
  void MergeGone(Tracked& tracked, const Member& member);
  void MarkChanged(Tracked& tracked) const;
  void AnnounceGone(Tracked& tracked) const;
  void AppendChanges(Heartbeat& heartbeat);
  void AppendRelayed(Heartbeat& heartbeat, bool near, std::size_t limit, std::string& cursor,
                     core::TimePoint now) const;
  [[nodiscard]] bool IsNear(const Member& member) const;
  [[nodiscard]] core::Duration SilenceLimit(const Member& member) const;
  [[nodiscard]] bool IsLive(const Tracked& tracked, core::TimePoint now) const;

  std::string deployment_;
  Member self_;
  std::vector<std::string> seeds_;
  std::map<std::string, Tracked> members_;  ///< By address of the peers' listener.
  std::size_t near_count_ = 0;
  std::map<std::string, std::string> listed_;  ///< Failure domain by address.
  bool has_list_ = false;
  bool superseded_ = false;
  std::vector<core::InstanceId> newly_gone_;
  std::string near_cursor_;
  std::string far_cursor_;
  std::size_t target_cursor_ = 0;
};

}  // namespace vanilladeck::membership

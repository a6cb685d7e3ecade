#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/model_store.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/membership/feed_source.h"
#include "vanilladeck/membership/store_follower.h"
#include "vanilladeck/steering/departed_servers.h"
#include "vanilladeck/steering/server_set.h"
#include "vanilladeck/store/era_tracker.h"

namespace vanilladeck::testing {

// Layout of the keys in the model store.
inline constexpr const char* kModelPolicyKey = "op/policy";
inline constexpr const char* kModelEvacuationPrefix = "op/evacuation/";
inline constexpr const char* kModelServerPrefix = "servers/";

/// The value of a server's entry.
[[nodiscard]] std::string EncodeModelReport(const steering::ServerReport& report);
[[nodiscard]] steering::ServerReport DecodeModelReport(const std::string& id,
                                                       const std::string& value);

/// An instance without network: the follower, the era tracker, the change log and the exchange with
/// other instances, joined as `gateway::Gateway` joins them.
class ModelInstance {
 public:
  /// Returns the instance of that name; null if it does not run.
  using Lookup = std::function<ModelInstance*(const std::string& name)>;

  ModelInstance(Timeline& timeline, ModelStore& store, std::string name, Lookup lookup);

  /// Call every `LoadMeter::kTickInterval`.
  void Tick();
  void SetPeers(const std::vector<membership::FeedPeer>& peers);
  /// Neither calls nor answers are handled until then.
  void PauseUntil(core::TimePoint until) { paused_until_ = until; }
  /// The store does not answer this instance until then.
  void CutUntil(core::TimePoint until) { cut_until_ = until; }
  /// Answers of the store arrive `delay` late until then.
  void SlowUntil(core::TimePoint until, core::Duration delay);

  [[nodiscard]] bool paused() const { return timeline_.now() < paused_until_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const membership::StoreFollower& follower() const { return follower_; }
  [[nodiscard]] const steering::ServerSet& servers() const { return servers_; }
  [[nodiscard]] const std::set<std::string>& evacuated() const { return evacuated_; }
  /// Of the policy in force; 0 without one.
  [[nodiscard]] std::int64_t policy() const { return policy_; }

  /// Called with the ids of servers that are removed.
  std::function<void(const std::string& id)> on_server_removed;

 private:
  using StoreDone = std::function<void(const store::VersionedResult&)>;
  struct PeerRequest {
    membership::PeerPosition known;
    store::Era era = 0;
  };

  /// Runs `event` now, or at the end of a pause.
  void Deliver(std::function<void()> event);
  void SendStoreCalls();
  void CallStore(const store::VersionedCall& call, const StoreDone& done);
  void OnPeerEra(store::Era era);
  /// Asks `peer`; `done` gets its answer, none if it does not answer in time.
  void AskPeer(const std::string& peer,
               const std::function<void(std::optional<membership::PeerChanges>)>& done);
  [[nodiscard]] std::optional<membership::PeerChanges> Serve(const PeerRequest& request);
  void OnPeerResponse(const std::string& peer, std::optional<membership::PeerChanges> changes);
  void QueryFallback();
  void OnFallbackResponse(const std::string& peer, std::optional<membership::PeerChanges> changes);
  void ReadAwaitedItem(const std::string& peer);
  void OnItem(const store::Item& item);
  [[nodiscard]] bool ApplyServerReport(steering::ServerReport report, store::Era era);
  void OnRemoved(const std::string& key);

  Timeline& timeline_;
  ModelStore& store_;
  std::string name_;
  Lookup lookup_;
  store::EraTracker era_tracker_;
  membership::FollowerSettings settings_;
  membership::StoreFollower follower_;
  membership::ChangeLog change_log_;
  membership::FeedSource feed_source_;
  std::vector<membership::FeedPeer> peers_;
  std::map<std::string, membership::PeerPosition> peer_positions_;
  bool reading_item_ = false;
  bool asking_fallback_ = false;
  core::TimePoint next_fallback_;
  core::TimePoint paused_until_;
  core::TimePoint cut_until_;
  core::TimePoint slow_until_;
  core::Duration slowness_{0};

  steering::ServerSet servers_;
  steering::DepartedServers departed_;
  std::set<std::string> outdated_items_;
  std::set<std::string> evacuated_;
  std::int64_t policy_ = 0;
};

}  // namespace vanilladeck::testing

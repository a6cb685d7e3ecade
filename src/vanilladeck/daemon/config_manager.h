#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "vanilladeck/config/publisher.h"
#include "vanilladeck/config/replica.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/daemon/peer_calls.h"
#include "vanilladeck/daemon/store_gateway.h"
#include "vanilladeck/membership/member.h"

namespace vanilladeck::daemon {

/// Replicates the configuration from the store and from peers, and publishes operators' changes.
class ConfigManager {
 public:
  using PublishedCallback = std::function<void(config::PublishOutcome)>;

  /// `on_in_force` is called whenever another version has come into force.
  ConfigManager(const std::string& deployment, std::uint64_t seed, StoreGateway& store,
                PeerCalls& peers, std::function<void()> on_in_force);

  /// Call about every 10 ms.
  void Tick();

  void SetReader(bool reader);
  /// Processes the configuration version in a peer's heartbeat.
  void OnPeerVersion(const membership::Member& member);
  void ForgetPeer(const std::string& address) { replica_.ForgetPeer(address); }

  /// Publishes a change; `published` is called once. An accepted change is put in force on this
  /// instance before the call.
  void Publish(config::PublishRequest request, PublishedCallback published);

  [[nodiscard]] const config::Replica& replica() const noexcept { return replica_; }

 private:
  struct PendingPublish {
    config::Publisher publisher;
    PublishedCallback published;
    core::TimePoint wake_at = core::TimePoint::max();
  };

  void Execute(config::ReplicaActions actions);
  void Send(const config::ReplicaStoreCall& call);
  void Send(const config::ReplicaPeerFetch& fetch);
  void Advance(const std::shared_ptr<PendingPublish>& pending, config::PublishStep step);

  StoreGateway& store_;
  PeerCalls& peers_;
  std::function<void()> on_in_force_;
  config::Replica replica_;
  std::list<std::shared_ptr<PendingPublish>> pending_publishes_;
  std::uint64_t next_seed_;
};

}  // namespace vanilladeck::daemon

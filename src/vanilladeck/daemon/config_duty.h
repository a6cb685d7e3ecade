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

/// Keeps the version in force current and publishes operators' changes.
class ConfigDuty {
 public:
  using Published = std::function<void(config::PublishOutcome)>;

  /// `on_in_force` runs whenever another version came into force.
  ConfigDuty(const std::string& deployment, std::uint64_t seed, StoreGateway& store,
             PeerCalls& peers, std::function<void()> on_in_force);

  /// Call about every 10 ms.
  void Tick();

  void SetReader(bool reader);
  /// Learns the version that a peer's heartbeat carries.
  void OnPeer(const membership::Member& member);
  void ForgetPeer(const std::string& address) { replica_.ForgetPeer(address); }

  /// Applies a change; `published` is called once. An accepted change is in force here first.
  void Publish(config::PublishRequest request, Published published);

  [[nodiscard]] const config::Replica& replica() const noexcept { return replica_; }

 private:
  struct Run {
    config::Publisher publisher;
    Published published;
    core::TimePoint wake_at = core::TimePoint::max();
  };

  void Execute(config::ReplicaActions actions);
  void Send(const config::ReplicaStoreCall& call);
  void Send(const config::ReplicaPeerFetch& fetch);
  void Advance(const std::shared_ptr<Run>& run, config::PublishStep step);

  StoreGateway& store_;
  PeerCalls& peers_;
  std::function<void()> on_in_force_;
  config::Replica replica_;
  std::list<std::shared_ptr<Run>> runs_;
  std::uint64_t next_seed_;
};

}  // namespace vanilladeck::daemon

#include "vanilladeck/daemon/config_manager.h"

#include <utility>
#include <variant>

namespace vanilladeck::daemon {
namespace {

using core::RuntimeClock;

config::Replica::Options MakeOptions(const std::string& deployment, std::uint64_t seed) {
  config::Replica::Options options;
  options.deployment = deployment;
  options.seed = seed;
  return options;
}

}  // namespace

ConfigManager::ConfigManager(const std::string& deployment, std::uint64_t seed, StoreGateway& store,
                             PeerCalls& peers, std::function<void()> on_in_force)
    : store_(store),
      peers_(peers),
      on_in_force_(std::move(on_in_force)),
      replica_(MakeOptions(deployment, seed), RuntimeClock::now()),
      next_seed_(seed + 1) {}

void ConfigManager::Tick() {
  const auto now = RuntimeClock::now();
  if (now >= replica_.NextTick()) Execute(replica_.OnTick(now, RuntimeClock::WallMs()));
  const auto pending_publishes = pending_publishes_;
  for (const auto& pending : pending_publishes) {
    if (now < pending->wake_at) continue;
    pending->wake_at = core::TimePoint::max();
    Advance(pending, pending->publisher.OnTimer(replica_.HighestKnown(), now));
  }
}

void ConfigManager::SetReader(bool reader) {
  Execute(replica_.SetReader(reader, RuntimeClock::now()));
}

void ConfigManager::OnPeerVersion(const membership::Member& member) {
  if (member.config_version == 0) return;
  Execute(replica_.OnPeerVersion(member.id.address, member.config_version, member.config_hash,
                                 RuntimeClock::now(), RuntimeClock::WallMs()));
}

void ConfigManager::Execute(config::ReplicaActions actions) {
  for (auto& action : actions) {
    if (const auto* call = std::get_if<config::ReplicaStoreCall>(&action)) {
      Send(*call);
    } else if (const auto* fetch = std::get_if<config::ReplicaPeerFetch>(&action)) {
      Send(*fetch);
    } else {
      on_in_force_();
    }
  }
}

void ConfigManager::Send(const config::ReplicaStoreCall& call) {
  store_.Call(
      store::CallClass::kControl, call.request,
      [this, id = call.id](const store::StoreResult& result) {
        Execute(replica_.OnStoreResult(id, result, RuntimeClock::now(), RuntimeClock::WallMs()));
      });
}

void ConfigManager::Send(const config::ReplicaPeerFetch& fetch) {
  const auto deployment =
      replica_.Chain().IsEmpty() ? std::string{} : replica_.Chain().Newest()->head.deployment;
  peers_.Call(
      fetch.peer, peer::FetchVersions{deployment, fetch.after_version},
      config::Replica::kFetchTimeout, [this, id = fetch.id](const peer::CallResult& result) {
        std::vector<std::string> records;
        if (result.has_value()) records = std::get<peer::Versions>(result.value()).records;
        Execute(replica_.OnPeerRecords(id, records, RuntimeClock::now(), RuntimeClock::WallMs()));
      });
}

void ConfigManager::Publish(config::PublishRequest request, PublishedCallback published) {
  auto pending = std::make_shared<PendingPublish>(PendingPublish{
      config::Publisher(std::move(request), replica_.Chain(), next_seed_++), std::move(published)});
  pending_publishes_.push_back(pending);
  Advance(pending, pending->publisher.Begin(replica_.HighestKnown(), RuntimeClock::now()));
}

void ConfigManager::Advance(const std::shared_ptr<PendingPublish>& pending,
                            config::PublishStep step) {
  Execute(replica_.OnChainRead(pending->publisher.Chain(), RuntimeClock::now(),
                               RuntimeClock::WallMs()));
  if (const auto* request = std::get_if<store::Request>(&step)) {
    store_.Call(store::CallClass::kControl, *request,
                [this, pending](const store::StoreResult& result) {
                  Advance(pending, pending->publisher.OnResult(result, replica_.HighestKnown(),
                                                               RuntimeClock::now()));
                });
    return;
  }
  if (const auto* wait = std::get_if<config::PublishWait>(&step)) {
    pending->wake_at = wait->until;
    return;
  }
  pending_publishes_.remove(pending);
  auto& outcome = std::get<config::PublishOutcome>(step);
  if (const auto* accepted = std::get_if<config::PublishAccepted>(&outcome)) {
    Execute(replica_.OnAccepted(accepted->chain, RuntimeClock::now(), RuntimeClock::WallMs()));
  } else if (const auto* unknown = std::get_if<config::PublishUnknown>(&outcome)) {
    if (unknown->record) Execute(replica_.OnUnknownOutcome(*unknown->record, RuntimeClock::now()));
  }
  pending->published(std::move(outcome));
}

}  // namespace vanilladeck::daemon

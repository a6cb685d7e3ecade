#include "vanilladeck/daemon/config_duty.h"

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

ConfigDuty::ConfigDuty(const std::string& deployment, std::uint64_t seed, StoreGateway& store,
                       PeerCalls& peers, std::function<void()> on_in_force)
    : store_(store),
      peers_(peers),
      on_in_force_(std::move(on_in_force)),
      replica_(MakeOptions(deployment, seed), RuntimeClock::now()),
      next_seed_(seed + 1) {}

void ConfigDuty::Tick() {
  const auto now = RuntimeClock::now();
  if (now >= replica_.NextTick()) Execute(replica_.OnTick(now, RuntimeClock::WallMs()));
  const auto runs = runs_;
  for (const auto& run : runs) {
    if (now < run->wake_at) continue;
    run->wake_at = core::TimePoint::max();
    Advance(run, run->publisher.OnTimer(replica_.HighestKnown(), now));
  }
}

void ConfigDuty::SetReader(bool reader) {
  Execute(replica_.SetReader(reader, RuntimeClock::now()));
}

void ConfigDuty::OnPeer(const membership::Member& member) {
  if (member.config_version == 0) return;
  Execute(replica_.OnPeerVersion(member.id.address, member.config_version, member.config_hash,
                                 RuntimeClock::now(), RuntimeClock::WallMs()));
}

void ConfigDuty::Execute(config::ReplicaActions actions) {
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

void ConfigDuty::Send(const config::ReplicaStoreCall& call) {
  store_.Call(
      store::CallClass::kControl, call.request,
      [this, id = call.id](const store::StoreResult& result) {
        Execute(replica_.OnStoreResult(id, result, RuntimeClock::now(), RuntimeClock::WallMs()));
      });
}

void ConfigDuty::Send(const config::ReplicaPeerFetch& fetch) {
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

void ConfigDuty::Publish(config::PublishRequest request, Published published) {
  auto run = std::make_shared<Run>(Run{
      config::Publisher(std::move(request), replica_.Chain(), next_seed_++), std::move(published)});
  runs_.push_back(run);
  Advance(run, run->publisher.Begin(replica_.HighestKnown(), RuntimeClock::now()));
}

void ConfigDuty::Advance(const std::shared_ptr<Run>& run, config::PublishStep step) {
  Execute(
      replica_.OnChainRead(run->publisher.Chain(), RuntimeClock::now(), RuntimeClock::WallMs()));
  if (const auto* request = std::get_if<store::Request>(&step)) {
    store_.Call(
        store::CallClass::kControl, *request, [this, run](const store::StoreResult& result) {
          Advance(run,
                  run->publisher.OnResult(result, replica_.HighestKnown(), RuntimeClock::now()));
        });
    return;
  }
  if (const auto* wait = std::get_if<config::PublishWait>(&step)) {
    run->wake_at = wait->until;
    return;
  }
  runs_.remove(run);
  auto& outcome = std::get<config::PublishOutcome>(step);
  if (const auto* accepted = std::get_if<config::PublishAccepted>(&outcome)) {
    Execute(replica_.OnAccepted(accepted->chain, RuntimeClock::now(), RuntimeClock::WallMs()));
  } else if (const auto* unknown = std::get_if<config::PublishUnknown>(&outcome)) {
    if (unknown->record) Execute(replica_.OnUnknownOutcome(*unknown->record, RuntimeClock::now()));
  }
  run->published(std::move(outcome));
}

}  // namespace vanilladeck::daemon

#include <algorithm>
#include <utility>

#include "vanilladeck/config/readers.h"
#include "vanilladeck/daemon/control_impl.h"

namespace vanilladeck::daemon {
namespace {

using core::RuntimeClock;

constexpr std::string_view kEntryService = "vanilladeckd";
constexpr core::Duration kHeartbeatTimeout = std::chrono::milliseconds(900);
constexpr core::Duration kFetchServersTimeout = std::chrono::seconds(2);
constexpr core::Duration kListInterval = std::chrono::seconds(2);
constexpr core::Duration kListJitter = std::chrono::milliseconds(500);
constexpr core::Duration kRegisterInterval = std::chrono::seconds(20);
constexpr std::chrono::seconds kRegisterTtl{60};

}  // namespace

void Control::Impl::SendHeartbeats(const std::vector<std::string>& targets) {
  for (const std::string& target : targets) {
    const auto sent = RuntimeClock::now();
    peers_->Call(target, view_->MakeHeartbeat(sent), kHeartbeatTimeout,
                 [this, sent](const peer::CallResult& result) {
                   if (!result.has_value()) return;
                   const auto& heartbeat = std::get<membership::Heartbeat>(result.value());
                   OnPeerHeartbeat(heartbeat);
                   RecordRoundTrip(heartbeat.self.failure_domain, RuntimeClock::now() - sent);
                 });
  }
}

std::vector<std::string> Control::Impl::DomainPeers() const {
  std::vector<std::string> peers;
  for (const membership::Member* it : view_->Live(RuntimeClock::now())) {
    const bool same_domain = it->failure_domain == settings_.failure_domain;
    if (same_domain && !it->leaving) peers.push_back(it->id.address);
  }
  return peers;
}

void Control::Impl::AnnounceToDomain() {
  view_->self().shards = operations_ ? operations_->OwnedShards() : std::vector<std::string>{};
  SendHeartbeats(DomainPeers());
}

void Control::Impl::OnPeerHeartbeat(const membership::Heartbeat& heartbeat) {
  if (!view_->OnHeartbeat(heartbeat, RuntimeClock::now())) return;
  config_->OnPeerVersion(heartbeat.self);
  const auto& sender = heartbeat.self;
  if (sender.leaving && sender.failure_domain == settings_.failure_domain && operations_) {
    operations_->OnPeerLeaving(sender.id);
  }
}

void Control::Impl::RecordRoundTrip(const std::string& failure_domain, core::Duration round_trip) {
  // Moving average with weight 1/8, as for the smoothed round-trip time of TCP (RFC 6298).
  constexpr int kSmoothing = 8;
  const auto one_way = round_trip / 2;
  const auto [it, added] = domain_latency_.emplace(failure_domain, one_way);
  if (!added) it->second += (one_way - it->second) / kSmoothing;
}

void Control::Impl::HandleRemovedInstances() {
  for (const core::InstanceId& it : view_->TakeGone(RuntimeClock::now())) {
    if (operations_) operations_->OnInstanceGone(it);
    config_->ForgetPeer(it.address);
  }
}

bool Control::Impl::IsReader() const {
  auto domain = DomainPeers();
  domain.push_back(self_.address);
  return config::IsReader(settings_.failure_domain, domain, self_.address);
}

void Control::Impl::RefreshInstanceLists() {
  const auto now = RuntimeClock::now();
  std::uniform_int_distribution<std::int64_t> jitter(0, kListJitter.count());
  next_list_refresh_ = now + kListInterval + core::Duration(jitter(random_));
  store_->Call(
      store::CallClass::kControl, store::ListInstances{std::string(kEntryService)},
      [this](const store::StoreResult& result) {
        if (!result.has_value()) return;
        view_->OnInstanceList(std::get<store::ListInstancesReply>(result.value()).instances);
      });
  const auto deployment = config_->replica().InForce();
  if (!deployment) return;
  for (const auto& service : deployment->services) {
    store_->Call(store::CallClass::kControl, store::ListInstances{service.name},
                 [this, name = service.name](const store::StoreResult& result) {
                   if (!result.has_value()) return;
                   const auto& listed =
                       std::get<store::ListInstancesReply>(result.value()).instances;
                   std::erase_if(servers_, [&name](const auto& it) { return it.service == name; });
                   servers_.insert(servers_.end(), listed.begin(), listed.end());
                   servers_loaded_ = true;
                   snapshot_due_ = true;
                 });
  }
}

void Control::Impl::FetchServersFromPeer() {
  const auto live = view_->Live(RuntimeClock::now());
  if (live.empty()) return;
  std::uniform_int_distribution<std::size_t> pick(0, live.size() - 1);
  peers_->Call(live[pick(random_)]->id.address, peer::FetchServers{}, kFetchServersTimeout,
               [this](peer::CallResult result) {
                 if (servers_loaded_ || !result.has_value()) return;
                 servers_ = std::move(std::get<peer::Servers>(result.value()).servers);
                 servers_loaded_ = !servers_.empty();
                 snapshot_due_ = true;
               });
}

store::ListedInstance Control::Impl::MakeSelfRegistration() const {
  store::ListedInstance entry;
  entry.service = kEntryService;
  entry.address = self_.address;
  entry.failure_domain = settings_.failure_domain;
  entry.state =
      view_->self().leaving ? store::InstanceState::kLeaving : store::InstanceState::kLive;
  return entry;
}

void Control::Impl::RegisterSelf() {
  next_register_ = RuntimeClock::now() + kRegisterInterval;
  store_->client().RegisterInstance(MakeSelfRegistration(), kRegisterTtl,
                                    [this](const core::Result<void, store::StoreError>& result) {
                                      // Retry early after a failure: peers discover a new instance
                                      // through the list.
                                      if (result.has_value()) return;
                                      next_register_ = RuntimeClock::now() + kListInterval;
                                    });
}

std::shared_ptr<const Snapshot> Control::Impl::MakeSnapshot() const {
  const auto now = RuntimeClock::now();
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->config_version = config_->replica().Version();
  snapshot->deployment = config_->replica().InForce();
  snapshot->backend_servers = servers_;
  snapshot->operations_shard = settings_.failure_domain;
  snapshot->operations_salt = settings_.operations_salt.Reveal();
  const auto region_of = [&snapshot](const std::string& domain) -> std::string {
    if (!snapshot->deployment) return {};
    for (const auto& it : snapshot->deployment->failure_domains) {
      if (it.name == domain) return it.region;
    }
    return {};
  };
  for (const auto& [domain, one_way] : domain_latency_) {
    snapshot->latencies.push_back({region_of(domain), one_way});
  }
  const auto add = [&](const membership::Member& it) {
    snapshot->entry_instances.push_back(
        {it.id, it.caller_address, it.failure_domain, region_of(it.failure_domain), it.leaving});
  };
  add(view_->self());
  for (const membership::Member* it : view_->Live(now)) add(*it);
  snapshot->seats = seats_->UsableSeats(now);
  snapshot->seats_valid_until_ns = seats_->UsableUntil(now).time_since_epoch().count();
  return snapshot;
}

void Control::Impl::PublishSnapshot() {
  snapshot_due_ = false;
  view_->self().seats = seats_->UsableSeats(RuntimeClock::now());
  view_->self().shards = operations_ ? operations_->OwnedShards() : std::vector<std::string>{};
  PostServing(SnapshotChanged{MakeSnapshot()});
}

}  // namespace vanilladeck::daemon

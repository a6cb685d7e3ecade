#include "vanilladeck/daemon/control.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "vanilladeck/daemon/control_impl.h"

namespace vanilladeck::daemon {
namespace {

using core::RuntimeClock;

constexpr std::size_t kMailboxCapacity = 16'384;
constexpr core::Duration kFastInterval = std::chrono::milliseconds(10);
constexpr core::Duration kSlowInterval = std::chrono::milliseconds(100);
constexpr core::Duration kSecondInterval = std::chrono::seconds(1);

/// Number of entry instances assumed until a configuration is in force.
constexpr std::uint32_t kDefaultInstanceCount = 10;
/// Releasing seats and shard takes a few store calls. When the store is down they expire on their
/// own, so the shutdown does not wait longer.
constexpr core::Duration kReleaseTimeout = std::chrono::seconds(3);

membership::Member MakeSelf(const Settings& settings, const core::InstanceId& self) {
  membership::Member member;
  member.id = self;
  member.started_ms = RuntimeClock::WallMs();
  member.failure_domain = settings.failure_domain;
  return member;
}

}  // namespace

Control::Impl::Impl(Settings settings, core::InstanceId self)
    : settings_(std::move(settings)),
      self_(std::move(self)),
      mailbox_(kMailboxCapacity,
               [this] { boost::asio::post(context_, [this] { DrainMailboxes(); }); }),
      peer_mailbox_(kMailboxCapacity,
                    [this] { boost::asio::post(context_, [this] { DrainMailboxes(); }); }),
      random_(self_.incarnation),
      fast_timer_(context_),
      slow_timer_(context_),
      one_second_timer_(context_) {}

Control::Impl::~Impl() {
  context_.stop();
  Join();
  node_.reset();  // The node's thread posts to `peer_mailbox_`.
}

std::optional<ControlError> Control::Impl::Open() {
  auto node = peer::Node::Create(
      self_.address, [this](peer::Event event) { return peer_mailbox_.TryPush(std::move(event)); });
  if (!node.has_value()) return ControlError{"peers", node.error().address, node.error().reason};
  node_ = std::move(node.value());
  auto operators = OperatorsListener::Create(
      context_, settings_.listen.operators.ip, settings_.listen.operators.port,
      [this](const config::OperatorRequest& request, const OperatorsListener::Respond& respond) {
        OnOperator(request, respond);
      });
  if (!operators.has_value()) {
    return ControlError{"operators", operators.error().address, operators.error().reason};
  }
  operators_ = std::move(operators.value());
  store::ClientSettings store;
  store.address = settings_.platform.address.ToString();
  store.token = settings_.platform.token.Reveal();
  store.local_address = settings_.listen.peers.ip;
  auto client = store::Client::Create(context_, store);
  if (!client.has_value()) return ControlError{"platform", store.address, "malformed address"};
  store_ = std::make_unique<StoreGateway>(context_, std::move(client.value()),
                                          kDefaultInstanceCount, kDefaultInstanceCount);
  peers_ = std::make_unique<PeerCalls>(*node_);
  return std::nullopt;
}

void Control::Impl::Start(const std::string& caller_address, PostToServing post) {
  post_ = std::move(post);
  auto self = MakeSelf(settings_, self_);
  self.caller_address = caller_address;
  view_ = std::make_unique<membership::View>(settings_.deployment, std::move(self),
                                             settings_.peer_seeds);
  config_ = std::make_unique<ConfigManager>(settings_.deployment, self_.incarnation, *store_,
                                            *peers_, [this] { OnConfiguration(); });
  SeatManager::Options seats{settings_.failure_domain, settings_.seat, self_};
  seats_ = std::make_unique<SeatManager>(std::move(seats), *store_, *peers_, *view_,
                                         [this] { snapshot_due_ = true; });
  thread_ = std::thread([this] {
    RunPeriodically(kFastInterval, fast_timer_, &Impl::TickFast);
    RunPeriodically(kSlowInterval, slow_timer_, &Impl::TickSlow);
    RunPeriodically(kSecondInterval, one_second_timer_, &Impl::TickOneSecond);
    context_.run();
  });
}

void Control::Impl::RunPeriodically(Interval interval, core::Timer& timer, void (Impl::*work)()) {
  (this->*work)();
  timer.expires_after(interval);
  timer.async_wait([this, interval, &timer, work](const boost::system::error_code& ec) {
    if (!ec) RunPeriodically(interval, timer, work);
  });
}

void Control::Impl::TickFast() {
  config_->Tick();
  if (operations_) operations_->Tick();
  if (snapshot_due_) PublishSnapshot();
}

void Control::Impl::TickSlow() {
  seats_->Tick(RuntimeClock::now());
  snapshot_due_ = true;  // Renewing a seat extends the time until which it may be used.
  if (draining_) ContinueDrain();
}

void Control::Impl::TickOneSecond() {
  const auto now = RuntimeClock::now();
  HandleRemovedInstances();
  config_->SetReader(IsReader());
  if (operations_) operations_->UpdateOwnershipRank();
  SendHeartbeats(view_->PickTargets(now));
  if (!releasing_ && now >= next_register_) RegisterSelf();
  if (now >= next_list_refresh_) RefreshInstanceLists();
  if (!servers_loaded_) FetchServersFromPeer();
}

void Control::Impl::OnConfiguration() {
  snapshot_due_ = true;
  const auto deployment = config_->replica().InForce();
  if (!deployment) return;
  std::uint32_t instances = 0;
  for (const auto& it : deployment->failure_domains) {
    instances += it.seats;
    if (it.name == settings_.failure_domain) seats_->SetSeatCount(it.seats);
  }
  store_->SetFleetSize(instances, static_cast<std::uint32_t>(deployment->failure_domains.size()));
  if (!operations_) {
    OperationsManager::Options options;
    options.shard = settings_.failure_domain;
    options.self = self_;
    options.salt = settings_.operations_salt.Reveal();
    options.retention = deployment->record_retention;
    operations_ = std::make_unique<OperationsManager>(std::move(options), *store_, *peers_, *view_,
                                                      [this] { AnnounceToDomain(); });
  }
  auto& own = view_->self();
  own.config_version = config_->replica().Version();
  own.config_hash = config_->replica().Chain().NewestHash();
  next_list_refresh_ = RuntimeClock::now();
  // Heartbeats carry the version, so peers fetch it now instead of after the next periodic
  // heartbeat (1 s).
  std::vector<std::string> targets;
  for (const membership::Member* it : view_->Live(RuntimeClock::now())) {
    if (it->config_version < own.config_version) targets.push_back(it->id.address);
  }
  constexpr std::size_t kMaxNotifiedPeers = 12;
  std::shuffle(targets.begin(), targets.end(), random_);
  if (targets.size() > kMaxNotifiedPeers) targets.resize(kMaxNotifiedPeers);
  SendHeartbeats(targets);
}

void Control::Impl::Drain() {
  boost::asio::post(context_, [this] {
    if (draining_) return;
    draining_ = true;
    view_->self().leaving = true;
    RegisterSelf();
    // The shard is handed over first, so that claims go to the next owner during the drain. The
    // last instance of a failure domain keeps it, because no other instance could grant claims.
    if (operations_ && !DomainPeers().empty()) operations_->Resign();
    PublishSnapshot();
    AnnounceToDomain();
    PostServing(DrainRequested{});
  });
}

void Control::Impl::Handle(const Drained&) { drained_ = true; }

void Control::Impl::ContinueDrain() {
  const auto now = RuntimeClock::now();
  if (!drained_) return;
  if (!releasing_) {
    releasing_ = true;
    release_deadline_ = now + kReleaseTimeout;
    if (operations_) operations_->Resign();
    seats_->Release(now);
    store_->client().DeregisterInstance(MakeSelfRegistration(), [](const auto&) {});
  }
  const bool released = seats_->released() && (!operations_ || operations_->resigned());
  if (released || now >= release_deadline_) Finish();
}

void Control::Impl::Finish() { context_.stop(); }

void Control::Impl::Join() {
  if (thread_.joinable()) thread_.join();
}

Control::Control(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Control::~Control() = default;

core::Result<std::unique_ptr<Control>, ControlError> Control::Create(const Settings& settings,
                                                                     const core::InstanceId& self) {
  auto impl = std::make_unique<Impl>(settings, self);
  if (auto error = impl->Open()) return std::move(*error);
  return std::unique_ptr<Control>(new Control(std::move(impl)));
}

core::Mailbox<ToControl>& Control::mailbox() noexcept { return impl_->mailbox(); }

void Control::Start(const std::string& caller_address, PostToServing post) {
  impl_->Start(caller_address, std::move(post));
}

void Control::Drain() { impl_->Drain(); }

void Control::Join() { impl_->Join(); }

}  // namespace vanilladeck::daemon

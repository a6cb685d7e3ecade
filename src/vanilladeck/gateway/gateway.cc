#include "vanilladeck/gateway/gateway.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "vanilladeck/gateway/proxied_request.h"
#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::gateway {
namespace {

using std::chrono::milliseconds;
using telemetry::StreamEvent;

constexpr std::string_view kCheckChannel = "check";
constexpr core::Duration kTickInterval = membership::LoadMeter::kTickInterval;
// Smallest change of a region's share that is logged.
constexpr double kLoggedShareChange = 0.05;
// Shortest transfer from the store or another instance that is logged.
constexpr core::Duration kLoggedTransferTime = milliseconds(200);
// Smallest number of changes in one response that is logged.
constexpr std::size_t kLoggedChanges = 50;
constexpr core::Duration kExpiryInterval = std::chrono::seconds(1);
// A call between regions takes 0.12 s, a call to a slow store 0.4 s.
constexpr core::Duration kStoreTimeout = milliseconds(1200);
// A port may be in use until the previous process of this instance has exited.
constexpr core::Duration kListenRetryInterval = milliseconds(500);
// A smaller number of instances takes effect only after this time. If the shares of fleet-wide
// limits grew earlier, their sum would exceed the limit while a stopped instance still finishes its
// requests.
constexpr core::Duration kFleetShrinkDelay = std::chrono::seconds(10);
// Instances that start at the same time register within about a second of each other.
constexpr core::Duration kFleetSettleTime = milliseconds(1500);
// Time by which an instance that asks a peer is behind it, with half a second for the peer's
// listing.
constexpr core::Duration kRelayTime = membership::FeedSource::kPollInterval +
                                      membership::FeedSource::kAnswerTimeout + milliseconds(500);
// The instance's record is written again if the store has not listed it for this time.
constexpr core::Duration kRecordMissingTimeout = milliseconds(2500);

std::int64_t Ms(core::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

class ProxyHandler : public RequestHandler {
 public:
  explicit ProxyHandler(Context& context) : context_(context) {}
  std::shared_ptr<PendingRequest> OnRequest(const std::shared_ptr<ResponseSlot>& slot,
                                            Request request) override {
    return ProxiedRequest::Start(context_, slot, std::move(request));
  }
  std::shared_ptr<PendingRequest> OnArrivingRequest(const std::shared_ptr<ResponseSlot>& slot,
                                                    Request request, RequestBodyPtr body) override {
    return ProxiedRequest::Start(context_, slot, std::move(request), std::move(body));
  }
  [[nodiscard]] bool MayRunBeside(const Request& request) const override {
    return ProxiedRequest::MayRunBeside(context_, request);
  }

 private:
  Context& context_;
};

class LocalHandler : public RequestHandler {
 public:
  using Answer = std::function<void(ResponseSlot&, const Request&)>;
  explicit LocalHandler(Answer answer) : answer_(std::move(answer)) {}
  std::shared_ptr<PendingRequest> OnRequest(const std::shared_ptr<ResponseSlot>& slot,
                                            Request request) override {
    answer_(*slot, request);
    return nullptr;
  }

 private:
  Answer answer_;
};

steering::PickerSettings PickerSettingsOf(const GatewaySettings& settings) {
  steering::PickerSettings picker;
  picker.instance = settings.instance;
  picker.region = settings.region;
  // The one-way delay between regions is 55 ms in every known deployment.
  picker.region_round_trip = milliseconds(112);
  picker.cold_overage = settings.fleet.cold_overage;
  picker.cold_slack = settings.fleet.cold_slack;
  return picker;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& context, GatewaySettings settings,
                 const PlatformCodec& codec, telemetry::EventStream& events)
    : io_(context),
      settings_(std::move(settings)),
      codec_(codec),
      events_(events),
      context_(
          context, settings_.process, settings_.names, settings_.fleet,
          [domains = settings_.region_of_domain](const std::string& domain) {
            const auto it = domains.find(domain);
            return it == domains.end() ? std::string() : it->second;
          },
          PickerSettingsOf(settings_), events),
      follower_(settings_.follower,
                {[this](const store::Item& item) { OnItem(item); },
                 [this](const std::string& key) { OnRemoved(key); }, [this] { OnSynced(); },
                 [this](bool reachable) {
                   events_.Write(reachable ? StreamEvent::kStoreRegained : StreamEvent::kStoreLost,
                                 {{"revision", follower_.position().revision().number}});
                 }}),
      registration_({}, {settings_.instance,
                         http::EndpointText(settings_.clients),
                         settings_.failure_domain,
                         settings_.region,
                         false,
                         settings_.peers.port() == 0 ? "" : http::EndpointText(settings_.peers),
                         settings_.process.link_mbps,
                         settings_.process.cpu_share,
                         static_cast<std::uint32_t>(settings_.process.memory_bytes >> 20U),
                         {},
                         0.0}),
      load_meter_(settings_.process.link_mbps, settings_.process.cpu_share),
      follower_channel_(context, context_.deadlines, context_.messages, settings_.store,
                        http::EndpointText(settings_.store), codec),
      check_channel_(context, context_.deadlines, context_.messages, settings_.store,
                     http::EndpointText(settings_.store), codec),
      lease_channel_(context, context_.deadlines, context_.messages, settings_.store,
                     http::EndpointText(settings_.store), codec),
      change_log_(settings_.instance + '/' + std::to_string(core::RuntimeClock::WallMs()),
                  settings_.follower.check_prefix),
      feed_source_(settings_.instance),
      allotment_exchange_(context_, settings_.instance, settings_.region,
                          settings_.process.link_mbps),
      peer_channel_(context, context_.deadlines, context_.messages),
      item_channel_(context, context_.deadlines, context_.messages),
      fallback_channel_(context, context_.deadlines, context_.messages),
      proxy_handler_(std::make_unique<ProxyHandler>(context_)),
      local_handler_(
          std::make_unique<LocalHandler>([this](ResponseSlot& slot, const Request& request) {
            ServeLocalRequest(slot, request);
          })),
      peer_handler_(std::make_unique<LocalHandler>(
          [this](ResponseSlot& slot, const Request& request) { ServePeerRequest(slot, request); })),
      clients_(context, context_.deadlines, context_.messages, *proxy_handler_,
               settings_.process.client_sessions()),
      readiness_(context, context_.deadlines, context_.messages, *local_handler_,
                 settings_.process.service_sessions()),
      lookups_(context, context_.deadlines, context_.messages, *local_handler_,
               settings_.process.lookup_sessions()),
      metrics_(context, context_.deadlines, context_.messages, *local_handler_,
               settings_.process.service_sessions()),
      peers_(context, context_.deadlines, context_.messages, *peer_handler_,
             settings_.process.service_sessions()),
      bindings_{{clients_, settings_.clients, "clients", true},
                {readiness_, settings_.readiness, "readiness", true},
                {lookups_, settings_.lookups, "lookups", true},
                {peers_, settings_.peers, "peers", false},
                {metrics_, settings_.metrics, "metrics", false}} {
  follower_channel_.SetProgressHandler([this] { follower_.OnProgress(core::RuntimeClock::now()); });
  const auto handle_eras = [this](StoreChannel& channel, std::string_view name) {
    channel.SetEraHandler([this] { return era_tracker_.era(); },
                          [this, name](const store::EraReading& reading, store::Era sent_in) {
                            return JudgeEra(name, reading, sent_in);
                          });
  };
  handle_eras(follower_channel_, "follower");
  handle_eras(check_channel_, kCheckChannel);
  handle_eras(lease_channel_, "lease");
  context_.max_region_policy_age =
      std::max(settings_.policy_delay, settings_.follower.poll_interval + kRelayTime);
}

Gateway::~Gateway() = default;

void Gateway::Start() { Tick(); }

void Gateway::OpenListeners() {
  const core::TimePoint now = core::RuntimeClock::now();
  if (context_.stop || now < next_listener_attempt_) return;
  next_listener_attempt_ = now + kListenRetryInterval;
  for (Binding& it : bindings_) {
    if (it.listener.open() || it.endpoint.port() == 0) continue;
    const auto ec = it.listener.Open(it.endpoint);
    if (ec && !it.failed) {
      events_.Write(StreamEvent::kListenerFailed, {{"listener", it.name},
                                                   {"address", http::EndpointText(it.endpoint)},
                                                   {"error", ec.message()}});
    }
    it.failed = static_cast<bool>(ec);
  }
}

void Gateway::LogEvictions() {
  const std::uint64_t evictions = context_.messages->evictions();
  if (evictions == logged_evictions_) return;
  events_.Write(StreamEvent::kMemoryShort, {{"evicted", evictions - logged_evictions_},
                                            {"message_bytes", context_.messages->used()},
                                            {"limit", context_.messages->capacity()}});
  logged_evictions_ = evictions;
}

void Gateway::Tick() {
  if (stopped_) return;
  const core::TimePoint now = core::RuntimeClock::now();
  // Scheduled first, so that ticks continue if this one throws.
  context_.deadlines->Add(now + kTickInterval, [this] { Tick(); });
  OpenListeners();
  TickFollower(now);
  // Once for all changes since the last tick: a region that returns changes hundreds of records.
  if (std::exchange(instances_changed_, false)) {
    UpdateFeedPeers();
    lost_instances_.Update(instances_, now);
  }
  MeasureLoad(now);
  UpdateEntries(now);
  SendStoreCalls();
  context_.picker.UpdateSplits(now);
  LogSplits();
  LogPaces();
  LogEvictions();
  if (now.time_since_epoch() % kExpiryInterval < kTickInterval) context_.pool.CloseExpired(now);
  QueryFallback(now);
  CheckPolicy();
  UpdateFleet();
  allotment_exchange_.Tick(instances_, {fleet_settled_, registration_.renewed()});
  registration_.SetServerLimits(context_.server_limits.Stated(now), now);
  UpdateReadiness();
  UpdatePolicyAge();
  if (context_.stop) DrainTick();
  events_.Flush();
}

void Gateway::SendStoreCalls() {
  const core::TimePoint now = core::RuntimeClock::now();
  auto call = follower_.Next(now);
  const membership::FeedPeer* peer = feed_source_.Choose(now);
  if (call && peer != nullptr && follower_.CanAskPeer(*call)) {
    QueryPeer(*peer);
  } else if (call) {
    // Without a reader the limits arrive with the records of the instances.
    context_.server_limits.OnStated(std::string(kRelay), {}, now);
    follower_channel_.Call(
        *call, kStoreTimeout,
        [this, call = *call](const store::VersionedResult& result, const Transfer& transfer) {
          CountCall(call, result, transfer);
          LogChanges(call, result);
          follower_.OnAnswer(result, core::RuntimeClock::now());
          if (follower_.data_lost()) OnDataLost();
          context_.policy_as_of = follower_.current_as_of();
          // The next page, or the next watch after one without changes, follows
          // immediately.
          if (result) SendStoreCalls();
        });
  }
  if (auto check = follower_.NextCheck(now)) {
    check_channel_.Call(
        *check, kStoreTimeout,
        [this, call = *check](const store::VersionedResult& result, const Transfer& transfer) {
          CountCall(call, result, transfer);
          follower_.OnCheckAnswer(result, core::RuntimeClock::now());
        });
  }
  if (auto lease_call = registration_.Next(now)) {
    lease_channel_.Call(
        *lease_call, kStoreTimeout,
        [this, call = *lease_call](const store::VersionedResult& result, const Transfer& transfer) {
          CountCall(call, result, transfer);
          registration_.OnAnswer(result, core::RuntimeClock::now());
          if (result) SendStoreCalls();
        });
  }
}

void Gateway::CountTransfer(std::string_view source, std::string_view call,
                            const Transfer& transfer) {
  context_.metrics.control_bytes += transfer.bytes;
  if (transfer.duration < kLoggedTransferTime) return;
  events_.Write(StreamEvent::kSlowTransfer, {{"source", source},
                                             {"call", call},
                                             {"bytes", transfer.bytes},
                                             {"ms", Ms(transfer.duration)}});
}

void Gateway::CountCall(const store::VersionedCall& call, const store::VersionedResult& result,
                        const Transfer& transfer) {
  ++context_.metrics.store_calls[call.index()];
  CountTransfer("store", store::kVersionedCallNames[call.index()], transfer);
  if (result) return;
  if (result.error().code == store::CallErrorCode::kHistoryLost) history_lost_ = true;
  ++context_.metrics.store_errors[static_cast<std::size_t>(result.error().code)];
  events_.Write(StreamEvent::kStoreCallFailed,
                {{"call", store::kVersionedCallNames[call.index()]},
                 {"error", store::kCallErrorNames[static_cast<std::size_t>(result.error().code)]},
                 {"detail", result.error().detail},
                 {"bytes", transfer.bytes}});
}

void Gateway::LogChanges(const store::VersionedCall& call, const store::VersionedResult& result) {
  const auto* watch = std::get_if<store::WatchChanges>(&call);
  if (watch == nullptr || !result) return;
  const auto* changes = std::get_if<store::Changes>(&result.value());
  if (changes == nullptr || changes->changes.size() < kLoggedChanges) return;
  events_.Write(StreamEvent::kChangesRead,
                {{"changes", changes->changes.size()},
                 {"from", watch->after.revision().number},
                 {"to", changes->position.revision().number},
                 {"silence_ms", Ms(core::RuntimeClock::now() - follower_.last_success())}});
}

std::optional<store::Era> Gateway::JudgeEra(std::string_view channel,
                                            const store::EraReading& reading, store::Era sent_in) {
  const store::Era known = era_tracker_.era();
  const auto judgement = era_tracker_.OnResponse(reading, sent_in, channel == kCheckChannel);
  ++context_.metrics.store_eras[static_cast<std::size_t>(judgement.finding)];
  using store::EraFinding;
  const bool expected =
      judgement.finding == EraFinding::kSame || judgement.finding == EraFinding::kFirst ||
      judgement.finding == EraFinding::kNext || judgement.finding == EraFinding::kAbsent;
  if (!expected) {
    const auto* era = std::get_if<store::Era>(&reading);
    const auto* unreadable = std::get_if<store::UnreadableEra>(&reading);
    events_.Write(
        StreamEvent::kStoreEraOdd,
        {{"finding", store::kEraFindingNames[static_cast<std::size_t>(judgement.finding)]},
         {"known", known},
         {"era", era != nullptr ? *era : 0},
         {"text", unreadable != nullptr ? unreadable->text : std::string()},
         {"channel", channel},
         {"used", judgement.usable}});
  }
  if (judgement.changed) AdoptEra(known, channel);
  if (!judgement.usable) return std::nullopt;
  return era_tracker_.era();
}

void Gateway::OnPeerEra(const std::string& peer, store::Era era) {
  const store::Era known = era_tracker_.era();
  if (era_tracker_.OnPeer(era)) AdoptEra(known, peer);
}

void Gateway::OnDataLost() {
  const store::Era known = era_tracker_.era();
  if (era_tracker_.OnDataLost()) AdoptEra(known, "revisions");
}

void Gateway::AdoptEra(store::Era known, std::string_view source) {
  const store::Era era = era_tracker_.era();
  const core::TimePoint now = core::RuntimeClock::now();
  ++context_.metrics.store_era_changes;
  if (follower_.known_items() > 0) era_settling_ = EraSettling{now};
  events_.Write(StreamEvent::kStoreEra, {{"known", known},
                                         {"era", era},
                                         {"source", source},
                                         {"revision", follower_.position().revision().number},
                                         {"items", follower_.known_items()}});
  follower_.OnEra(era, now);
  if (era < known) change_log_.Restart(now);
  registration_.OnEra(era, now);
  policy_check_.Begin(now);
}

void Gateway::LogListing() {
  const membership::ListingSummary& listing = follower_.listing();
  const bool dropped = std::any_of(listing.dropped.begin(), listing.dropped.end(),
                                   [](std::uint64_t n) { return n > 0; });
  const bool new_era =
      listing.known != store::Position() && listing.position.era() != listing.known.era();
  const bool went_back = listing.position.revision().number < listing.known.revision().number;
  const bool after_loss = std::exchange(history_lost_, false);
  if (!after_loss && !dropped && !new_era && !went_back && listing.kept == 0) return;
  nlohmann::ordered_json fields{{"known", listing.known.revision().number},
                                {"revision", listing.position.revision().number},
                                {"went_back", went_back},
                                {"era", listing.position.era()},
                                {"pages", listing.pages},
                                {"items", listing.items},
                                {"missing", listing.missing},
                                {"kept", listing.kept},
                                {"deferred", follower_.deferred_removals()}};
  for (std::size_t i = 0; i < listing.dropped.size(); ++i) {
    fields[std::string(membership::kDropReasonNames[i])] = listing.dropped[i];
  }
  events_.Write(StreamEvent::kListingRead, fields);
}

void Gateway::OnItem(const store::Item& item) {
  DecodedItem decoded = codec_.DecodeItem(item);
  bool matters = true;
  if (auto* server = std::get_if<ServerItem>(&decoded)) {
    matters = ApplyServerReport(std::move(server->report), item.position.era());
  } else if (auto* policy = std::get_if<PolicyItem>(&decoded)) {
    ApplyPolicy(std::move(policy->policy), item, SourceName());
  } else if (auto* evacuation = std::get_if<EvacuationItem>(&decoded)) {
    evacuated_.insert(evacuation->failure_domain);
    ApplyEvacuations();
  } else if (std::holds_alternative<OtherItem>(decoded)) {
    auto record = membership::DecodeInstance(item.key, item.value);
    returned_records_.erase(item.key);
    if (record && applying_held_) {
      DeferReturnedRecord(item, *record);
    } else if (record) {
      ApplyRecord(*record);
    }
  } else if (auto* unusable = std::get_if<UnusableItem>(&decoded)) {
    events_.Write(StreamEvent::kEntryRejected, {{"key", item.key},
                                                {"revision", item.position.revision().number},
                                                {"reason", unusable->reason}});
  }
  RelayItem(item, matters || follower_.may_have_been_absent());
}

void Gateway::OnRemoved(const std::string& key) {
  change_log_.Remove(key, follower_.removal_position(), follower_.position(),
                     core::RuntimeClock::now());
  const RemovedItem removed = codec_.DecodeRemoval(key);
  if (const auto* server = std::get_if<RemovedServer>(&removed)) {
    RemoveServer(server->id);
  } else if (const auto* evacuation = std::get_if<RemovedEvacuation>(&removed)) {
    evacuated_.erase(evacuation->failure_domain);
    ApplyEvacuations();
  } else if (key.rfind(membership::kInstancePrefix, 0) == 0) {
    const std::string name = key.substr(membership::kInstancePrefix.size());
    returned_records_.erase(key);
    instances_.erase(name);
    context_.server_limits.OnStated(name, {}, core::RuntimeClock::now());
    instances_changed_ = true;
  }
}

void Gateway::OnSynced() {
  LogListing();
  change_log_.OnListed(follower_.position());
  CheckPolicy();
  // Other instances' lookups and shares depend on this instance's record being listed.
  const core::TimePoint now = core::RuntimeClock::now();
  if (instances_.count(settings_.instance) > 0 || context_.stop) {
    record_missing_since_ = core::TimePoint{};
  } else if (record_missing_since_ == core::TimePoint{}) {
    record_missing_since_ = now;
  } else if (now - record_missing_since_ > kRecordMissingTimeout) {
    registration_.OnRecordMissing();
    record_missing_since_ = core::TimePoint{};
  }
}

std::string_view Gateway::SourceName() const noexcept {
  return membership::kItemSourceNames[static_cast<std::size_t>(follower_.source())];
}

void Gateway::ApplyEvacuations() {
  core::Duration cold{0};
  if (context_.routes) {
    for (const auto& it : context_.routes->policy().services) {
      cold = std::max<core::Duration>(cold, it.cold_duration);
    }
  }
  context_.servers.SetEvacuated(evacuated_, cold, core::RuntimeClock::now());
  events_.Write(StreamEvent::kEvacuation, {{"failure_domains", evacuated_}});
}

void Gateway::UpdateFleet() {
  const core::TimePoint now = core::RuntimeClock::now();
  std::uint32_t count = 0;
  std::uint32_t rank = 0;
  bool own = false;
  std::map<std::string, std::vector<std::string>> names_by_region;
  for (const auto& [name, record] : instances_) {
    names_by_region[record.region].push_back(name);
    if (name < settings_.instance) ++rank;
    if (name == settings_.instance) own = true;
    ++count;
  }
  if (!own) {
    ++count;
    names_by_region[settings_.region].push_back(settings_.instance);
  }
  context_.server_limits.SetInstances(std::move(names_by_region));
  if (count >= fleet_peak_ || now - fleet_peak_at_ > kFleetShrinkDelay) {
    if (count != fleet_peak_) events_.Write(StreamEvent::kFleet, {{"instances", count}});
    fleet_peak_ = count;
    fleet_peak_at_ = now;
  }
  if (count != last_fleet_size_) {
    last_fleet_size_ = count;
    fleet_size_changed_at_ = now;
  }
  fleet_settled_ = fleet_settled_ || (own && now - fleet_size_changed_at_ >= kFleetSettleTime);
  context_.fleet.SetFleet(fleet_peak_, rank, fleet_settled_);
  std::map<std::string, steering::Sender> senders;
  for (const auto& [name, record] : instances_) {
    senders.emplace_hint(senders.end(), name, steering::Sender{record.region, record.link_mbps});
  }
  context_.fleet.senders().Update(senders, settings_.instance, follower_.current_as_of(), now);
}

void Gateway::LogPaces() {
  for (const auto& it : context_.servers.pace_log().Take()) {
    events_.Write(StreamEvent::kServerPace,
                  {{"server", it.server},
                   {"service", it.service},
                   {"change", steering::kPaceChangeNames[static_cast<std::size_t>(it.change)]},
                   {"reason", steering::kPaceReasonNames[static_cast<std::size_t>(it.reason)]},
                   {"window", it.window},
                   {"cold", it.cold}});
  }
}

void Gateway::LogSplits() {
  for (const auto& [service, split] : context_.picker.splits()) {
    auto& logged = logged_splits_[service];
    const bool changed =
        std::any_of(split.shares().begin(), split.shares().end(), [&logged](const auto& it) {
          return std::abs(it.second - logged[it.first]) >= kLoggedShareChange;
        });
    if (!changed) continue;
    logged = split.shares();
    events_.Write(StreamEvent::kRegionSplit, {{"service", service}, {"shares", logged}});
  }
}

bool Gateway::Ready() const noexcept {
  const bool open = std::all_of(bindings_.begin(), bindings_.end(), [](const Binding& it) {
    return !it.required || it.listener.open();
  });
  return open && !context_.stop && context_.routes != nullptr && follower_.synced() &&
         context_.servers.size() > 0;
}

void Gateway::UpdateReadiness() {
  const bool ready = Ready();
  registration_.SetReady(ready);
  if (ready == was_ready_) return;
  was_ready_ = ready;
  events_.Write(
      StreamEvent::kReady,
      {{"ready", ready}, {"servers", context_.servers.size()}, {"instances", instances_.size()}});
}

}  // namespace vanilladeck::gateway

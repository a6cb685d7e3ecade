#include "membership/model_instance.h"

#include <memory>
#include <sstream>
#include <utility>

namespace vanilladeck::testing {
namespace {

using membership::FeedPeer;
using membership::PeerChanges;

// The limits of `gateway::Gateway`.
constexpr core::Duration kStoreTimeout = Ms(1200);
constexpr core::Duration kFallbackStart = Ms(1500);
constexpr core::Duration kFallbackInterval = Ms(1000);
constexpr core::Duration kItemTimeout = Ms(1000);
// One-way delays to the store and to other instances.
constexpr int kMinStoreDelayMs = 2;
constexpr int kMaxStoreDelayMs = 60;
constexpr int kMinPeerDelayMs = 1;
constexpr int kMaxPeerDelayMs = 20;

membership::FollowerSettings FollowerSettingsOf() {
  membership::FollowerSettings settings;
  settings.check_prefix = "op/";
  return settings;
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.rfind(prefix, 0) == 0;
}

/// Set once by an answer or by the end of its time.
using Answered = std::shared_ptr<bool>;

}  // namespace

std::string EncodeModelReport(const steering::ServerReport& report) {
  return std::to_string(report.born_ms) + ' ' + std::to_string(report.sequence) + ' ' +
         (report.state == steering::ServerState::kDraining ? "draining" : "ready");
}

steering::ServerReport DecodeModelReport(const std::string& id, const std::string& value) {
  steering::ServerReport report;
  report.id = id;
  report.service = "service";
  report.address = id;
  report.failure_domain = "domain";
  std::istringstream in(value);
  std::string state;
  in >> report.born_ms >> report.sequence >> state;
  if (state == "draining") report.state = steering::ServerState::kDraining;
  return report;
}

ModelInstance::ModelInstance(Timeline& timeline, ModelStore& store, std::string name, Lookup lookup)
    : timeline_(timeline),
      store_(store),
      name_(std::move(name)),
      lookup_(std::move(lookup)),
      settings_(FollowerSettingsOf()),
      follower_(settings_, {[this](const store::Item& item) { OnItem(item); },
                            [this](const std::string& key) { OnRemoved(key); },
                            [this] { change_log_.OnListed(follower_.position()); }, nullptr}),
      change_log_(name_ + '/' + std::to_string(timeline.WallMs()), settings_.check_prefix),
      feed_source_(name_),
      servers_([](const std::string&) { return std::string("region"); }) {}

void ModelInstance::SlowUntil(core::TimePoint until, core::Duration delay) {
  slow_until_ = until;
  slowness_ = delay;
}

void ModelInstance::SetPeers(const std::vector<FeedPeer>& peers) {
  peers_ = peers;
  feed_source_.SetPeers(peers);
}

void ModelInstance::Deliver(std::function<void()> event) {
  if (!paused()) {
    event();
    return;
  }
  timeline_.At(paused_until_,
               [this, event = std::move(event)]() mutable { Deliver(std::move(event)); });
}

void ModelInstance::Tick() {
  if (paused()) return;
  follower_.Tick(timeline_.now());
  SendStoreCalls();
  QueryFallback();
}

void ModelInstance::SendStoreCalls() {
  const core::TimePoint now = timeline_.now();
  const FeedPeer* peer = feed_source_.Choose(now);
  if (auto call = follower_.Next(now)) {
    if (peer != nullptr && follower_.CanAskPeer(*call)) {
      AskPeer(peer->name, [this, name = peer->name](std::optional<PeerChanges> changes) {
        OnPeerResponse(name, std::move(changes));
      });
    } else {
      CallStore(*call, [this](const store::VersionedResult& result) {
        follower_.OnAnswer(result, timeline_.now());
        if (result) SendStoreCalls();
      });
    }
  }
  if (auto check = follower_.NextCheck(now)) {
    CallStore(*check, [this](const store::VersionedResult& result) {
      follower_.OnCheckAnswer(result, timeline_.now());
    });
  }
}

void ModelInstance::CallStore(const store::VersionedCall& call, const StoreDone& done) {
  const core::TimePoint now = timeline_.now();
  core::TimePoint deadline = now + kStoreTimeout;
  if (const auto* watch = std::get_if<store::WatchChanges>(&call)) deadline += watch->wait;
  const store::Era sent_in = era_tracker_.era();
  const auto answered = std::make_shared<bool>(false);
  timeline_.At(deadline, [this, answered, done] {
    Deliver([answered, done] {
      if (std::exchange(*answered, true)) return;
      done(store::CallError{store::CallErrorCode::kNoAnswer, "no answer"});
    });
  });
  timeline_.After(timeline_.RandomMs(kMinStoreDelayMs, kMaxStoreDelayMs), [=, this] {
    if (timeline_.now() < cut_until_) return;
    store_.Call(call, [=, this](const ModelResponse& response) {
      core::Duration delay = timeline_.RandomMs(kMinStoreDelayMs, kMaxStoreDelayMs);
      if (timeline_.now() < slow_until_) delay += slowness_;
      timeline_.After(delay, [=, this] {
        Deliver([=, this] {
          if (timeline_.now() < cut_until_ || std::exchange(*answered, true)) return;
          const auto judgement = era_tracker_.OnResponse(response.era, sent_in);
          if (judgement.changed) follower_.OnEra(era_tracker_.era(), timeline_.now());
          if (judgement.usable) {
            done(response.result);
          } else {
            done(store::CallError{store::CallErrorCode::kOtherEra, "other era"});
          }
        });
      });
    });
  });
}

void ModelInstance::OnPeerEra(store::Era era) {
  if (era_tracker_.OnPeer(era)) follower_.OnEra(era_tracker_.era(), timeline_.now());
}

void ModelInstance::AskPeer(const std::string& peer,
                            const std::function<void(std::optional<PeerChanges>)>& done) {
  membership::PeerPosition& known = peer_positions_[peer];
  known.position = follower_.position();
  const PeerRequest request{known, follower_.era()};
  const auto answered = std::make_shared<bool>(false);
  timeline_.After(membership::FeedSource::kAnswerTimeout, [=, this] {
    Deliver([=] {
      if (!std::exchange(*answered, true)) done(std::nullopt);
    });
  });
  timeline_.After(timeline_.RandomMs(kMinPeerDelayMs, kMaxPeerDelayMs), [=, this] {
    ModelInstance* other = lookup_(peer);
    if (other == nullptr) return;
    other->Deliver([=, this] {
      auto changes = other->Serve(request);
      // Through the text of a message, as between processes.
      const std::string text = changes ? membership::EncodePeerChanges(*changes) : std::string();
      timeline_.After(timeline_.RandomMs(kMinPeerDelayMs, kMaxPeerDelayMs), [=, this] {
        Deliver([=] {
          if (!std::exchange(*answered, true)) done(membership::DecodePeerChanges(text));
        });
      });
    });
  });
}

std::optional<PeerChanges> ModelInstance::Serve(const PeerRequest& request) {
  OnPeerEra(request.era);
  if (!follower_.synced()) return std::nullopt;
  const core::TimePoint now = timeline_.now();
  PeerChanges changes = change_log_.Since(request.known, now);
  changes.position = follower_.position();
  changes.kept = follower_.Kept(changes.full ? store::Position() : request.known.position, now);
  if (changes.full) follower_.AddHeld(changes);
  changes.grace_left = follower_.GraceLeft(now);
  changes.age = now - follower_.last_success();
  changes.relayed = feed_source_.Choose(now) != nullptr;
  changes.unheard = now - follower_.last_heard();
  changes.behind = now - follower_.current_as_of();
  return changes;
}

void ModelInstance::OnPeerResponse(const std::string& peer, std::optional<PeerChanges> changes) {
  const core::TimePoint now = timeline_.now();
  if (changes) {
    OnPeerEra(changes->position.era());
    follower_.OnPeerHeardStore(now - changes->unheard);
  }
  const bool usable = changes && follower_.IsUsable(*changes);
  if (changes && !usable && follower_.AwaitsPeerEra(now)) {
    follower_.OnPeerBehind(membership::FeedSource::kPollInterval, now);
    return;
  }
  const bool current =
      changes && membership::FeedSource::IsCurrent(std::max(changes->age, changes->behind),
                                                   settings_.poll_interval);
  if (current && usable && !changes->relayed) {
    peer_positions_[peer] = {changes->epoch, changes->log_position, changes->position};
    follower_.OnPeerChanges(*changes, membership::FeedSource::kPollInterval, now);
    if (changes->full) change_log_.OnListed(follower_.position());
    ReadAwaitedItem(peer);
    return;
  }
  feed_source_.OnFailure(peer, now);
  follower_.OnPeerFailed(now);
  SendStoreCalls();
}

void ModelInstance::QueryFallback() {
  const core::TimePoint now = timeline_.now();
  const bool current =
      feed_source_.IsOwnStateCurrent(now - follower_.last_success(), settings_.poll_interval, now);
  if (follower_.listed() && current) return;
  if (next_fallback_ == core::TimePoint{}) next_fallback_ = now + kFallbackStart;
  if (now < next_fallback_ || asking_fallback_) return;
  next_fallback_ = now + kFallbackInterval;
  const FeedPeer* peer = feed_source_.ChooseWithoutStore(peers_);
  if (peer == nullptr) return;
  asking_fallback_ = true;
  AskPeer(peer->name, [this, name = peer->name](std::optional<PeerChanges> changes) {
    asking_fallback_ = false;
    OnFallbackResponse(name, std::move(changes));
  });
}

void ModelInstance::OnFallbackResponse(const std::string& peer,
                                       std::optional<PeerChanges> changes) {
  const core::TimePoint now = timeline_.now();
  if (!changes) {
    feed_source_.OnFailure(peer, now);
    return;
  }
  OnPeerEra(changes->position.era());
  follower_.OnPeerHeardStore(now - changes->unheard);
  const bool usable = follower_.IsUsable(*changes);
  if (!usable || !membership::FeedSource::IsCurrent(changes->age, settings_.poll_interval)) {
    feed_source_.OnFailure(peer, now);
  }
  if (usable) peer_positions_[peer] = {changes->epoch, changes->log_position, changes->position};
  follower_.OnFallbackChanges(*changes, now);
  if (usable && changes->full) change_log_.OnListed(follower_.position());
  ReadAwaitedItem(peer);
}

void ModelInstance::ReadAwaitedItem(const std::string& peer) {
  if (reading_item_ || follower_.awaited().empty()) return;
  const auto [key, position] = *follower_.awaited().begin();
  reading_item_ = true;
  const auto answered = std::make_shared<bool>(false);
  const auto finish = [=, this, key = key,
                       position = position](const std::shared_ptr<const store::Item>& item) {
    if (std::exchange(*answered, true)) return;
    reading_item_ = false;
    if (item) OnPeerEra(item->position.era());
    if (item && item->position.era() <= follower_.era() && item->position >= position) {
      follower_.OnItemRead(*item);
      ReadAwaitedItem(peer);
      return;
    }
    feed_source_.OnFailure(peer, timeline_.now());
  };
  timeline_.After(kItemTimeout, [=, this] { Deliver([=] { finish(nullptr); }); });
  timeline_.After(timeline_.RandomMs(kMinPeerDelayMs, kMaxPeerDelayMs), [=, this, key = key] {
    ModelInstance* other = lookup_(peer);
    if (other == nullptr) return;
    other->Deliver([=, this] {
      const store::Item* found = other->change_log_.Find(key);
      const auto item = found == nullptr ? nullptr : std::make_shared<const store::Item>(*found);
      timeline_.After(timeline_.RandomMs(kMinPeerDelayMs, kMaxPeerDelayMs),
                      [=, this] { Deliver([=] { finish(item); }); });
    });
  });
}

void ModelInstance::OnItem(const store::Item& item) {
  bool matters = true;
  if (HasPrefix(item.key, kModelServerPrefix)) {
    const std::string id = item.key.substr(std::string(kModelServerPrefix).size());
    matters = ApplyServerReport(DecodeModelReport(id, item.value), item.position.era());
  } else if (item.key == kModelPolicyKey) {
    policy_ = std::max<std::int64_t>(policy_, std::stoll(item.value));
  } else {
    evacuated_.insert(item.key);
  }
  change_log_.Put(item, matters || follower_.may_have_been_absent(), timeline_.now(),
                  follower_.position());
}

bool ModelInstance::ApplyServerReport(steering::ServerReport report, store::Era era) {
  using Verdict = steering::DepartedServers::Verdict;
  const core::TimePoint now = timeline_.now();
  const auto old = servers_.Find(report.id);
  if (!old) {
    const auto verdict = departed_.OnReport(report, era, now);
    if (verdict == Verdict::kLeaving) report.state = steering::ServerState::kDraining;
    if (verdict == Verdict::kOutdated) return true;
  }
  const bool outdated =
      old && (report.born_ms < old->report.born_ms ||
              (report.born_ms == old->report.born_ms && report.sequence < old->report.sequence));
  const bool was_outdated = outdated_items_.erase(report.id) > 0;
  if (outdated) outdated_items_.insert(report.id);
  const auto change = servers_.OnReport(report, now);
  return change != steering::ServerSet::Change::kNone || was_outdated;
}

void ModelInstance::OnRemoved(const std::string& key) {
  change_log_.Remove(key, follower_.removal_position(), follower_.position(), timeline_.now());
  if (HasPrefix(key, kModelServerPrefix)) {
    const std::string id = key.substr(std::string(kModelServerPrefix).size());
    if (on_server_removed) on_server_removed(id);
    const auto server = servers_.Find(id);
    if (!servers_.OnRemoved(id)) return;
    outdated_items_.erase(id);
    departed_.OnRemoved(*server, follower_.removal_position().era(), timeline_.now());
  } else {
    evacuated_.erase(key);
  }
}

}  // namespace vanilladeck::testing

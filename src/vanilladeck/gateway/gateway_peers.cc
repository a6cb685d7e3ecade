#include <algorithm>
#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/gateway.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/http/endpoint.h"

/// Queries other instances for changes and, if the store does not answer, for their whole state.
namespace vanilladeck::gateway {
namespace {

using std::chrono::milliseconds;
using telemetry::StreamEvent;

// Listing the store at startup takes less than this unless the store is unreachable.
constexpr core::Duration kSeedStartDelay = milliseconds(1500);
// Instances are queried one after another; a whole state may take a second on a slow link.
constexpr core::Duration kFallbackInterval = milliseconds(1000);

std::int64_t Ms(core::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

PeerSender Gateway::Sender() const {
  return {settings_.instance, context_.server_limits.Stated(core::RuntimeClock::now()),
          follower_.era(), PolicyVersion()};
}

void Gateway::QueryPeer(const membership::FeedPeer& peer) {
  membership::PeerPosition& known = peer_positions_[peer.name];
  known.position = follower_.position();
  const core::TimePoint deadline =
      core::RuntimeClock::now() + membership::FeedSource::kAnswerTimeout;
  peer_channel_.Call(
      peer, EncodePeerRequest(known, Sender()), deadline,
      [this, peer](const ExchangeOutcome& outcome) { OnPeerResponse(peer, outcome); });
}

void Gateway::OnPeerResponse(const membership::FeedPeer& peer, const ExchangeOutcome& outcome) {
  const core::TimePoint now = core::RuntimeClock::now();
  CountTransfer(peer.name, "changes", outcome.transfer);
  std::optional<membership::PeerChanges> changes;
  std::string reason = outcome.detail;
  if (outcome.status == ExchangeStatus::kResponse && outcome.response.result_int() == 200) {
    changes = membership::DecodePeerChanges(outcome.response.body());
    if (!changes) reason = "malformed";
  }
  if (changes) {
    OnPeerEra(peer.name, changes->position.era());
    follower_.OnPeerHeardStore(now - changes->unheard);
  }
  const bool usable = changes && follower_.IsUsable(*changes);
  if (changes && !usable && follower_.AwaitsPeerEra(now)) {
    follower_.OnPeerBehind(membership::FeedSource::kPollInterval, now);
    return;
  }
  // A peer that lists the store hears it with each page, but lacks the changes made since the start
  // of the listing.
  const bool current =
      changes && membership::FeedSource::IsCurrent(std::max(changes->age, changes->behind),
                                                   settings_.follower.poll_interval);
  if (current && usable && !changes->relayed) {
    peer_positions_[peer.name] = {changes->epoch, changes->log_position, changes->position};
    follower_.OnPeerChanges(*changes, membership::FeedSource::kPollInterval, now);
    if (changes->full) change_log_.OnListed(follower_.position());
    context_.server_limits.OnStated(std::string(kRelay), changes->server_limits, now);
    OnPeerPolicy(peer, changes->policy_version);
    context_.policy_as_of = follower_.current_as_of();
    ReadAwaitedItem(peer);
    return;
  }
  if (changes && !usable) {
    const store::Era era = changes->position.era();
    reason = era < follower_.era()   ? "state of the peer is of an older era"
             : era > follower_.era() ? "era of the peer is not confirmed"
                                     : "the peer sent no whole state of the new era";
  } else if (changes) {
    reason = current ? "asks another instance itself" : "state of the peer is too old";
  }
  feed_source_.OnFailure(peer.name, now);
  events_.Write(StreamEvent::kPeerFailed, {{"peer", peer.name},
                                           {"reason", reason},
                                           {"age_ms", changes ? Ms(changes->age) : 0},
                                           {"bytes", outcome.transfer.bytes}});
  follower_.OnPeerFailed(now);
  SendStoreCalls();
}

void Gateway::ReadAwaitedItem(const membership::FeedPeer& peer) {
  if (item_channel_.busy() || follower_.awaited().empty()) return;
  const auto& [key, position] = *follower_.awaited().begin();
  item_channel_.Call(peer, EncodeItemRequest(key),
                     core::RuntimeClock::now() + PeerChannel::kItemTimeout,
                     [this, peer, key = key, position = position](const ExchangeOutcome& outcome) {
                       OnItemResponse(peer, {key, position}, outcome);
                     });
}

void Gateway::OnItemResponse(const membership::FeedPeer& peer,
                             const membership::ItemReference& awaited,
                             const ExchangeOutcome& outcome) {
  CountTransfer(peer.name, "item", outcome.transfer);
  std::string reason = outcome.detail;
  if (outcome.status == ExchangeStatus::kResponse) {
    const auto item = DecodeItemResponse(awaited.key, outcome.response);
    if (item) OnPeerEra(peer.name, item->position.era());
    const bool confirmed = item && item->position.era() <= follower_.era();
    if (confirmed && item->position >= awaited.position) {
      follower_.OnItemRead(*item);
      ReadAwaitedItem(peer);
      return;
    }
    reason = !item       ? "malformed item"
             : confirmed ? "item of the peer is too old"
                         : "era of the peer is not confirmed";
  }
  // The next poll asks another instance or the store.
  feed_source_.OnFailure(peer.name, core::RuntimeClock::now());
  events_.Write(
      StreamEvent::kPeerFailed,
      {{"peer", peer.name}, {"reason", reason}, {"age_ms", 0}, {"bytes", outcome.transfer.bytes}});
}

void Gateway::QueryFallback(core::TimePoint now) {
  const bool current = feed_source_.IsOwnStateCurrent(now - follower_.last_success(),
                                                      settings_.follower.poll_interval, now);
  if (follower_.listed() && current) return;
  if (next_fallback_query_ == core::TimePoint{}) next_fallback_query_ = now + kSeedStartDelay;
  if (now < next_fallback_query_ || fallback_channel_.busy()) return;
  next_fallback_query_ = now + kFallbackInterval;
  membership::FeedPeer peer;
  membership::PeerPosition known;
  // The state of a seed may be old and name instances that have stopped, so seeds and known
  // instances take turns until the store has been listed.
  if (follower_.listed() || (follower_.synced() && seed_asked_last_)) {
    seed_asked_last_ = false;
    const auto others = KnownPeers();
    const membership::FeedPeer* chosen = feed_source_.ChooseWithoutStore(others);
    if (chosen == nullptr) return;
    peer = *chosen;
    known = peer_positions_[peer.name];
    known.position = follower_.position();
  } else if (!settings_.seeds.empty()) {
    seed_asked_last_ = true;
    const auto& seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
    if (seed == settings_.peers) return;
    peer.name = http::EndpointText(seed);
    peer.address = peer.name;
  } else {
    return;
  }
  fallback_channel_.Call(
      peer, EncodePeerRequest(known, Sender()), now + kFallbackInterval,
      [this, peer](const ExchangeOutcome& outcome) { OnFallbackResponse(peer, outcome); });
}

void Gateway::OnFallbackResponse(const membership::FeedPeer& peer, const ExchangeOutcome& outcome) {
  const core::TimePoint now = core::RuntimeClock::now();
  const std::string& name = peer.name;
  CountTransfer(name, "changes", outcome.transfer);
  std::optional<membership::PeerChanges> changes;
  std::string reason = outcome.detail;
  if (outcome.status == ExchangeStatus::kResponse) {
    reason = "status " + std::to_string(outcome.response.result_int());
    if (outcome.response.result_int() == 200) {
      changes = membership::DecodePeerChanges(outcome.response.body());
      reason = "malformed";
    }
  }
  if (!changes) {
    feed_source_.OnFailure(name, now);
    events_.Write(
        StreamEvent::kPeerFailed,
        {{"peer", name}, {"reason", reason}, {"age_ms", 0}, {"bytes", outcome.transfer.bytes}});
    return;
  }
  OnPeerEra(name, changes->position.era());
  follower_.OnPeerHeardStore(now - changes->unheard);
  const bool usable = follower_.IsUsable(*changes);
  if (!usable ||
      !membership::FeedSource::IsCurrent(changes->age, settings_.follower.poll_interval)) {
    feed_source_.OnFailure(name, now);
  }
  if (usable && changes->full) {
    events_.Write(StreamEvent::kSeedState,
                  {{"seed", name},
                   {"revision", changes->position.revision().number},
                   {"age_ms", Ms(changes->age)},
                   {"items", changes->changes.size() + changes->references.size()}});
  }
  if (usable && instances_.count(name) > 0) {
    peer_positions_[name] = {changes->epoch, changes->log_position, changes->position};
  }
  follower_.OnFallbackChanges(*changes, now);
  if (usable && changes->full) change_log_.OnListed(follower_.position());
  OnPeerPolicy(peer, changes->policy_version);
  context_.policy_as_of = follower_.current_as_of();
  ReadAwaitedItem(peer);
}

std::vector<membership::FeedPeer> Gateway::KnownPeers() const {
  std::vector<membership::FeedPeer> peers;
  for (const auto& [name, record] : instances_) {
    if (!record.peer_address.empty()) peers.push_back({name, record.peer_address});
  }
  return peers;
}

void Gateway::UpdateFeedPeers() {
  std::vector<membership::FeedPeer> peers;
  for (const auto& [name, record] : instances_) {
    if (record.region != settings_.region || !record.ready || record.peer_address.empty()) continue;
    peers.push_back({name, record.peer_address, record.link_mbps});
  }
  for (auto it = peer_positions_.begin(); it != peer_positions_.end();) {
    it = instances_.count(it->first) == 0 ? peer_positions_.erase(it) : std::next(it);
  }
  feed_source_.SetPeers(std::move(peers));
}

}  // namespace vanilladeck::gateway

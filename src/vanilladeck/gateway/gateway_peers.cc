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

void Gateway::QueryPeer(const membership::FeedPeer& peer) {
  const core::TimePoint deadline =
      core::RuntimeClock::now() + membership::FeedSource::kAnswerTimeout;
  const auto ask = [this, peer, deadline] {
    membership::PeerPosition& known = peer_positions_[peer.name];
    known.revision = follower_.revision();
    peer_connection_->Exchange(
        EncodePeerRequest(known), false, deadline, nullptr,
        [this, peer](const ExchangeOutcome& outcome) { OnPeerResponse(peer, outcome); });
  };
  if (peer_connection_ && peer_name_ == peer.name && peer_connection_->reusable() &&
      peer_connection_->IsStillIdle()) {
    ask();
    return;
  }
  if (peer_connection_) peer_connection_->Cancel();
  peer_name_ = peer.name;
  peer_connection_ = std::make_shared<UpstreamConnection>(
      io_, context_.deadlines, context_.messages, UpstreamRole::kControl);
  const auto endpoint = http::ParseEndpoint(peer.address);
  if (!endpoint) {
    OnPeerResponse(peer, {});
    return;
  }
  peer_connection_->Connect(*endpoint, deadline, [this, peer, ask](boost::system::error_code ec) {
    if (ec) {
      ExchangeOutcome outcome;
      outcome.detail = ec.message();
      OnPeerResponse(peer, outcome);
    } else {
      ask();
    }
  });
}

void Gateway::OnPeerResponse(const membership::FeedPeer& peer, const ExchangeOutcome& outcome) {
  const core::TimePoint now = core::RuntimeClock::now();
  CountTransfer(peer.name, "changes", outcome.transfer);
  if (outcome.status == ExchangeStatus::kResponse && peer_connection_->reusable()) {
    peer_connection_->WatchIdle(nullptr);
  }
  std::optional<membership::PeerChanges> changes;
  std::string reason = outcome.detail;
  if (outcome.status == ExchangeStatus::kResponse && outcome.response.result_int() == 200) {
    changes = membership::DecodePeerChanges(outcome.response.body());
    if (!changes) reason = "malformed";
  }
  if (changes &&
      membership::FeedSource::IsCurrent(changes->age, settings_.follower.poll_interval)) {
    peer_positions_[peer.name] = {changes->epoch, changes->position, changes->revision};
    follower_.OnPeerChanges(*changes, membership::FeedSource::kPollInterval, now);
    context_.policy_as_of = follower_.current_as_of();
    return;
  }
  if (changes) reason = "state of the peer is too old";
  feed_source_.OnFailure(peer.name, now);
  events_.Write(StreamEvent::kPeerFailed, {{"peer", peer.name},
                                           {"reason", reason},
                                           {"age_ms", changes ? Ms(changes->age) : 0},
                                           {"bytes", outcome.transfer.bytes}});
  follower_.OnPeerFailed(now);
  SendStoreCalls();
}

void Gateway::QueryFallback(core::TimePoint now) {
  const bool current = feed_source_.IsOwnStateCurrent(now - follower_.last_success(),
                                                      settings_.follower.poll_interval, now);
  if (follower_.listed() && current) {
    fallback_connection_ = nullptr;
    fallback_in_flight_ = false;
    return;
  }
  if (next_fallback_query_ == core::TimePoint{}) next_fallback_query_ = now + kSeedStartDelay;
  if (now < next_fallback_query_ || fallback_in_flight_) return;
  next_fallback_query_ = now + kFallbackInterval;
  std::string name;
  std::optional<boost::asio::ip::tcp::endpoint> endpoint;
  membership::PeerPosition known;
  // The state of a seed may be old and name instances that have stopped, so seeds and known
  // instances take turns until the store has been listed.
  if (follower_.listed() || (follower_.synced() && seed_asked_last_)) {
    seed_asked_last_ = false;
    const auto others = KnownPeers();
    const membership::FeedPeer* peer = feed_source_.ChooseWithoutStore(others);
    if (peer == nullptr) return;
    name = peer->name;
    endpoint = http::ParseEndpoint(peer->address);
    known = peer_positions_[name];
    known.revision = follower_.revision();
  } else if (!settings_.seeds.empty()) {
    seed_asked_last_ = true;
    endpoint = settings_.seeds[next_seed_++ % settings_.seeds.size()];
    if (endpoint == settings_.peers) return;
    name = http::EndpointText(*endpoint);
  }
  if (!endpoint) return;
  fallback_in_flight_ = true;
  fallback_connection_ = std::make_shared<UpstreamConnection>(
      io_, context_.deadlines, context_.messages, UpstreamRole::kControl);
  const core::TimePoint deadline = now + kFallbackInterval;
  fallback_connection_->Connect(*endpoint, deadline,
                                [this, connection = fallback_connection_, name, known,
                                 deadline](boost::system::error_code ec) {
                                  if (connection != fallback_connection_) return;
                                  if (ec) {
                                    ExchangeOutcome outcome;
                                    outcome.detail = ec.message();
                                    OnFallbackResponse(name, outcome);
                                    return;
                                  }
                                  connection->Exchange(
                                      EncodePeerRequest(known), false, deadline, nullptr,
                                      [this, connection, name](const ExchangeOutcome& outcome) {
                                        if (connection == fallback_connection_) {
                                          OnFallbackResponse(name, outcome);
                                        }
                                      });
                                });
}

void Gateway::OnFallbackResponse(const std::string& name, const ExchangeOutcome& outcome) {
  const core::TimePoint now = core::RuntimeClock::now();
  fallback_in_flight_ = false;
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
  if (!membership::FeedSource::IsCurrent(changes->age, settings_.follower.poll_interval)) {
    feed_source_.OnFailure(name, now);
  }
  if (changes->full) {
    events_.Write(StreamEvent::kSeedState, {{"seed", name},
                                            {"revision", changes->revision},
                                            {"age_ms", Ms(changes->age)},
                                            {"items", changes->changes.size()}});
  }
  if (instances_.count(name) > 0) {
    peer_positions_[name] = {changes->epoch, changes->position, changes->revision};
  }
  follower_.OnFallbackChanges(*changes, now);
  context_.policy_as_of = follower_.current_as_of();
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
    peers.push_back({name, record.peer_address});
  }
  for (auto it = peer_positions_.begin(); it != peer_positions_.end();) {
    it = instances_.count(it->first) == 0 ? peer_positions_.erase(it) : std::next(it);
  }
  feed_source_.SetPeers(std::move(peers));
}

}  // namespace vanilladeck::gateway

#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/gateway.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/http/endpoint.h"

/// Queries other instances for changes and, at startup, for their whole state.
namespace vanilladeck::gateway {
namespace {

using std::chrono::milliseconds;
using telemetry::StreamEvent;

// Listing the store at startup takes less than this unless the store is unreachable.
constexpr core::Duration kSeedStartDelay = milliseconds(1500);
// Seeds are queried one after another; a whole state may take a second on a slow link.
constexpr core::Duration kSeedInterval = milliseconds(1000);

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
    return;
  }
  if (changes) reason = "state of the peer is too old";
  feed_source_.OnFailure(peer.name, now);
  events_.Write(
      StreamEvent::kPeerFailed,
      {{"peer", peer.name}, {"reason", reason}, {"age_ms", changes ? Ms(changes->age) : 0}});
  follower_.OnPeerFailed(now);
  SendStoreCalls();
}

void Gateway::QuerySeed(core::TimePoint now) {
  if (follower_.listed()) {
    seed_connection_ = nullptr;
    return;
  }
  if (next_seed_query_ == core::TimePoint{}) next_seed_query_ = now + kSeedStartDelay;
  if (now < next_seed_query_ || settings_.seeds.empty()) return;
  next_seed_query_ = now + kSeedInterval;
  const auto seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
  if (seed == settings_.peers) return;
  if (seed_connection_) seed_connection_->Cancel();
  seed_connection_ = std::make_shared<UpstreamConnection>(
      io_, context_.deadlines, context_.messages, UpstreamRole::kControl);
  const std::string name = http::EndpointText(seed);
  const core::TimePoint deadline = now + kSeedInterval;
  seed_connection_->Connect(
      seed, deadline,
      [this, connection = seed_connection_, name, deadline](boost::system::error_code ec) {
        if (connection != seed_connection_) return;
        if (ec) {
          ExchangeOutcome outcome;
          outcome.detail = ec.message();
          OnSeedResponse(name, outcome);
          return;
        }
        connection->Exchange(EncodePeerRequest({}), false, deadline, nullptr,
                             [this, connection, name](const ExchangeOutcome& outcome) {
                               if (connection == seed_connection_) OnSeedResponse(name, outcome);
                             });
      });
}

void Gateway::OnSeedResponse(const std::string& seed, const ExchangeOutcome& outcome) {
  std::string reason = outcome.detail;
  if (outcome.status == ExchangeStatus::kResponse) {
    reason = "status " + std::to_string(outcome.response.result_int());
    if (outcome.response.result_int() == 200) {
      if (const auto changes = membership::DecodePeerChanges(outcome.response.body())) {
        events_.Write(StreamEvent::kSeedState, {{"seed", seed},
                                                {"revision", changes->revision},
                                                {"age_ms", Ms(changes->age)},
                                                {"items", changes->changes.size()}});
        follower_.OnSeedState(*changes, core::RuntimeClock::now());
        return;
      }
      reason = "malformed";
    }
  }
  events_.Write(StreamEvent::kPeerFailed, {{"peer", seed}, {"reason", reason}, {"age_ms", 0}});
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

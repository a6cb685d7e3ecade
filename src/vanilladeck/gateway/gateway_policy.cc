#include <algorithm>
#include <nlohmann/json.hpp>

#include "vanilladeck/core/hash.h"
#include "vanilladeck/gateway/departure_messages.h"
#include "vanilladeck/gateway/gateway.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/http/endpoint.h"

/// Puts policies in force by their version, and takes from other instances what the store has lost.
namespace vanilladeck::gateway {
namespace {

using telemetry::StreamEvent;

std::int64_t Ms(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Within this time a peer of another region is connected to and answers, in twice 0.11 s.
constexpr core::Duration kVersionTimeout = membership::FeedSource::kAnswerTimeout;
// A hold that is shorter is not logged.
constexpr std::int64_t kLoggedHoldMs = 50;

}  // namespace

std::uint64_t Gateway::PolicyVersion() const noexcept {
  return context_.routes ? context_.routes->version() : 0;
}

const store::Item* Gateway::PolicyItemInForce() const noexcept {
  return policy_in_force_.key.empty() ? nullptr : &policy_in_force_;
}

void Gateway::ApplyPolicy(config::RoutingPolicy policy, const store::Item& item,
                          std::string_view source) {
  if (policy.version < policy_check_.known_version()) {
    events_.Write(StreamEvent::kPolicyRejected, {{"version", policy.version},
                                                 {"in_force", PolicyVersion()},
                                                 {"source", source},
                                                 {"reason", "older version"}});
    return;
  }
  if (context_.routes && policy.version == PolicyVersion()) return;
  const core::TimePoint now = core::RuntimeClock::now();
  policy_check_.OnKnown(policy.version);
  if (!context_.routes && policy_check_.Holds(now)) {
    if (!held_policy_) policy_held_since_ = now;
    held_policy_ = item;
    return;
  }
  held_policy_.reset();
  SessionLimits& limits = clients_.group().limits;
  limits.header_bytes = policy.limits.max_header_bytes;
  limits.body_bytes = policy.limits.max_body_bytes;
  limits.header_timeout = policy.limits.header_timeout;
  limits.idle_timeout = policy.limits.idle_timeout;
  events_.Write(StreamEvent::kPolicy, {{"version", policy.version},
                                       {"revision", item.position.revision().number},
                                       {"source", source},
                                       {"routes", policy.routes.size()},
                                       {"services", policy.services.size()},
                                       {"customers", policy.customers.size()},
                                       {"unread", policy.unread_types}});
  allotment_exchange_.SetCustomers(policy.customers);
  context_.routes = std::make_shared<const steering::RouteTable>(std::move(policy));
  policy_in_force_ = item;
  policy_applied_at_ = now;
}

void Gateway::RelayItem(const store::Item& item, bool matters) {
  const core::TimePoint now = core::RuntimeClock::now();
  const store::Item* in_force = PolicyItemInForce();
  if (item.key != codec_.policy_key() || in_force == nullptr || in_force->value == item.value) {
    change_log_.Put(item, matters, now, follower_.position());
    return;
  }
  change_log_.Put({item.key, in_force->value, item.position}, matters, now, follower_.position());
}

void Gateway::CheckPolicy() {
  const core::TimePoint now = core::RuntimeClock::now();
  if (policy_check_.active()) {
    const bool synced = follower_.synced();
    if (PeerChannel* channel = IdlePolicyChannel()) {
      if (const auto peer = policy_check_.NextToRead(synced, now)) ReadPolicy(*peer, *channel);
    }
    const std::vector<membership::FeedPeer> peers = PolicyPeers();
    while (PeerChannel* channel = IdlePolicyChannel()) {
      const auto peer = policy_check_.NextToAsk(peers, synced, now);
      if (!peer) break;
      AskPolicyVersion(*peer, *channel);
    }
  }
  if (!held_policy_ || policy_check_.Holds(now)) return;
  const store::Item item = *std::exchange(held_policy_, std::nullopt);
  DecodedItem decoded = codec_.DecodeItem(item);
  auto* policy = std::get_if<PolicyItem>(&decoded);
  if (policy == nullptr) return;
  const std::int64_t held_ms = Ms(now - policy_held_since_);
  // Usually another instance answers within a few milliseconds.
  if (held_ms >= kLoggedHoldMs) {
    events_.Write(StreamEvent::kPolicyHeld, {{"version", policy->policy.version},
                                             {"newer", policy_check_.newer_version()},
                                             {"ms", held_ms}});
  }
  ApplyPolicy(std::move(policy->policy), item, SourceName());
}

std::vector<membership::FeedPeer> Gateway::PolicyPeers() const {
  std::vector<membership::FeedPeer> peers;
  if (!policy_check_.asking()) return peers;
  const std::string own = http::EndpointText(settings_.peers);
  const std::uint64_t seed = core::Hash64(settings_.instance);
  const auto rank = [&](const membership::FeedPeer& it) {
    const auto record = instances_.find(it.name);
    const bool remote = record == instances_.end() || record->second.region != settings_.region;
    return std::pair(remote, core::Hash64(it.address, seed));
  };
  peers = KnownPeers();
  std::erase_if(peers, [this](const auto& it) { return it.name == settings_.instance; });
  std::sort(peers.begin(), peers.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  for (const auto& it : settings_.seeds) {
    const std::string address = http::EndpointText(it);
    if (address != own) peers.push_back({address, address});
  }
  return peers;
}

PeerChannel* Gateway::IdlePolicyChannel() {
  for (const auto& it : policy_channels_) {
    if (!it->busy()) return it.get();
  }
  if (policy_channels_.size() >= PolicyCheck::kMaxAsked) return nullptr;
  policy_channels_.push_back(
      std::make_unique<PeerChannel>(io_, context_.deadlines, context_.messages));
  return policy_channels_.back().get();
}

void Gateway::AskPolicyVersion(const membership::FeedPeer& peer, PeerChannel& channel) {
  const core::TimePoint deadline = core::RuntimeClock::now() + kVersionTimeout;
  channel.Call(peer, EncodePolicyRequest(Sender()), deadline,
               [this, peer](const ExchangeOutcome& outcome) {
                 CountTransfer(peer.name, "policy-version", outcome.transfer);
                 std::optional<PolicyStatement> statement;
                 if (outcome.status == ExchangeStatus::kResponse) {
                   statement = DecodePolicyResponse(outcome.response);
                 }
                 if (statement) {
                   OnPeerEra(peer.name, statement->era);
                   // Before the answer puts a policy in force that a start holds back.
                   OnPeerDepartures(peer.name, outcome.response.body());
                   policy_check_.OnAnswer();
                   OnPeerPolicy(peer, statement->version);
                 } else {
                   policy_check_.OnNoAnswer();
                 }
                 CheckPolicy();
               });
}

void Gateway::OnPeerPolicy(const membership::FeedPeer& peer, std::uint64_t version) {
  const core::TimePoint now = core::RuntimeClock::now();
  if (!policy_check_.CountsStatements(now)) return;
  // The policy is already on its way from a reader.
  if (follower_.awaited().count(std::string(codec_.policy_key())) > 0) return;
  membership::FeedPeer holder = peer;
  if (holder.address.empty()) {
    const auto record = instances_.find(peer.name);
    if (record == instances_.end() || record->second.peer_address.empty()) return;
    holder.address = record->second.peer_address;
  }
  const std::uint64_t newer = policy_check_.newer_version();
  policy_check_.OnStated(holder, version, now);
  if (policy_check_.newer_version() <= newer) return;
  events_.Write(StreamEvent::kPolicyBehind,
                {{"peer", peer.name}, {"version", version}, {"in_force", PolicyVersion()}});
}

void Gateway::ReadPolicy(const membership::FeedPeer& peer, PeerChannel& channel) {
  const core::TimePoint deadline = core::RuntimeClock::now() + PeerChannel::kItemTimeout;
  const std::string key(codec_.policy_key());
  channel.Call(peer, EncodeItemRequest(key), deadline,
               [this, peer, key](const ExchangeOutcome& outcome) {
                 CountTransfer(peer.name, "policy", outcome.transfer);
                 std::string reason = outcome.detail;
                 std::optional<store::Item> item;
                 if (outcome.status == ExchangeStatus::kResponse) {
                   item = DecodeItemResponse(key, outcome.response);
                   reason = "malformed item";
                 }
                 DecodedItem decoded = item ? codec_.DecodeItem(*item) : OtherItem{};
                 auto* policy = std::get_if<PolicyItem>(&decoded);
                 if (item) OnPeerEra(peer.name, item->position.era());
                 if (policy != nullptr && policy->policy.version >= policy_check_.newer_version()) {
                   ApplyPolicy(std::move(policy->policy), *item, kPeerSource);
                   const store::Item* listed = change_log_.Find(key);
                   if (listed != nullptr) RelayItem(store::Item(*listed), true);
                 } else {
                   if (policy != nullptr) reason = "policy of the peer is older than it stated";
                   events_.Write(StreamEvent::kPeerFailed, {{"peer", peer.name},
                                                            {"reason", reason},
                                                            {"age_ms", 0},
                                                            {"bytes", outcome.transfer.bytes}});
                 }
                 policy_check_.OnRead(core::RuntimeClock::now());
                 CheckPolicy();
               });
}

void Gateway::UpdatePolicyAge() {
  if (!context_.routes) return;
  const core::Duration age = core::RuntimeClock::now() - context_.policy_as_of;
  const bool outdated = age > context_.max_region_policy_age;
  if (outdated == policy_outdated_) return;
  policy_outdated_ = outdated;
  events_.Write(StreamEvent::kPolicyOutdated,
                {{"outdated", outdated}, {"version", PolicyVersion()}, {"age_ms", Ms(age)}});
}

}  // namespace vanilladeck::gateway

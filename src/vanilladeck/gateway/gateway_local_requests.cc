#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/allotment_messages.h"
#include "vanilladeck/gateway/departure_messages.h"
#include "vanilladeck/gateway/gateway.h"
#include "vanilladeck/gateway/metrics_text.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/http/endpoint.h"
#include "vanilladeck/membership/entry_choice.h"

/// Requests that the instance answers itself: lookups, readiness checks, peer changes and metrics.
namespace vanilladeck::gateway {
namespace {

// Clients may cache a response for three times its TTL, and at most 5 s are considered. A short TTL
// moves them away from stopped instances soon, at the cost of one small response.
constexpr core::Duration kLookupTtl = std::chrono::seconds(2);
constexpr std::string_view kEmpty503 = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
constexpr std::string_view kNotFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n";

/// Resident memory of this process in bytes, or 0 if it cannot be determined.
std::uint64_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  std::uint64_t size_pages = 0;
  std::uint64_t resident_pages = 0;
  if (!(in >> size_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::int64_t Ms(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

void ReplyWith(ResponseSlot& slot, const std::string& type, const std::string& body,
               const std::string& fields = {}) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\n" + fields +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n";
  slot.Reply(std::move(head), body);
}

}  // namespace

std::vector<std::string> Gateway::LookupAddresses(const LookupQuery& query) {
  const auto refuse = [&](std::string_view reason) {
    ++context_.metrics.lookups_refused;
    events_.Write(telemetry::StreamEvent::kLookupRefused, {{"host", query.host},
                                                           {"region", query.region},
                                                           {"reason", reason},
                                                           {"instances", instances_.size()}});
    return std::vector<std::string>();
  };
  // Part of a listing may lack all instances of the caller's region.
  if (!follower_.synced()) return refuse("not synced");
  if (context_.routes == nullptr) return refuse("no policy");
  const auto preferred = context_.routes->PreferredRegions(query.host);
  membership::InstanceRecord self = registration_.record();
  self.ready = Ready();
  auto choice = ChooseEntries({query.region, query.failure_domain, preferred}, self);
  if (choice.addresses.empty()) return refuse("no instance");
  if (choice.remote) {
    ++context_.metrics.remote_lookups;
    events_.Write(telemetry::StreamEvent::kRemoteLookup,
                  {{"host", query.host},
                   {"region", query.region},
                   {"named", choice.addresses.size()},
                   {"regions", choice.regions},
                   {"preferred", preferred},
                   {"instances", instances_.size()},
                   {"age_ms", Ms(core::RuntimeClock::now() - follower_.last_success())}});
  }
  return std::move(choice.addresses);
}

void Gateway::ServeLocalRequest(ResponseSlot& slot, const Request& request) {
  const std::string_view target(request.target().data(), request.target().size());
  if (codec_.IsReadinessCheck(target)) {
    slot.Reply(Ready() ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" : std::string(kEmpty503), {});
    return;
  }
  if (const auto query = codec_.DecodeLookup(target)) {
    ++context_.metrics.lookups;
    const auto addresses = LookupAddresses(*query);
    if (addresses.empty()) {
      slot.Reply(std::string(kEmpty503), {});
      return;
    }
    ReplyWith(slot, "application/json", codec_.EncodeLookup(addresses, kLookupTtl));
    return;
  }
  if (target == "/metrics") {
    ReplyWith(slot, "text/plain; version=0.0.4", MetricsText());
    return;
  }
  slot.Reply(std::string(kNotFound), {});
}

void Gateway::ServePeerRequest(ResponseSlot& slot, const Request& request) {
  const std::string_view target(request.target().data(), request.target().size());
  const auto eras = DecodePeerEras(request);
  if (IsPolicyRequest(target)) {
    if (eras) OnPeerEra(DecodeSenderName(request), eras->known);
    const store::Era era = std::max(eras ? eras->known : 0, era_tracker_.era());
    std::string body = EncodeDepartures(DeparturesBefore(era), core::RuntimeClock::now());
    std::string head = EncodePolicyResponse({PolicyVersion(), era_tracker_.era()}, body.size());
    slot.Reply(std::move(head), std::move(body));
    return;
  }
  // An instance of an earlier version knows no eras; its revision counts as one of this state's.
  const store::Era era = eras ? eras->position : follower_.position().era();
  if (auto known = DecodePeerRequest(target, era)) {
    known->states_era = eras.has_value();
    const auto sender = DecodePeerSender(request);
    if (eras) OnPeerEra(sender ? sender->name : std::string(), eras->known);
    // An instance that has just started has no state to pass on, or a policy that may be outdated.
    if (!follower_.synced() || held_policy_) {
      slot.Reply(std::string(kEmpty503), {});
      return;
    }
    const core::TimePoint now = core::RuntimeClock::now();
    membership::PeerChanges changes = change_log_.Since(*known, now);
    if (sender) {
      OnPeerPolicy({sender->name, {}}, sender->policy_version);
      // Its record in the store states the same, but arrives later.
      context_.server_limits.OnStated(sender->name, sender->server_limits, now);
      changes.server_limits = context_.server_limits.RelayedTo(sender->name, now);
    }
    changes.position = follower_.position();
    changes.kept = follower_.Kept(changes.full ? store::Position() : known->position, now);
    if (changes.full) follower_.AddHeld(changes);
    changes.grace_left = follower_.GraceLeft(now);
    changes.age = now - follower_.last_success();
    // An instance that states the same version needs no statement, which saves bytes of each poll.
    if (!sender || sender->policy_version != PolicyVersion()) {
      changes.policy_version = PolicyVersion();
    }
    changes.relayed = feed_source_.Choose(now) != nullptr;
    changes.unheard = now - follower_.last_heard();
    changes.behind = now - follower_.current_as_of();
    ReplyWith(slot, "application/json", membership::EncodePeerChanges(changes));
    return;
  }
  if (const auto key = DecodeItemRequest(target)) {
    ServeItem(slot, *key);
    return;
  }
  if (target == kAllotmentPath) {
    const auto answer = allotment_exchange_.Serve(request.body());
    if (!answer) {
      slot.Reply("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n", {});
      return;
    }
    ReplyWith(slot, "application/json", *answer);
    return;
  }
  ServeLocalRequest(slot, request);
}

void Gateway::ServeItem(ResponseSlot& slot, const std::string& key) {
  const store::Item* item = change_log_.Find(key);
  if (item == nullptr && key == codec_.policy_key()) item = PolicyItemInForce();
  if (item == nullptr) {
    slot.Reply(std::string(kNotFound), {});
    return;
  }
  ReplyWith(slot, "application/octet-stream", compressed_items_.Get(*item),
            EncodeItemFields(item->position));
}

std::string Gateway::MetricsText() const {
  const core::TimePoint now = core::RuntimeClock::now();
  ProcessGauges gauges;
  gauges.policy_version = context_.routes ? context_.routes->version() : 0;
  gauges.customers = context_.routes ? context_.routes->policy().customers.size() : 0;
  gauges.customer_keys = context_.routes ? context_.routes->keys().size() : 0;
  gauges.policy_age_s = std::chrono::duration<double>(now - policy_applied_at_).count();
  gauges.policy_unconfirmed_s =
      std::chrono::duration<double>(now - follower_.current_as_of()).count();
  gauges.store_silence_s = std::chrono::duration<double>(now - follower_.last_success()).count();
  gauges.store_era = era_tracker_.era();
  gauges.items_dropped = follower_.dropped();
  gauges.leases_lost = registration_.lease_losses();
  gauges.instances = instances_.size();
  gauges.servers = context_.servers.size();
  gauges.connections_opened = context_.pool.opened();
  gauges.dropped_lines = events_.dropped();
  gauges.client_sessions = clients_.group().sessions.size();
  gauges.ran_beside = clients_.group().ran_beside;
  for (const ClientSession* it : clients_.group().sessions) {
    gauges.responses_waiting += it->answers_waiting();
  }
  gauges.server_connections = context_.pool.open();
  gauges.message_bytes = context_.messages->used();
  gauges.message_bytes_limit = context_.messages->capacity();
  gauges.messages_evicted = context_.messages->evictions();
  gauges.arriving_body_bytes = clients_.group().arriving_bodies->used();
  gauges.arriving_bodies_refused = clients_.group().arriving_bodies->evictions();
  gauges.resident_bytes = ResidentBytes();
  gauges.allotments_admitted = context_.allotments.admitted();
  gauges.allotments_refused = context_.allotments.refused();
  gauges.allotment_share = context_.allotments.UsableShare(now);
  gauges.allotment_lenders = allotment_exchange_.lenders();
  gauges.allotment_portions =
      context_.allotments.Portions(GatewayMetrics::kMaxCountedCustomers, now);
  for (const std::string& id : context_.servers.Ids()) {
    const auto server = context_.servers.Find(id);
    if (context_.servers.Usable(*server, now)) {
      ++gauges.usable_servers;
    } else if (server->draining) {
      ++gauges.draining_servers;
    }
    if (server->Cold(now)) ++gauges.cold_servers;
    if (server->pace) ++gauges.paced_servers;
  }
  gauges.entries = entries_;
  const steering::PaceLog& paces = context_.servers.pace_log();
  gauges.pace_raises = paces.count(steering::PaceChange::kRaised);
  gauges.pace_halvings = paces.count(steering::PaceChange::kHalved);
  gauges.requests_offered = paces.offered();
  gauges.servers_withheld = paces.withheld();
  return PrometheusText(context_.metrics, gauges);
}

}  // namespace vanilladeck::gateway

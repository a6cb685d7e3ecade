#include "vanilladeck/gateway/allotment_exchange.h"

#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/allotment_messages.h"

namespace vanilladeck::gateway {
namespace {

using telemetry::StreamEvent;

// A connection and an exchange between regions take 0.23 s. A granter that is slower than this is
// left before the term of a share ends.
constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(400);
// Weight of an instance whose link is not known: that of the slowest known links.
constexpr double kUnknownLinkMbps = 10;

/// Shares follow the links, since the instances with wide ones get most requests.
double WeightOf(double link_mbps) { return link_mbps > 0 ? link_mbps : kUnknownLinkMbps; }

}  // namespace

AllotmentExchange::AllotmentExchange(Context& context, std::string instance, std::string region,
                                     double link_mbps)
    : context_(context),
      instance_(std::move(instance)),
      region_(std::move(region)),
      link_mbps_(link_mbps),
      granter_(context.process_id, context.limits.allotment),
      choice_(region_),
      channel_(context.io, context.deadlines, context.messages) {}

void AllotmentExchange::SetCustomers(const std::vector<config::Customer>& customers) {
  const core::TimePoint now = core::RuntimeClock::now();
  context_.allotments.SetCustomers(customers, now);
  granter_.SetCustomers(customers, now);
}

void AllotmentExchange::UpdateFleet(
    const std::map<std::string, membership::InstanceRecord>& instances, const OwnListing& own,
    core::TimePoint now) {
  std::map<std::string, double> weights{{instance_, WeightOf(link_mbps_)}};
  std::vector<customers::GranterCandidate> candidates;
  for (const auto& [name, record] : instances) {
    const double weight = WeightOf(record.link_mbps);
    weights[name] = weight;
    if (!record.ready || record.peer_address.empty()) continue;
    candidates.push_back({name, record.peer_address, record.region, weight});
  }
  weights_.Update(weights, now);
  choice_.SetCandidates(std::move(candidates));
  const double share = own.settled ? weights_.ShareOf(instance_, now) : 0;
  const core::TimePoint registered_until =
      own.settled ? own.renewed + customers::FleetWeights::kMaxLeaseAge : core::TimePoint{};
  context_.allotments.SetShare(share, registered_until, now);
}

void AllotmentExchange::Tick(const std::map<std::string, membership::InstanceRecord>& instances,
                             const OwnListing& own) {
  if (!context_.allotments.active()) return;
  const core::TimePoint now = core::RuntimeClock::now();
  UpdateFleet(instances, own, now);
  Ask(now);
  LogGranter(now);
}

void AllotmentExchange::Ask(core::TimePoint now) {
  if (channel_.busy() || !context_.allotments.IsExchangeDue(now)) return;
  const customers::GranterCandidate* preferred = choice_.Choose(now);
  if (preferred == nullptr) return;
  const std::string name = context_.allotments.NextGranter(preferred->name, now);
  const customers::GranterCandidate* granter = choice_.Find(name);
  // The former granter is no longer listed.
  if (granter == nullptr) granter = preferred;
  auto request = context_.allotments.BeginExchange(granter->name, preferred->name, now);
  request.fleet_weight = weights_.total();
  request.listed_weight = weights_.listed_weight();
  if (granter->name == instance_) {
    OnAnswer(instance_, Grant(request));
    return;
  }
  const membership::FeedPeer peer{granter->name, granter->address, granter->weight};
  channel_.Call(peer, EncodeAllotmentRequest(request), now + kAnswerTimeout,
                [this, peer](const ExchangeOutcome& outcome) { OnOutcome(peer.name, outcome); });
}

customers::AllotmentAnswer AllotmentExchange::Grant(const customers::AllotmentRequest& request) {
  const core::TimePoint now = core::RuntimeClock::now();
  weights_.OnStated(request.sender, request.fleet_weight, now);
  const customers::AllotmentGranter::FleetView view{weights_.listed_weight(),
                                                    weights_.IsListed(request.sender)};
  auto answer = granter_.OnRequest(request, view, now);
  answer.fleet_weight = weights_.total();
  return answer;
}

std::optional<std::string> AllotmentExchange::Serve(std::string_view body) {
  const auto request = DecodeAllotmentRequest(body);
  if (!request) return std::nullopt;
  return EncodeAllotmentAnswer(Grant(*request));
}

void AllotmentExchange::OnAnswer(const std::string& granter,
                                 const customers::AllotmentAnswer& answer) {
  const core::TimePoint now = core::RuntimeClock::now();
  weights_.OnStated(granter, answer.fleet_weight, now);
  context_.allotments.OnAnswer(answer, now);
}

void AllotmentExchange::OnOutcome(const std::string& granter, const ExchangeOutcome& outcome) {
  context_.metrics.control_bytes += outcome.transfer.bytes;
  std::string reason = outcome.detail;
  if (outcome.status == ExchangeStatus::kResponse) {
    reason = "status " + std::to_string(outcome.response.result_int());
    if (outcome.response.result_int() == 200) {
      if (const auto answer = DecodeAllotmentAnswer(outcome.response.body())) {
        OnAnswer(granter, *answer);
        return;
      }
      reason = "malformed";
    }
  }
  const core::TimePoint now = core::RuntimeClock::now();
  choice_.OnFailure(granter, now);
  context_.allotments.OnFailure(now);
  context_.events.Write(StreamEvent::kGranterFailed, {{"granter", granter}, {"reason", reason}});
}

void AllotmentExchange::LogGranter(core::TimePoint now) {
  const std::string granter = context_.allotments.lent_to(now);
  if (granter == logged_granter_) return;
  logged_granter_ = granter;
  context_.events.Write(StreamEvent::kGranter, {{"granter", granter},
                                                {"share", context_.allotments.UsableShare(now)},
                                                {"fleet_weight", weights_.total()},
                                                {"listed_weight", weights_.listed_weight()},
                                                {"lenders", granter_.lenders(now)}});
}

}  // namespace vanilladeck::gateway

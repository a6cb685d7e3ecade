#include "vanilladeck/daemon/operations_duty.h"

#include <algorithm>
#include <utility>

#include "vanilladeck/core/hash.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/operations/operation_key.h"

namespace vanilladeck::daemon {
namespace {

using core::RuntimeClock;

constexpr core::Duration kRetryInterval = std::chrono::milliseconds(200);
constexpr core::Duration kClaimRetryInterval = std::chrono::milliseconds(50);
constexpr core::Duration kLeavingPollInterval = std::chrono::milliseconds(100);

operations::Now Clocks() { return {RuntimeClock::now(), RuntimeClock::WallMs()}; }

operations::ShardOptions MakeShardOptions(const OperationsDuty::Options& options) {
  operations::ShardOptions shard;
  shard.shard = options.shard;
  shard.owner = options.self;
  shard.salt = options.salt;
  shard.retention = options.retention;
  return shard;
}

operations::OwnershipOptions MakeOwnershipOptions(const OperationsDuty::Options& options) {
  operations::OwnershipOptions ownership;
  ownership.shard = options.shard;
  ownership.self = options.self;
  return ownership;
}

}  // namespace

OperationsDuty::OperationsDuty(Options options, StoreGateway& store, PeerCalls& peers,
                               const membership::View& view, std::function<void()> on_ready)
    : options_(std::move(options)),
      store_(store),
      peers_(peers),
      view_(view),
      ownership_(MakeOwnershipOptions(options_), Clocks()),
      shard_(MakeShardOptions(options_)),
      on_ready_(std::move(on_ready)) {}

std::uint32_t OperationsDuty::Position() const {
  const auto weight = [this](const std::string& address) {
    return core::Hash64(address + '/' + options_.shard);
  };
  std::uint32_t position = 0;
  for (const membership::Member* it : view_.Live(RuntimeClock::now())) {
    const bool before = weight(it->id.address) < weight(options_.self.address);
    if (it->failure_domain == options_.shard && before && !it->leaving) ++position;
  }
  return position;
}

void OperationsDuty::Tick() {
  const auto now = Clocks();
  const auto& seen = ownership_.observed_record();
  if (leaving_peer_ && seen && seen->owner == *leaving_peer_ && now.steady >= next_poll_) {
    ownership_.PollNow(now);
    next_poll_ = now.steady + kLeavingPollInterval;
  }
  ownership_.Tick(shard_.last_seq(), now);
  PumpOwnership();
  const bool restart = ownership_.Owns(now.steady) && !shard_.active() && !taking_over_;
  if (restart && !resigning_) {
    taking_over_ = true;
    shard_.TakeOver(known_seq_, now);
    shard_.ExtendLease(ownership_.lease_until());
  }
  shard_.Tick(now);
  PumpShard();
  RunRetries(now.steady);
}

void OperationsDuty::RunRetries(core::TimePoint now) {
  auto due = std::partition(retries_.begin(), retries_.end(),
                            [now](const Retry& it) { return it.due > now; });
  std::vector<Retry> ready(std::make_move_iterator(due), std::make_move_iterator(retries_.end()));
  retries_.erase(due, retries_.end());
  for (const Retry& it : ready) it.run();
}

void OperationsDuty::Refresh() { ownership_.SetPosition(Position()); }

void OperationsDuty::PumpOwnership() {
  for (auto& output : ownership_.TakeOutputs()) Execute(std::move(output));
}

void OperationsDuty::PumpShard() {
  for (auto& output : shard_.TakeOutputs()) Execute(std::move(output));
}

void OperationsDuty::Execute(operations::OwnershipOutput output) {
  if (const auto* call = std::get_if<store::Call>(&output)) {
    store_.Call(store::CallClass::kControl, call->request,
                [this, id = call->id](const store::StoreResult& result) {
                  ownership_.OnStoreResult(id, result, Clocks());
                  PumpOwnership();
                });
  } else if (const auto* acquired = std::get_if<operations::LeaseAcquired>(&output)) {
    known_seq_ = std::max(known_seq_, acquired->known_seq);
    if (!(acquired->continued && shard_.active())) {
      taking_over_ = true;
      shard_.TakeOver(known_seq_, Clocks());
    }
    shard_.ExtendLease(ownership_.lease_until());
    PumpShard();
  } else if (const auto* renewed = std::get_if<operations::LeaseRenewed>(&output)) {
    shard_.ExtendLease(renewed->until);
  } else if (std::holds_alternative<operations::LeaseLost>(output)) {
    shard_.Stop(operations::StopReason::kFenced);
    PumpShard();
  } else if (const auto* observed = std::get_if<operations::OwnerObserved>(&output)) {
    known_seq_ = std::max(known_seq_, observed->record.last_seq);
    if (observed->record.owner != options_.self && shard_.active()) {
      shard_.Stop(operations::StopReason::kReplaced);
      PumpShard();
    }
  }
}

void OperationsDuty::Execute(operations::ShardOutput output) {
  if (const auto* call = std::get_if<store::Call>(&output)) {
    store_.Call(store::ClassOf(call->rank), call->request,
                [this, id = call->id](const store::StoreResult& result) {
                  shard_.OnStoreResult(id, result, Clocks());
                  PumpShard();
                });
  } else if (auto* claim = std::get_if<operations::ClaimAnswer>(&output)) {
    auto node = claims_.extract(claim->ticket);
    if (!node.empty()) node.mapped()(std::move(claim->reply));
  } else if (const auto* complete = std::get_if<operations::CompleteAnswer>(&output)) {
    auto node = completions_.extract(complete->ticket);
    if (!node.empty()) node.mapped()(complete->reply);
  } else {
    taking_over_ = false;  // ShardReady or ShardStopped
    if (std::holds_alternative<operations::ShardReady>(output)) on_ready_();
    if (resigning_ && std::holds_alternative<operations::ShardStopped>(output)) {
      ownership_.Release(Clocks());
      PumpOwnership();
    }
  }
}

std::string OperationsDuty::FindOwner(const std::string& shard) const {
  const auto now = RuntimeClock::now();
  for (const membership::Member* it : view_.Live(now)) {
    if (std::find(it->shards.begin(), it->shards.end(), shard) != it->shards.end()) {
      return it->id.address;
    }
  }
  return {};
}

void OperationsDuty::Claim(operations::ClaimRequest request, const ClaimDone& done) {
  auto key = operations::OperationKey::Parse(request.key);
  if (!key.has_value()) return done(operations::Mismatch{});
  if (request.claim_id == 0) request.claim_id = next_claim_++;
  TryClaim(request, RuntimeClock::now() + kClaimWait, done);
}

void OperationsDuty::TryClaim(const operations::ClaimRequest& request, core::TimePoint give_up,
                              const ClaimDone& done) {
  const auto shard = operations::OperationKey::Parse(request.key).value().shard();
  const auto on_reply = [this, request, give_up, done](const operations::ClaimReply& reply) {
    if (const auto* refusal = std::get_if<operations::Unavailable>(&reply)) {
      return OnClaimRefused(request, give_up, done, *refusal);
    }
    done(reply);
  };
  if (shard == options_.shard && shard_.active()) return ServeClaim(request, on_reply);
  const std::string owner = FindOwner(shard);
  if (owner.empty()) return on_reply(operations::Unavailable{});
  peers_.Call(owner, request, kClaimTimeout,
              [this, request, on_reply, done](const peer::CallResult& result) {
                if (result.has_value()) {
                  return on_reply(std::get<operations::ClaimReply>(result.value()));
                }
                if (result.error().code != peer::CallErrorCode::kOutcomeUnknown) {
                  return on_reply(operations::Unavailable{});
                }
                ReleaseLost(request);
                done(operations::Unavailable{});
              });
}

void OperationsDuty::OnClaimRefused(const operations::ClaimRequest& request,
                                    core::TimePoint give_up, const ClaimDone& done,
                                    const operations::Unavailable& refusal) {
  const auto due = RuntimeClock::now() + kClaimRetryInterval;
  if (due >= give_up) return done(refusal);
  retries_.push_back({due, [this, request, give_up, done] { TryClaim(request, give_up, done); }});
}

void OperationsDuty::ReleaseLost(const operations::ClaimRequest& request) {
  operations::CompleteRequest release;
  release.key = request.key;
  release.claim_id = request.claim_id;
  release.holder = request.holder;
  release.outcome = core::Outcome::kNotRun;
  TryComplete(release, RuntimeClock::now() + kReleaseLimit, [](operations::CompleteReply) {});
}

void OperationsDuty::Complete(const operations::CompleteRequest& request,
                              const CompleteDone& done) {
  TryComplete(request, RuntimeClock::now() + kCompleteLimit, done);
}

void OperationsDuty::TryComplete(const operations::CompleteRequest& request,
                                 core::TimePoint give_up, const CompleteDone& done) {
  auto key = operations::OperationKey::Parse(request.key);
  if (!key.has_value()) return done({false});
  const auto on_reply = [this, request, give_up, done](operations::CompleteReply reply) {
    if (reply.recorded) return done(reply);
    RetryComplete(request, give_up, done);
  };
  if (key.value().shard() == options_.shard && shard_.active()) {
    return ServeComplete(request, on_reply);
  }
  const std::string owner = FindOwner(key.value().shard());
  if (owner.empty()) return RetryComplete(request, give_up, done);
  peers_.Call(owner, request, kCompleteTimeout, [on_reply](const peer::CallResult& result) {
    on_reply(result.has_value() ? std::get<operations::CompleteReply>(result.value())
                                : operations::CompleteReply{false});
  });
}

void OperationsDuty::RetryComplete(const operations::CompleteRequest& request,
                                   core::TimePoint give_up, const CompleteDone& done) {
  const auto due = RuntimeClock::now() + kRetryInterval;
  if (due >= give_up) return done({false});
  retries_.push_back(
      {due, [this, request, give_up, done] { TryComplete(request, give_up, done); }});
}

void OperationsDuty::ServeClaim(const operations::ClaimRequest& request, ClaimDone done) {
  if (!shard_.active()) return done(operations::Unavailable{});
  const std::uint64_t ticket = next_ticket_++;
  claims_.emplace(ticket, std::move(done));
  shard_.Claim(ticket, request, Clocks());
  PumpShard();
}

void OperationsDuty::ServeComplete(const operations::CompleteRequest& request, CompleteDone done) {
  if (!shard_.active()) return done({false});
  const std::uint64_t ticket = next_ticket_++;
  completions_.emplace(ticket, std::move(done));
  shard_.Complete(ticket, request, Clocks());
  PumpShard();
}

void OperationsDuty::OnInstanceGone(const core::InstanceId& instance) {
  shard_.OnInstanceGone(instance);
}

void OperationsDuty::Resign() {
  resigning_ = true;
  shard_.Resign(Clocks());
  PumpShard();
  if (shard_.active()) return;  // Released once the pending entries are durable.
  ownership_.Release(Clocks());
  PumpOwnership();
}

bool OperationsDuty::resigned() const {
  return resigning_ && !shard_.active() && ownership_.release_done();
}

std::vector<std::string> OperationsDuty::OwnedShards() const {
  if (!shard_.active() || !ownership_.Owns(RuntimeClock::now())) return {};
  return {options_.shard};
}

}  // namespace vanilladeck::daemon

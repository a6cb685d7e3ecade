#include "vanilladeck/daemon/operations_manager.h"

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

operations::Now CurrentTime() { return {RuntimeClock::now(), RuntimeClock::WallMs()}; }

operations::ShardOptions MakeShardOptions(const OperationsManager::Options& options) {
  operations::ShardOptions shard;
  shard.shard = options.shard;
  shard.owner = options.self;
  shard.salt = options.salt;
  shard.retention = options.retention;
  return shard;
}

operations::OwnershipOptions MakeOwnershipOptions(const OperationsManager::Options& options) {
  operations::OwnershipOptions ownership;
  ownership.shard = options.shard;
  ownership.self = options.self;
  return ownership;
}

}  // namespace

OperationsManager::OperationsManager(Options options, StoreGateway& store, PeerCalls& peers,
                                     const membership::View& view, std::function<void()> on_ready)
    : options_(std::move(options)),
      store_(store),
      peers_(peers),
      view_(view),
      ownership_(MakeOwnershipOptions(options_), CurrentTime()),
      shard_(MakeShardOptions(options_)),
      on_ready_(std::move(on_ready)) {}

std::uint32_t OperationsManager::OwnershipRank() const {
  const auto weight = [this](const std::string& address) {
    return core::Hash64(address + '/' + options_.shard);
  };
  std::uint32_t rank = 0;
  for (const membership::Member* it : view_.Live(RuntimeClock::now())) {
    const bool before = weight(it->id.address) < weight(options_.self.address);
    if (it->failure_domain == options_.shard && before && !it->leaving) ++rank;
  }
  return rank;
}

void OperationsManager::Tick() {
  const auto now = CurrentTime();
  const auto& record = ownership_.observed_record();
  if (leaving_peer_ && record && record->owner == *leaving_peer_ && now.steady >= next_poll_) {
    ownership_.PollNow(now);
    next_poll_ = now.steady + kLeavingPollInterval;
  }
  ownership_.Tick(shard_.last_seq(), now);
  ProcessOwnershipOutputs();
  const bool needs_takeover = ownership_.Owns(now.steady) && !shard_.active() && !taking_over_;
  if (needs_takeover && !resigning_) {
    taking_over_ = true;
    shard_.TakeOver(known_seq_, now);
    shard_.ExtendLease(ownership_.lease_until());
  }
  shard_.Tick(now);
  ProcessShardOutputs();
  RunDueRetries(now.steady);
}

void OperationsManager::RunDueRetries(core::TimePoint now) {
  auto due = std::partition(retries_.begin(), retries_.end(),
                            [now](const Retry& it) { return it.due > now; });
  std::vector<Retry> ready(std::make_move_iterator(due), std::make_move_iterator(retries_.end()));
  retries_.erase(due, retries_.end());
  for (const Retry& it : ready) it.run();
}

void OperationsManager::UpdateOwnershipRank() { ownership_.SetPosition(OwnershipRank()); }

void OperationsManager::ProcessOwnershipOutputs() {
  for (auto& output : ownership_.TakeOutputs()) Execute(std::move(output));
}

void OperationsManager::ProcessShardOutputs() {
  for (auto& output : shard_.TakeOutputs()) Execute(std::move(output));
}

void OperationsManager::Execute(operations::OwnershipOutput output) {
  if (const auto* call = std::get_if<store::Call>(&output)) {
    store_.Call(store::CallClass::kControl, call->request,
                [this, id = call->id](const store::StoreResult& result) {
                  ownership_.OnStoreResult(id, result, CurrentTime());
                  ProcessOwnershipOutputs();
                });
  } else if (const auto* acquired = std::get_if<operations::LeaseAcquired>(&output)) {
    known_seq_ = std::max(known_seq_, acquired->known_seq);
    if (!(acquired->continued && shard_.active())) {
      taking_over_ = true;
      shard_.TakeOver(known_seq_, CurrentTime());
    }
    shard_.ExtendLease(ownership_.lease_until());
    ProcessShardOutputs();
  } else if (const auto* renewed = std::get_if<operations::LeaseRenewed>(&output)) {
    shard_.ExtendLease(renewed->until);
  } else if (std::holds_alternative<operations::LeaseLost>(output)) {
    shard_.Stop(operations::StopReason::kFenced);
    ProcessShardOutputs();
  } else if (const auto* observed = std::get_if<operations::OwnerObserved>(&output)) {
    known_seq_ = std::max(known_seq_, observed->record.last_seq);
    if (observed->record.owner != options_.self && shard_.active()) {
      shard_.Stop(operations::StopReason::kReplaced);
      ProcessShardOutputs();
    }
  }
}

void OperationsManager::Execute(operations::ShardOutput output) {
  if (const auto* call = std::get_if<store::Call>(&output)) {
    store_.Call(store::ClassOf(call->rank), call->request,
                [this, id = call->id](const store::StoreResult& result) {
                  shard_.OnStoreResult(id, result, CurrentTime());
                  ProcessShardOutputs();
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
      ownership_.Release(CurrentTime());
      ProcessOwnershipOutputs();
    }
  }
}

std::string OperationsManager::FindOwner(const std::string& shard) const {
  const auto now = RuntimeClock::now();
  for (const membership::Member* it : view_.Live(now)) {
    if (std::find(it->shards.begin(), it->shards.end(), shard) != it->shards.end()) {
      return it->id.address;
    }
  }
  return {};
}

void OperationsManager::Claim(operations::ClaimRequest request, const ClaimCallback& done) {
  auto key = operations::OperationKey::Parse(request.key);
  if (!key.has_value()) return done(operations::Mismatch{});
  if (request.claim_id == 0) request.claim_id = next_claim_++;
  TryClaim(request, RuntimeClock::now() + kClaimWait, done);
}

void OperationsManager::TryClaim(const operations::ClaimRequest& request, core::TimePoint deadline,
                                 const ClaimCallback& done) {
  const auto shard = operations::OperationKey::Parse(request.key).value().shard();
  const auto on_reply = [this, request, deadline, done](const operations::ClaimReply& reply) {
    if (const auto* refusal = std::get_if<operations::Unavailable>(&reply)) {
      return RetryClaim(request, deadline, done, *refusal);
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
                ReleaseLostClaim(request);
                done(operations::Unavailable{});
              });
}

void OperationsManager::RetryClaim(const operations::ClaimRequest& request,
                                   core::TimePoint deadline, const ClaimCallback& done,
                                   const operations::Unavailable& refusal) {
  const auto due = RuntimeClock::now() + kClaimRetryInterval;
  if (due >= deadline) return done(refusal);
  retries_.push_back({due, [this, request, deadline, done] { TryClaim(request, deadline, done); }});
}

void OperationsManager::ReleaseLostClaim(const operations::ClaimRequest& request) {
  operations::CompleteRequest release;
  release.key = request.key;
  release.claim_id = request.claim_id;
  release.holder = request.holder;
  release.outcome = core::Outcome::kNotRun;
  TryComplete(release, RuntimeClock::now() + kReleaseLimit, [](operations::CompleteReply) {});
}

void OperationsManager::Complete(const operations::CompleteRequest& request,
                                 const CompleteCallback& done) {
  TryComplete(request, RuntimeClock::now() + kCompleteLimit, done);
}

void OperationsManager::TryComplete(const operations::CompleteRequest& request,
                                    core::TimePoint deadline, const CompleteCallback& done) {
  auto key = operations::OperationKey::Parse(request.key);
  if (!key.has_value()) return done({false});
  const auto on_reply = [this, request, deadline, done](operations::CompleteReply reply) {
    if (reply.recorded) return done(reply);
    RetryComplete(request, deadline, done);
  };
  if (key.value().shard() == options_.shard && shard_.active()) {
    return ServeComplete(request, on_reply);
  }
  const std::string owner = FindOwner(key.value().shard());
  if (owner.empty()) return RetryComplete(request, deadline, done);
  peers_.Call(owner, request, kCompleteTimeout, [on_reply](const peer::CallResult& result) {
    on_reply(result.has_value() ? std::get<operations::CompleteReply>(result.value())
                                : operations::CompleteReply{false});
  });
}

void OperationsManager::RetryComplete(const operations::CompleteRequest& request,
                                      core::TimePoint deadline, const CompleteCallback& done) {
  const auto due = RuntimeClock::now() + kRetryInterval;
  if (due >= deadline) return done({false});
  retries_.push_back(
      {due, [this, request, deadline, done] { TryComplete(request, deadline, done); }});
}

void OperationsManager::ServeClaim(const operations::ClaimRequest& request, ClaimCallback done) {
  if (!shard_.active()) return done(operations::Unavailable{});
  const std::uint64_t ticket = next_ticket_++;
  claims_.emplace(ticket, std::move(done));
  shard_.Claim(ticket, request, CurrentTime());
  ProcessShardOutputs();
}

void OperationsManager::ServeComplete(const operations::CompleteRequest& request,
                                      CompleteCallback done) {
  if (!shard_.active()) return done({false});
  const std::uint64_t ticket = next_ticket_++;
  completions_.emplace(ticket, std::move(done));
  shard_.Complete(ticket, request, CurrentTime());
  ProcessShardOutputs();
}

void OperationsManager::OnInstanceGone(const core::InstanceId& instance) {
  shard_.OnInstanceGone(instance);
}

void OperationsManager::Resign() {
  resigning_ = true;
  shard_.Resign(CurrentTime());
  ProcessShardOutputs();
  if (shard_.active()) return;  // The lease is released once the pending entries are durable.
  ownership_.Release(CurrentTime());
  ProcessOwnershipOutputs();
}

bool OperationsManager::resigned() const {
  return resigning_ && !shard_.active() && ownership_.release_done();
}

std::vector<std::string> OperationsManager::OwnedShards() const {
  if (!shard_.active() || !ownership_.Owns(RuntimeClock::now())) return {};
  return {options_.shard};
}

}  // namespace vanilladeck::daemon

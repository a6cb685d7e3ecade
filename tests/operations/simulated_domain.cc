#include "operations/simulated_domain.h"

#include <algorithm>

namespace vanilladeck::testing {
namespace {

constexpr const char* kShard = "fukuoka-a";
constexpr const char* kSalt = "salt";
constexpr const char* kClient = "client-1";
constexpr auto kClaimTimeout = Ms(1'200);

}  // namespace

struct SimulatedDomain::Node {
  Node(const core::InstanceId& id, const ShardOptions& options, const Now& now)
      : self(id), shard(options), ownership({kShard, id}, now) {}

  core::InstanceId self;
  bool alive = true;
  core::TimePoint paused_until;
  Shard shard;
  ShardOwnership ownership;
  std::map<std::uint64_t, std::function<void(const ClaimReply&)>> claims;
  std::map<std::uint64_t, std::function<void(bool)>> completes;
  core::TimePoint wake = core::TimePoint::max();
  std::uint64_t seq_offset = 0;  ///< Used by kBlindRepeatAtNextSeq only.
};

std::string ReplyName(const ClaimReply& reply) {
  constexpr std::array<const char*, 7> kNames{"granted",  "recorded", "in progress", "unknown",
                                              "mismatch", "expired",  "unavailable"};
  return kNames.at(reply.index());
}

SimulatedDomain::SimulatedDomain(std::uint64_t seed, std::size_t nodes, Variant variant,
                                 bool leases)
    : timeline_(seed), store_(timeline_), variant_(variant), leases_(leases), nodes_(nodes) {
  for (std::size_t i = 0; i < nodes; ++i) StartNode(i);
}

SimulatedDomain::~SimulatedDomain() = default;

void SimulatedDomain::StartNode(std::size_t index) {
  const core::InstanceId self{"10.0.0." + std::to_string(index) + ":7000", next_id_++};
  ShardOptions options;
  options.shard = kShard;
  options.owner = self;
  options.salt = kSalt;
  nodes_[index] = std::make_unique<Node>(self, options, Clock());
  nodes_[index]->ownership.SetPosition(static_cast<std::uint32_t>(index));
  RunOnNode(index, self.incarnation, Ms(1), [] {});
}

void SimulatedDomain::KillNode(std::size_t index) {
  if (!nodes_[index]->alive) return;
  nodes_[index]->alive = false;
  const auto gone = nodes_[index]->self;
  // The other instances detect the failure after a delay; a new process starts at the same address.
  timeline_.After(timeline_.RandomMs(500, 4'000), [this, index, gone] {
    for (auto& node : nodes_) node->shard.OnInstanceGone(gone);
    StartNode(index);
  });
}

void SimulatedDomain::RunOnNode(std::size_t index, std::uint64_t incarnation, core::Duration delay,
                                std::function<void()> event) {
  timeline_.After(delay, [this, index, incarnation, event = std::move(event)] {
    auto& node = *nodes_[index];
    if (!node.alive || node.self.incarnation != incarnation) return;
    if (timeline_.now() < node.paused_until) {
      return RunOnNode(index, incarnation, node.paused_until - timeline_.now(), event);
    }
    event();
    ProcessNode(index);
  });
}

void SimulatedDomain::ProcessNode(std::size_t index) {
  auto& node = *nodes_[index];
  node.ownership.Tick(node.shard.last_seq(), Clock());
  node.shard.Tick(Clock());
  for (bool more = true; more;) {
    auto ownership_outputs = node.ownership.TakeOutputs();
    auto shard_outputs = node.shard.TakeOutputs();
    more = !ownership_outputs.empty() || !shard_outputs.empty();
    for (auto& output : ownership_outputs) OnOwnershipOutput(index, std::move(output));
    for (auto& output : shard_outputs) OnShardOutput(index, std::move(output));
  }
  const auto owners = std::count_if(nodes_.begin(), nodes_.end(), [this](const auto& other) {
    return other && other->alive && other->ownership.Owns(timeline_.now());
  });
  leases_overlapped_ = leases_overlapped_ || owners > 1;
  const auto wake = std::min(node.ownership.NextWake(), node.shard.NextWake());
  if (wake >= node.wake && node.wake > timeline_.now()) return;
  if (wake == core::TimePoint::max()) return;
  node.wake = wake;
  const auto delay = std::max<core::Duration>(wake - timeline_.now(), Ms(1));
  RunOnNode(index, node.self.incarnation, delay, [&node] { node.wake = core::TimePoint::max(); });
}

void SimulatedDomain::OnOwnershipOutput(std::size_t index, OwnershipOutput output) {
  auto& node = *nodes_[index];
  if (auto* call = std::get_if<store::Call>(&output)) {
    CallStore(index, false, *call);
  } else if (auto* acquired = std::get_if<LeaseAcquired>(&output)) {
    if (!acquired->continued || !node.shard.active()) {
      node.shard.Stop(StopReason::kFenced);
      node.shard.TakeOver(acquired->known_seq, Clock());
    }
  } else if (auto* renewed = std::get_if<LeaseRenewed>(&output)) {
    node.shard.ExtendLease(leases_ ? renewed->until : core::TimePoint::max());
  } else if (auto* observed = std::get_if<OwnerObserved>(&output)) {
    if (leases_ && observed->record.owner != node.self) node.shard.Stop(StopReason::kReplaced);
  }
}

void SimulatedDomain::OnShardOutput(std::size_t index, ShardOutput output) {
  auto& node = *nodes_[index];
  if (auto* call = std::get_if<store::Call>(&output)) {
    CallStore(index, true, *call);
  } else if (auto* claim = std::get_if<ClaimAnswer>(&output)) {
    if (auto waiter = node.claims.extract(claim->ticket)) waiter.mapped()(claim->reply);
  } else if (auto* complete = std::get_if<CompleteAnswer>(&output)) {
    if (auto waiter = node.completes.extract(complete->ticket)) {
      waiter.mapped()(complete->reply.recorded);
    }
  } else if (std::holds_alternative<ShardStopped>(output) && node.ownership.Owns(timeline_.now())) {
    node.shard.TakeOver(node.shard.last_seq(), Clock());
  }
}

void SimulatedDomain::CallStore(std::size_t index, bool from_shard, const store::Call& call) {
  const auto incarnation = nodes_[index]->self.incarnation;
  const FakeStore::Done done = [this, index, incarnation, from_shard,
                                id = call.id](const store::StoreResult& result) {
    RunOnNode(index, incarnation, Ms(0), [this, index, from_shard, id, result] {
      auto& node = *nodes_[index];
      if (from_shard) {
        node.shard.OnStoreResult(id, result, Clock());
      } else {
        node.ownership.OnStoreResult(id, result, Clock());
      }
    });
  };
  const auto* swap = std::get_if<store::CompareAndSwap>(&call.request);
  if (from_shard && swap != nullptr && variant_ != Variant::kCorrect) {
    return CallStoreWithBug(index, *swap, done);
  }
  store_.Call(call.request, done);
}

/// Emulates the bug of `variant_` between the shard and the store.
void SimulatedDomain::CallStoreWithBug(std::size_t index, store::CompareAndSwap swap,
                                       const FakeStore::Done& done) {
  if (variant_ == Variant::kGrantBeforeDurable) {
    store_.Call(swap, [](const store::StoreResult&) {});
    return timeline_.After(Ms(1), [done] { done(store::Reply(store::CompareAndSwapReply{true})); });
  }
  swap.key = BatchKey(kShard, *ParseBatchKey(kShard, swap.key) + nodes_[index]->seq_offset);
  const auto incarnation = nodes_[index]->self.incarnation;
  store_.Call(swap, [this, index, incarnation, swap, done](const store::StoreResult& result) {
    const bool lost =
        result.has_error() && result.error().code == store::StoreErrorCode::kOutcomeUnknown;
    if (!lost) return done(result);
    RunOnNode(index, incarnation, Ms(0),
              [this, index, swap, done] { RepeatAtNextSeq(index, swap, done); });
  });
}

void SimulatedDomain::RepeatAtNextSeq(std::size_t index, store::CompareAndSwap swap,
                                      const FakeStore::Done& done) {
  ++nodes_[index]->seq_offset;
  swap.key = BatchKey(kShard, *ParseBatchKey(kShard, swap.key) + 1);
  const auto incarnation = nodes_[index]->self.incarnation;
  store_.Call(swap, [this, index, incarnation, swap, done](const store::StoreResult& result) {
    const auto* reply =
        result.has_value() ? std::get_if<store::CompareAndSwapReply>(&result.value()) : nullptr;
    if (reply != nullptr && reply->swapped) return done(result);
    RunOnNode(index, incarnation, Ms(1),
              [this, index, swap, done] { RepeatAtNextSeq(index, swap, done); });
  });
}

std::size_t SimulatedDomain::PickLikelyOwner() {
  std::vector<std::size_t> active;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->alive && nodes_[i]->shard.active()) active.push_back(i);
  }
  if (active.empty()) {
    return static_cast<std::size_t>(timeline_.Random(0, static_cast<int>(nodes_.size()) - 1));
  }
  return active[static_cast<std::size_t>(timeline_.Random(0, static_cast<int>(active.size()) - 1))];
}

core::InstanceId SimulatedDomain::HolderOf(const Attempt& attempt) const {
  return {nodes_[attempt.entry]->self.address, attempt.incarnation};
}

SimulatedDomain::AttemptPtr SimulatedDomain::Request(const std::string& key, bool probing) {
  auto attempt = std::make_shared<Attempt>();
  attempt->key = key;
  attempt->probing = probing;
  attempt->entry = PickLikelyOwner();
  if (!probing) {
    attempt->entry =
        static_cast<std::size_t>(timeline_.Random(0, static_cast<int>(nodes_.size()) - 1));
  }
  attempt->incarnation = nodes_[attempt->entry]->self.incarnation;
  attempt->claim_id = next_id_++;
  RunOnNode(attempt->entry, attempt->incarnation, Ms(0), [this, attempt] { SendClaim(attempt); });
  RunOnNode(attempt->entry, attempt->incarnation, kClaimTimeout,
            [this, attempt] { AbandonClaim(attempt); });
  return attempt;
}

void SimulatedDomain::SendClaim(const AttemptPtr& attempt) {
  ++attempt->sends;
  const auto owner = PickLikelyOwner();
  const auto owner_incarnation = nodes_[owner]->self.incarnation;
  RunOnNode(owner, owner_incarnation, timeline_.RandomMs(1, 5), [this, attempt, owner] {
    auto& node = *nodes_[owner];
    const auto ticket = next_id_++;
    node.claims[ticket] = [this, attempt](const ClaimReply& reply) {
      if (timeline_.Random(0, 99) < lost_reply_percent_) return;
      RunOnNode(attempt->entry, attempt->incarnation, timeline_.RandomMs(1, 5),
                [this, attempt, reply] { OnClaimReply(attempt, reply); });
    };
    ClaimRequest request{
        attempt->key,       kClient,          "catalogue", "print", core::Rank::kNormal,
        HolderOf(*attempt), attempt->claim_id};
    node.shard.Claim(ticket, request, Clock());
  });
  // A second delivery: the entry instance sends a claim again after its connection broke.
  if (timeline_.Random(0, 9) == 0 && !attempt->probing) {
    RunOnNode(attempt->entry, attempt->incarnation, timeline_.RandomMs(100, 900), [this, attempt] {
      if (!attempt->done) SendClaim(attempt);
    });
  }
}

void SimulatedDomain::OnClaimReply(const AttemptPtr& attempt, const ClaimReply& reply) {
  if (attempt->done) return;
  attempt->done = true;
  attempt->probe = reply;
  auto& key = history_[attempt->key];
  if (const auto* granted = std::get_if<Granted>(&reply)) {
    if (!attempt->probing) RunAtBackend(attempt, granted->attempt);
    return;
  }
  // Another delivery of the same claim may still be granted.
  if (attempt->sends > 1) ReleaseClaim(attempt);
  if (const auto* recorded = std::get_if<RecordedAnswer>(&reply)) {
    key.confirmed = true;
    key.answer = recorded->body;
    key.may_have_run = true;
  } else if (std::holds_alternative<InProgress>(reply) ||
             std::holds_alternative<OutcomeUnknown>(reply)) {
    key.may_have_run = true;
  }
}

void SimulatedDomain::RunAtBackend(const AttemptPtr& attempt, std::uint64_t number) {
  CompleteRequest request{attempt->key,           number, attempt->claim_id, HolderOf(*attempt),
                          core::Outcome::kNotRun, {}};
  if (timeline_.Random(0, 9) == 0) return SendComplete(attempt, request, 20);
  auto& key = history_[attempt->key];
  ++key.runs;
  key.may_have_run = true;
  const bool unknown = timeline_.Random(0, 9) == 0;
  request.outcome = unknown ? core::Outcome::kUnknown : core::Outcome::kRan;
  if (!unknown) request.answer = {200, "text/plain", "answer " + std::to_string(attempt->claim_id)};
  RunOnNode(attempt->entry, attempt->incarnation, timeline_.RandomMs(1, 400),
            [this, attempt, request] { SendComplete(attempt, request, 20); });
}

void SimulatedDomain::SendComplete(const AttemptPtr& attempt, const CompleteRequest& request,
                                   int tries) {
  if (tries == 0) return;
  auto answered = std::make_shared<bool>(false);
  const auto owner = PickLikelyOwner();
  RunOnNode(owner, nodes_[owner]->self.incarnation, timeline_.RandomMs(1, 5),
            [this, attempt, request, owner, answered] {
              auto& node = *nodes_[owner];
              const auto ticket = next_id_++;
              node.completes[ticket] = [this, attempt, request, answered](bool recorded) {
                if (timeline_.Random(0, 99) < lost_reply_percent_ || !recorded) return;
                RunOnNode(attempt->entry, attempt->incarnation, timeline_.RandomMs(1, 5),
                          [this, request, answered] {
                            *answered = true;
                            if (request.outcome != core::Outcome::kRan) return;
                            history_[request.key].confirmed = true;
                            history_[request.key].answer = request.answer.body;
                          });
              };
              node.shard.Complete(ticket, request, Clock());
            });
  RunOnNode(attempt->entry, attempt->incarnation, Ms(1'000),
            [this, attempt, request, answered, tries] {
              if (!*answered) SendComplete(attempt, request, tries - 1);
            });
}

/// The requester stops waiting: it does not run the operation and releases the claim.
void SimulatedDomain::AbandonClaim(const AttemptPtr& attempt) {
  if (attempt->done) return;
  attempt->done = true;
  ReleaseClaim(attempt);
}

void SimulatedDomain::ReleaseClaim(const AttemptPtr& attempt) {
  CompleteRequest release;
  release.key = attempt->key;
  release.claim_id = attempt->claim_id;
  release.holder = HolderOf(*attempt);
  release.outcome = core::Outcome::kNotRun;
  SendComplete(attempt, release, 20);
}

void SimulatedDomain::StartClients(int keys, int requests, int until_ms) {
  for (int i = 0; i < keys; ++i) {
    keys_.push_back(OperationKey::Issue(kShard, timeline_.WallMs(), kClient, kSalt).Text());
  }
  for (int i = 0; i < requests; ++i) {
    const auto& key = keys_[static_cast<std::size_t>(timeline_.Random(0, keys - 1))];
    timeline_.After(timeline_.RandomMs(0, until_ms), [this, &key] { Request(key, false); });
  }
}

void SimulatedDomain::Inject(const std::vector<Fault>& faults) {
  for (const auto& fault : faults) {
    timeline_.After(Ms(fault.at_ms), [this, fault] {
      auto& node = *nodes_[fault.node % nodes_.size()];
      switch (fault.kind) {
        case FaultKind::kKill:
          return KillNode(fault.node % nodes_.size());
        case FaultKind::kPause:
          node.paused_until = timeline_.now() + Ms(fault.for_ms);
          return;
        case FaultKind::kStoreDown:
          store_.down = true;
          return timeline_.After(Ms(fault.for_ms), [this] { store_.down = false; });
        case FaultKind::kStoreSlow:
          store_.slow = true;
          return timeline_.After(Ms(fault.for_ms), [this] { store_.slow = false; });
        case FaultKind::kStoreLossy:
          store_.lost_percent = 40;
          return timeline_.After(Ms(fault.for_ms), [this] { store_.lost_percent = 0; });
        default:
          lost_reply_percent_ = 30;
          return timeline_.After(Ms(fault.for_ms), [this] { lost_reply_percent_ = 0; });
      }
    });
  }
}

std::string SimulatedDomain::CheckRuns(const std::string& key) const {
  const auto it = history_.find(key);
  if (it == history_.end()) return "";
  const auto& seen = it->second;
  if (seen.runs > 1) return " ran " + std::to_string(seen.runs) + " times";
  if (seen.confirmed && seen.runs != 1) return " was confirmed without a run";
  if (!seen.may_have_run && seen.runs > 0) return " ran although the reply was not-run";
  return "";
}

/// Checks the reply to a claim that is sent after all faults have ended.
std::string SimulatedDomain::CheckReply(const std::string& key, const ClaimReply& reply) const {
  const auto it = history_.find(key);
  const auto seen = it == history_.end() ? KeyHistory{} : it->second;
  if (std::holds_alternative<Granted>(reply) && seen.runs > 0) return " was granted after a run";
  if (!leases_) return "";  // A former owner that is idle may still answer from its own records.
  const auto* recorded = std::get_if<RecordedAnswer>(&reply);
  const bool matches = recorded != nullptr && recorded->body == seen.answer;
  if (seen.confirmed && !matches) return " was confirmed but got " + ReplyName(reply);
  if (std::holds_alternative<InProgress>(reply)) return " remained in progress";
  if (std::holds_alternative<Unavailable>(reply)) return " remained unavailable";
  return "";
}

std::string SimulatedDomain::CheckInvariants() {
  Run(40'000);
  if (leases_overlapped_) return "two instances held the lease at the same time";
  for (const auto& key : keys_) {
    if (auto report = CheckRuns(key); !report.empty()) return key + report;
    const auto probe = Request(key, true);
    Run(500);
    if (!probe->probe) return key + " got no reply after all faults had ended";
    if (auto report = CheckReply(key, *probe->probe); !report.empty()) return key + report;
  }
  return "";
}

}  // namespace vanilladeck::testing

// Handles claims and outcomes.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "vanilladeck/operations/shard.h"

namespace vanilladeck::operations {
namespace {

// Claims are refused at once when the store has been failing for this long.
constexpr core::Duration kFailFastAfter = std::chrono::milliseconds(500);
constexpr int kAnswerNotKeptStatus = 409;

// Older entries can be dropped: claims of a process that ended long ago no longer arrive.
constexpr std::size_t kMaxGoneHolders = 1'024;

/// Fraction of the open batch and of the index that claims of a rank may fill, so that a flood of a
/// less urgent rank leaves room for the others.
constexpr core::PerRank<double> kFillLimit{1.0, 0.8, 0.6};

bool Fits(std::size_t used, std::size_t limit, core::Rank rank) {
  return static_cast<double>(used) <= static_cast<double>(limit) * kFillLimit[core::Index(rank)];
}

}  // namespace

void Shard::Claim(std::uint64_t ticket, const ClaimRequest& request, const Now& now) {
  latest_wall_ms_ = std::max(latest_wall_ms_, now.wall_ms);
  const auto key = OperationKey::Parse(request.key);
  if (key.has_error() || key.value().shard() != options_.shard ||
      !key.value().BelongsTo(request.client, options_.salt)) {
    return Answer(ticket, Mismatch{});
  }
  if (phase_ != Phase::kActive) return Answer(ticket, Unavailable{});
  const RecordId id = key.value().id();
  Record* record = index_.Find(id);
  if (record != nullptr) {
    if (index_.Service(request.service) != record->service ||
        CompactFingerprint(request.fingerprint) != record->fingerprint) {
      return Answer(ticket, Mismatch{});
    }
    if (record->state != RecordState::kReleased) {
      auto reply = AnswerFromRecord(request, ticket, id, *record);
      if (reply) Answer(ticket, std::move(*reply));
      return;
    }
  }
  auto refusal = RefuseNewAttempt(request, id, now);
  if (!refusal && record == nullptr && id.issue_ms <= unknown_until_ms_) refusal = OutcomeUnknown{};
  if (refusal) return Answer(ticket, std::move(*refusal));
  AddClaim(ticket, request, id, record == nullptr ? 1 : record->attempt + 1, now);
}

void Shard::OnInstanceGone(const core::InstanceId& holder) {
  gone_holders_.push_back(holder);
  if (gone_holders_.size() > kMaxGoneHolders) gone_holders_.pop_front();
  index_.SetGone(holder, true);
}

void Shard::OnInstanceBack(const core::InstanceId& holder) {
  std::erase(gone_holders_, holder);
  index_.SetGone(holder, false);
}

/// Answers a claim for a key that has a record; nullopt if `ticket` now waits for a batch.
std::optional<ClaimReply> Shard::AnswerFromRecord(const ClaimRequest& request, std::uint64_t ticket,
                                                  const RecordId& id, Record& record) {
  const bool same_claim = request.claim_id != 0 && record.claim_id == request.claim_id &&
                          index_.Holder(record) == request.holder;
  switch (record.state) {
    case RecordState::kRan:
      if (!record.durable) return InProgress{};
      return *record.answer;
    case RecordState::kClaimed:
      if (same_claim && record.durable) return Granted{record.attempt};
      if (same_claim) {
        auto* pending = FindPendingClaim(id);
        if (pending == nullptr || pending->abandoned) return Unavailable{};
        pending->tickets.push_back(ticket);
        return std::nullopt;
      }
      if (index_.Orphaned(record)) return OutcomeUnknown{};
      return InProgress{};
    case RecordState::kUnknown:
    case RecordState::kReleased:
      break;
  }
  return OutcomeUnknown{};
}

/// Returns the refusal if no new attempt may be recorded; nullopt otherwise.
std::optional<ClaimReply> Shard::RefuseNewAttempt(const ClaimRequest& request, const RecordId& id,
                                                  const Now& now) const {
  const auto skew = options_.clock_skew.count();
  const bool too_old = id.issue_ms < latest_wall_ms_ - options_.retention.count() + skew;
  if (too_old || id.issue_ms > now.wall_ms + skew) return Expired{};
  const bool already_released = released_claims_.Contains(request.holder, request.claim_id);
  // If nothing is waiting to be written, the write of this claim probes whether the store is back.
  const bool writing = writer_.state() != impl::WriteState::kIdle || !open_batch_.empty();
  const bool store_failing =
      writing && failing_since_ && now.steady - *failing_since_ >= kFailFastAfter;
  const bool full = !Fits(open_bytes_, options_.max_batch_bytes, request.rank) ||
                    !Fits(index_.bytes(), options_.max_index_bytes, request.rank);
  if (already_released || store_failing || full || resigning_ || now.steady >= lease_until_) {
    return Unavailable{};
  }
  return std::nullopt;
}

void Shard::AddClaim(std::uint64_t ticket, const ClaimRequest& request, const RecordId& id,
                     std::uint32_t attempt, const Now& now) {
  Pending pending;
  pending.entry = ClaimEntry{id,           request.service, CompactFingerprint(request.fingerprint),
                             request.rank, request.holder,  request.claim_id,
                             attempt};
  pending.bytes = EncodedBytes(pending.entry);
  pending.rank = request.rank;
  pending.tickets = {ticket};
  pending.answer_by = now.steady + options_.claim_timeout;
  index_.Apply(pending.entry);
  Enqueue(std::move(pending), now);
}

void Shard::Enqueue(Pending pending, const Now& now) {
  if (open_batch_.empty()) open_since_ = now.steady;
  open_bytes_ += pending.bytes;
  open_batch_.push_back(std::move(pending));
}

void Shard::Complete(std::uint64_t ticket, const CompleteRequest& request, const Now& now) {
  const auto key = OperationKey::Parse(request.key);
  if (phase_ != Phase::kActive || key.has_error() || key.value().shard() != options_.shard) {
    return Answer(ticket, false);
  }
  const RecordId id = key.value().id();
  if (request.attempt == 0) return ReleaseByClaimId(ticket, request, id, now);
  Record* record = index_.Find(id);
  if (record == nullptr || record->attempt != request.attempt ||
      index_.Holder(*record) != request.holder) {
    return Answer(ticket, false);
  }
  const bool ran = request.outcome == core::Outcome::kRan;
  const bool not_run = request.outcome == core::Outcome::kNotRun;
  if ((record->state == RecordState::kRan && !ran) ||
      (record->state == RecordState::kReleased && !not_run)) {
    return Answer(ticket, false);
  }
  if (record->state == RecordState::kRan && record->durable) return Answer(ticket, true);
  if (not_run) released_claims_.Add(request.holder, record->claim_id);
  OutcomeEntry entry{id, request.attempt, request.outcome, std::nullopt};
  if (ran) entry.answer = record->answer ? *record->answer : AnswerToRecord(request.answer);
  AddOutcome(ticket, std::move(entry), *record, now);
}

/// Releases a claim whose attempt number the requester does not know.
void Shard::ReleaseByClaimId(std::uint64_t ticket, const CompleteRequest& request,
                             const RecordId& id, const Now& now) {
  if (request.claim_id == 0 || request.outcome != core::Outcome::kNotRun) {
    return Answer(ticket, false);
  }
  // A duplicate of the claim request may still be in transit; it must not be granted.
  released_claims_.Add(request.holder, request.claim_id);
  Record* record = index_.Find(id);
  const bool same_claim = record != nullptr && record->claim_id == request.claim_id &&
                          index_.Holder(*record) == request.holder;
  // Without the lease, another owner may hold the claim: the requester has to retry.
  if (!same_claim) return Answer(ticket, now.steady < lease_until_);
  if (record->state == RecordState::kRan || record->state == RecordState::kUnknown) {
    return Answer(ticket, false);
  }
  if (DropQueuedClaim(id)) return Answer(ticket, true);
  AddOutcome(ticket, {id, record->attempt, core::Outcome::kNotRun, std::nullopt}, *record, now);
}

void Shard::AddOutcome(std::optional<std::uint64_t> ticket, OutcomeEntry entry, Record& record,
                       const Now& now) {
  Pending pending;
  pending.entry = std::move(entry);
  pending.bytes = EncodedBytes(pending.entry);
  pending.rank = record.rank;
  if (ticket) pending.tickets = {*ticket};
  if (outcome_backlog_bytes_ + pending.bytes > options_.max_outcome_backlog_bytes) {
    record.orphaned = true;
    if (ticket) Answer(*ticket, false);
    return;
  }
  outcome_backlog_bytes_ += pending.bytes;
  index_.Apply(pending.entry);
  record.durable = false;
  Enqueue(std::move(pending), now);
}

RecordedAnswer Shard::AnswerToRecord(const RecordedAnswer& answer) const {
  if (answer.body.size() + answer.content_type.size() <= options_.max_answer_bytes) return answer;
  const nlohmann::json problem{
      {"type", "about:blank"},
      {"title", "Answer not kept"},
      {"status", kAnswerNotKeptStatus},
      {"detail",
       "The operation ran once. Its answer is longer than the limit for recorded answers."},
      {"original_status", answer.status},
      {"answer_bytes", answer.body.size()},
      {"answer_limit_bytes", options_.max_answer_bytes}};
  return {kAnswerNotKeptStatus, "application/problem+json", problem.dump()};
}

Shard::Pending* Shard::FindPendingClaim(const RecordId& id) {
  const auto is_claim = [&id](const Pending& pending) {
    const auto* claim = std::get_if<ClaimEntry>(&pending.entry);
    return claim != nullptr && claim->id == id;
  };
  // Search backwards: if the key has several claims, the earlier ones were released.
  const auto open = std::find_if(open_batch_.rbegin(), open_batch_.rend(), is_claim);
  if (open != open_batch_.rend()) return &*open;
  const auto sent = std::find_if(in_flight_.rbegin(), in_flight_.rend(), is_claim);
  return sent != in_flight_.rend() ? &*sent : nullptr;
}

/// Removes a claim that was never sent to the store from the index.
void Shard::UndoClaim(const Pending& claim) {
  const auto& entry = std::get<ClaimEntry>(claim.entry);
  Record* record = index_.Find(entry.id);
  if (record == nullptr || record->attempt != entry.attempt) return;
  if (entry.attempt == 1) {
    index_.Erase(entry.id);
  } else {
    record->state = RecordState::kReleased;
    --record->attempt;
    record->durable = true;
  }
}

bool Shard::DropQueuedClaim(const RecordId& id) {
  const auto it =
      std::find_if(open_batch_.rbegin(), open_batch_.rend(), [&id](const Pending& pending) {
        const auto* claim = std::get_if<ClaimEntry>(&pending.entry);
        return claim != nullptr && claim->id == id;
      });
  if (it == open_batch_.rend()) return false;
  for (const auto ticket : it->tickets) Answer(ticket, Unavailable{});
  open_bytes_ -= it->bytes;
  UndoClaim(*it);
  open_batch_.erase(std::next(it).base());
  return true;
}

void Shard::RefuseLateClaims(const Now& now) {
  const auto late = [&now](const Pending& pending) {
    return !pending.abandoned && now.steady >= pending.answer_by &&
           std::holds_alternative<ClaimEntry>(pending.entry);
  };
  for (auto& pending : in_flight_) {
    if (!late(pending)) continue;
    for (const auto ticket : pending.tickets) Answer(ticket, Unavailable{});
    pending.tickets.clear();
    pending.abandoned = true;
  }
  std::erase_if(open_batch_, [&](const Pending& pending) {
    if (!late(pending)) return false;
    for (const auto ticket : pending.tickets) Answer(ticket, Unavailable{});
    open_bytes_ -= pending.bytes;
    UndoClaim(pending);
    return true;
  });
}

/// Answers the requests that waited for an entry that is now in the store.
void Shard::OnEntryDurable(Pending& pending, const Now& now) {
  if (const auto* outcome = std::get_if<OutcomeEntry>(&pending.entry)) {
    outcome_backlog_bytes_ -= pending.bytes;
    Record* record = index_.Find(outcome->id);
    if (record != nullptr && record->attempt == outcome->attempt) record->durable = true;
    for (const auto ticket : pending.tickets) Answer(ticket, true);
    return;
  }
  const auto& claim = std::get<ClaimEntry>(pending.entry);
  Record* record = index_.Find(claim.id);
  if (record == nullptr || record->attempt != claim.attempt) return;
  const bool released = record->state != RecordState::kClaimed;
  if (!released) record->durable = true;
  if (released || pending.abandoned || now.steady >= lease_until_) {
    for (const auto ticket : pending.tickets) Answer(ticket, Unavailable{});
    if (!released) {
      AddOutcome(std::nullopt, {claim.id, claim.attempt, core::Outcome::kNotRun, std::nullopt},
                 *record, now);
    }
    return;
  }
  for (const auto ticket : pending.tickets) Answer(ticket, Granted{claim.attempt});
}

}  // namespace vanilladeck::operations

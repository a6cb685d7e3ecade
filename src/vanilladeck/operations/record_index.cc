#include "vanilladeck/operations/record_index.h"

#include <algorithm>

namespace vanilladeck::operations {
namespace {

constexpr std::int64_t kMsPerMinute = 60'000;
// Hash node with its two pointers and the bucket slot; the entry in `by_minute_` is added below.
constexpr std::size_t kNodeBytes = sizeof(std::pair<const RecordId, Record>) + 3 * sizeof(void*);
constexpr std::size_t kRecordBytes = kNodeBytes + sizeof(RecordId);
constexpr std::size_t kAllocationBytes = 16;

std::size_t AnswerBytes(const RecordedAnswer& answer) {
  return sizeof(RecordedAnswer) + answer.body.size() + answer.content_type.size() +
         2 * kAllocationBytes;
}

}  // namespace

Record* RecordIndex::Find(const RecordId& id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

Record* RecordIndex::Apply(const LogEntry& entry) {
  if (const auto* claim = std::get_if<ClaimEntry>(&entry)) return ApplyClaim(*claim);
  return ApplyOutcome(std::get<OutcomeEntry>(entry));
}

Record* RecordIndex::ApplyClaim(const ClaimEntry& claim) {
  const auto [it, added] = records_.try_emplace(claim.id);
  if (added) by_minute_[claim.id.issue_ms / kMsPerMinute].push_back(claim.id);
  Record& record = it->second;
  SubtractAnswerBytes(record);
  record = Record{};
  record.rank = claim.rank;
  record.service = services_.Add(claim.service);
  record.holder = holders_.Add(claim.holder);
  gone_.resize(holders_.size());
  record.attempt = static_cast<std::uint32_t>(claim.attempt);
  record.claim_id = claim.claim_id;
  record.fingerprint = claim.fingerprint;
  return &record;
}

Record* RecordIndex::ApplyOutcome(const OutcomeEntry& entry) {
  const auto it = records_.find(entry.id);
  // The claim was deleted with its bucket, or a later attempt has been claimed.
  if (it == records_.end() || it->second.attempt != entry.attempt) return nullptr;
  Record& record = it->second;
  if (record.state == RecordState::kRan) return &record;
  switch (entry.outcome) {
    case core::Outcome::kNotRun:
      record.state = RecordState::kReleased;
      break;
    case core::Outcome::kUnknown:
      record.state = RecordState::kUnknown;
      break;
    case core::Outcome::kRan:
      record.state = RecordState::kRan;
      record.answer = std::make_unique<RecordedAnswer>(entry.answer.value_or(RecordedAnswer{}));
      answer_bytes_ += AnswerBytes(*record.answer);
      break;
  }
  return &record;
}

void RecordIndex::SubtractAnswerBytes(const Record& record) {
  if (record.answer) answer_bytes_ -= AnswerBytes(*record.answer);
}

void RecordIndex::Erase(const RecordId& id) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  SubtractAnswerBytes(it->second);
  records_.erase(it);
  auto& minute = by_minute_[id.issue_ms / kMsPerMinute];
  // Erased records are usually recent, so search from the end.
  const auto listed = std::find(minute.rbegin(), minute.rend(), id);
  if (listed != minute.rend()) minute.erase(std::next(listed).base());
}

std::size_t RecordIndex::Trim(std::int64_t issue_ms) {
  const std::int64_t minute = issue_ms / kMsPerMinute;
  if (minute <= first_minute_) return 0;
  first_minute_ = minute;
  const std::size_t before = records_.size();
  for (auto it = by_minute_.begin(); it != by_minute_.end();) {
    if (it->first >= minute) {
      ++it;
      continue;
    }
    for (const auto& id : it->second) {
      const auto record = records_.find(id);
      SubtractAnswerBytes(record->second);
      records_.erase(record);
    }
    it = by_minute_.erase(it);
  }
  return before - records_.size();
}

void RecordIndex::SetGone(const core::InstanceId& holder, bool gone) {
  // Also recorded for unknown holders: one of their claims may still be in transit.
  const auto number = holders_.Add(holder);
  gone_.resize(holders_.size());
  gone_[number] = gone;
}

void RecordIndex::FinishReplay() {
  for (auto& [id, record] : records_) {
    record.durable = true;
    record.orphaned = record.state == RecordState::kClaimed;
  }
}

std::size_t RecordIndex::bytes() const noexcept {
  return records_.size() * kRecordBytes + answer_bytes_;
}

}  // namespace vanilladeck::operations

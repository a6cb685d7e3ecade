#include "vanilladeck/config/publisher.h"

#include <utility>

#include "vanilladeck/config/parse_deployment.h"
#include "vanilladeck/core/hash.h"

namespace vanilladeck::config {
namespace {

constexpr core::Duration kInitialRetryDelay = std::chrono::milliseconds(50);
constexpr core::Duration kMaxRetryDelay = std::chrono::seconds(1);
constexpr std::size_t kMaxMarkBytes = 128;
constexpr std::size_t kMaxWhoBytes = 256;

}  // namespace

Publisher::Publisher(PublishRequest request, VersionChain chain, std::uint64_t seed)
    : request_(std::move(request)),
      chain_(std::move(chain)),
      backoff_(kInitialRetryDelay, kMaxRetryDelay, seed) {}

std::optional<PublishRefused> Publisher::Validate() {
  if (request_.mark.empty() || request_.mark.size() > kMaxMarkBytes) {
    return PublishRefused{PublishRefusal::kInvalidRequest, "mark must have 1 to 128 bytes", {}};
  }
  if (request_.who.empty() || request_.who.size() > kMaxWhoBytes) {
    return PublishRefused{PublishRefusal::kInvalidRequest, "who must have 1 to 256 bytes", {}};
  }
  const auto parsed = ParseDeployment(request_.text, "deployment");
  if (!parsed) {
    return PublishRefused{PublishRefusal::kInvalidText, "the text breaks the rules",
                          parsed.error()};
  }
  deployment_ = parsed.value().name;
  return std::nullopt;
}

PublishStep Publisher::Begin(std::uint64_t highest_known, core::TimePoint now) {
  highest_known_ = highest_known;
  deadline_ = now + kPublishTimeout;
  if (auto refused = Validate()) return PublishOutcome(std::move(*refused));
  state_ = State::kReadHead;
  return NextStep();
}

PublishStep Publisher::OnTimer(std::uint64_t highest_known, core::TimePoint /*now*/) {
  highest_known_ = highest_known;
  return NextStep();
}

PublishStep Publisher::NextStep() {
  switch (state_) {
    case State::kReadHead:
      return store::Request(store::Get{std::string(kHeadKey)});
    case State::kReadRecords:
      return reader_->NextRequest();
    case State::kWritePart:
      return store::Request(parts_[next_part_]);
    case State::kSwapHead:
      if (highest_known_ > request_.base_version) {
        state_ = State::kReadHead;
        return NextStep();
      }
      return store::Request(
          store::CompareAndSwap{std::string(kHeadKey), Encode(record_->head), head_index_});
    case State::kDeleteRecord:
      return store::Request(store::DeletePrefix{RecordPrefix(record_->head)});
  }
  return PublishOutcome(PublishUnknown{"invalid state", record_});
}

PublishStep Publisher::Refuse(PublishRefusal reason, std::string message) {
  if (swap_outcome_unknown_) return PublishOutcome(PublishUnknown{std::move(message), record_});
  return PublishOutcome(PublishRefused{reason, std::move(message), {}});
}

PublishStep Publisher::RetryLater(std::string_view reason, core::TimePoint now) {
  const auto until = now + backoff_.NextDelay();
  if (until < deadline_) return PublishWait{until};
  return Refuse(PublishRefusal::kStoreUnavailable,
                "gave up after 10 s, last reason: " + std::string(reason));
}

PublishStep Publisher::OnResult(const store::StoreResult& result, std::uint64_t highest_known,
                                core::TimePoint now) {
  highest_known_ = highest_known;
  if (state_ == State::kDeleteRecord) return std::move(*outcome_);
  if (!result) return OnFailure(result.error(), now);
  const auto& reply = result.value();
  if (const auto* get = std::get_if<store::GetReply>(&reply); get && state_ == State::kReadHead) {
    return OnHead(*get, now);
  }
  if (const auto* list = std::get_if<store::ListReply>(&reply);
      list && state_ == State::kReadRecords) {
    return OnRecords(*list, now);
  }
  const auto* swap = std::get_if<store::CompareAndSwapReply>(&reply);
  if (swap && state_ == State::kSwapHead) return OnHeadSwapped(swap->swapped);
  if (swap && state_ == State::kWritePart) {
    // A part that already exists has the same content, because its key contains the record's hash.
    if (++next_part_ == parts_.size()) state_ = State::kSwapHead;
    return NextStep();
  }
  return OnFailure({store::StoreErrorCode::kProtocol, std::string(kHeadKey)}, now);
}

PublishStep Publisher::OnFailure(const store::StoreError& error, core::TimePoint now) {
  using store::StoreErrorCode;
  const std::string reason =
      "store: " + std::string(store::kStoreErrorNames[static_cast<std::size_t>(error.code)]);
  const bool may_have_effect =
      error.code == StoreErrorCode::kOutcomeUnknown || error.code == StoreErrorCode::kProtocol;
  swap_outcome_unknown_ = swap_outcome_unknown_ || (state_ == State::kSwapHead && may_have_effect);
  // A store restored from a backup can reuse modification indexes, so values read before a failed
  // call may be stale.
  state_ = State::kReadHead;
  if (error.code == StoreErrorCode::kTooLarge) {
    return Refuse(PublishRefusal::kStoreUnavailable, reason);
  }
  return RetryLater(reason, now);
}

PublishStep Publisher::OnHead(const store::GetReply& reply, core::TimePoint now) {
  store_head_.reset();
  head_index_ = store::kCreateOnly;
  if (reply.entry) {
    store_head_ = DecodeHead(reply.entry->value);
    head_index_ = reply.entry->modify_index;
    if (!store_head_) {
      return Refuse(PublishRefusal::kBrokenHistory, "config/head in the store is malformed");
    }
  }
  const std::uint64_t version = store_head_ ? store_head_->version : 0;
  if (record_ && store_head_ && store_head_->hash == record_->head.hash) {
    // The swap whose reply was lost took effect.
    return Accept(false);
  }
  if (version < highest_known_ || version < chain_.NewestVersion()) {
    auto step = RetryLater("the store was restored to an older version", now);
    if (std::holds_alternative<PublishWait>(step)) return step;
    return Refuse(PublishRefusal::kStoreBehind,
                  "the store holds version " + std::to_string(version) + ", version " +
                      std::to_string(highest_known_) + " is in force; it is being written back");
  }
  if (version == chain_.NewestVersion()) return Decide();
  const std::uint64_t start = chain_.IsEmpty() && request_.base_version < version &&
                                      GroupStart(version) - GroupStart(request_.base_version + 1) <
                                          kMaxGroupsRead * kFullTextInterval
                                  ? request_.base_version + 1
                                  : 0;
  reader_.emplace(chain_, *store_head_, start);
  state_ = State::kReadRecords;
  return NextStep();
}

PublishStep Publisher::OnRecords(const store::ListReply& reply, core::TimePoint now) {
  const auto done = reader_->OnReply(reply);
  if (!done && done.error().code == ChainErrorCode::kMissingRecord) {
    // The publisher of the head writes a record again if a restore of the store removed it.
    state_ = State::kReadHead;
    return RetryLater(Describe(done.error()), now);
  }
  if (!done) return Refuse(PublishRefusal::kBrokenHistory, Describe(done.error()));
  if (!done.value()) return NextStep();
  chain_ = reader_->Chain();
  return Decide();
}

PublishStep Publisher::Decide() {
  if (store_head_ && chain_.NewestHash() != store_head_->hash) {
    return Refuse(PublishRefusal::kBrokenHistory, "the store holds another version " +
                                                      std::to_string(store_head_->version) +
                                                      " than this instance");
  }
  if (const auto found = chain_.FindByMark(request_.mark)) {
    if (found->text_hash == core::Sha256Hex(request_.text)) return Accept(true);
    return Refuse(PublishRefusal::kMarkReused, "the mark belongs to version " +
                                                   std::to_string(found->head.version) +
                                                   ", which has another text");
  }
  const auto newest = chain_.NewestVersion();
  if (request_.base_version > newest) {
    return Refuse(PublishRefusal::kUnknownBase,
                  "base version " + std::to_string(request_.base_version) +
                      " does not exist, the newest is " + std::to_string(newest));
  }
  if (request_.base_version < newest) {
    return request_.base_version + 1 < chain_.OldestVersion() ? DecideOldBase() : Conflict();
  }
  if (!chain_.IsEmpty() && chain_.Newest()->head.deployment != deployment_) {
    return Refuse(PublishRefusal::kOtherDeployment, "the text is for deployment \"" + deployment_ +
                                                        "\", in force is \"" +
                                                        chain_.Newest()->head.deployment + "\"");
  }
  return StartWrites();
}

/// The version after the base is no longer in memory, so only the store shows whether an earlier
/// attempt was accepted as that version.
PublishStep Publisher::DecideOldBase() {
  const auto first = request_.base_version + 1;
  const auto distance = GroupStart(chain_.NewestVersion()) - GroupStart(first);
  if (old_base_was_read_ || distance >= kMaxGroupsRead * kFullTextInterval) {
    return PublishOutcome(PublishUnknown{
        "base version " + std::to_string(request_.base_version) +
            " is too old to establish whether an earlier attempt was accepted; see the history",
        record_});
  }
  old_base_was_read_ = true;
  reader_.emplace(VersionChain(kMaxGroupsRead * kFullTextInterval), *store_head_, first);
  state_ = State::kReadRecords;
  return NextStep();
}

PublishStep Publisher::StartWrites() {
  // After a lost reply the record is reused, so that the identical swap is sent again.
  if (!record_) {
    record_ =
        chain_.MakeNext(request_.text, deployment_, request_.who, request_.when_ms, request_.mark);
    parts_ = PartWrites(*record_);
  }
  next_part_ = 0;
  state_ = State::kWritePart;
  return NextStep();
}

PublishStep Publisher::OnHeadSwapped(bool swapped) {
  if (swapped) return Accept(false);
  // Either another change was accepted first or an earlier swap of this publisher took effect late;
  // reading the head shows which.
  state_ = State::kReadHead;
  return NextStep();
}

PublishStep Publisher::Accept(bool already) {
  if (!already && !chain_.Append(*record_)) {
    return PublishOutcome(PublishUnknown{"the accepted record does not fit the chain", record_});
  }
  const auto found = chain_.FindByMark(request_.mark);
  return PublishOutcome(PublishAccepted{found->head, chain_, already});
}

PublishStep Publisher::Conflict() {
  PublishConflict conflict{request_.base_version, {}, {}};
  for (const auto& record : chain_.RecordsAfter(request_.base_version)) {
    conflict.changes.push_back(record->head);
  }
  if (const auto diff = chain_.Difference(request_.base_version, chain_.NewestVersion())) {
    conflict.difference = FormatDiff(*diff);
  }
  if (!record_) return PublishOutcome(std::move(conflict));
  // The index of the head has changed, so this publisher's swap can no longer succeed and its
  // record will never be referenced.
  outcome_ = std::move(conflict);
  state_ = State::kDeleteRecord;
  return NextStep();
}

}  // namespace vanilladeck::config

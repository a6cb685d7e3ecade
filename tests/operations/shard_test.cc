#include "vanilladeck/operations/shard.h"

#include <catch2/catch.hpp>
#include <optional>

#include "support/fake_store.h"

namespace vanilladeck::testing {
namespace {

using namespace vanilladeck::operations;

constexpr const char* kShard = "fukuoka-a";
const core::InstanceId entry_instance{"10.0.0.9:7000", 9};

/// One owner with a store that answers at once.
struct Rig {
  explicit Rig(FakeStore& store, Timeline& timeline, std::uint64_t owner = 1,
               ShardOptions options = {})
      : store(store), timeline(timeline), shard(WithDefaults(std::move(options), owner)) {
    shard.ExtendLease(core::TimePoint::max());
  }
  static ShardOptions WithDefaults(ShardOptions options, std::uint64_t owner) {
    options.shard = kShard;
    options.salt = "salt";
    options.owner = {"10.0.0." + std::to_string(owner) + ":7000", owner};
    return options;
  }
  [[nodiscard]] Now Clock() const { return {timeline.now(), timeline.WallMs()}; }
  void TakeOver(std::uint64_t known_seq = 0) {
    shard.TakeOver(known_seq, Clock());
    Settle();
  }
  /// Feeds store results and lets the linger pass until nothing changes.
  void Settle(int ms = 100) {
    for (int i = 0; i < ms; ++i) {
      timeline.RunUntil(timeline.now() + Ms(1));
      shard.Tick(Clock());
      for (auto outputs = shard.TakeOutputs(); !outputs.empty(); outputs = shard.TakeOutputs()) {
        for (auto& output : outputs) Handle(output);
      }
    }
  }
  void Handle(ShardOutput& output) {
    if (auto* call = std::get_if<store::Call>(&output)) {
      if (store.down) {
        shard.OnStoreResult(call->id, store::StoreError{}, Clock());
      } else {
        shard.OnStoreResult(call->id, store.Apply(call->request), Clock());
      }
    } else if (auto* claim = std::get_if<ClaimAnswer>(&output)) {
      reply = claim->reply;
    } else if (auto* end = std::get_if<CompleteAnswer>(&output)) {
      recorded = end->reply.recorded;
    } else if (auto* stop = std::get_if<ShardStopped>(&output)) {
      stopped = stop->reason;
    }
  }
  [[nodiscard]] std::string NewKey(std::int64_t age_ms = 0) const {
    return OperationKey::Issue(kShard, timeline.WallMs() - age_ms, "client", "salt").Text();
  }
  ClaimRequest RequestFor(const std::string& key) {
    return {key, "client", "catalogue", "print", core::Rank::kNormal, entry_instance, ++claim_id};
  }
  ClaimReply Claim(const ClaimRequest& request) {
    reply.reset();
    shard.Claim(1, request, Clock());
    Settle();
    return reply.value_or(InProgress{});
  }
  ClaimReply Claim(const std::string& key) { return Claim(RequestFor(key)); }
  bool Complete(const std::string& key, core::Outcome outcome, RecordedAnswer answer = {},
                std::uint64_t attempt = 1) {
    recorded = false;
    shard.Complete(2, {key, attempt, 0, entry_instance, outcome, std::move(answer)}, Clock());
    Settle();
    return recorded;
  }

  FakeStore& store;
  Timeline& timeline;
  Shard shard;
  std::uint64_t claim_id = 100;
  std::optional<ClaimReply> reply;
  std::optional<StopReason> stopped;
  bool recorded = false;
};

template <class T>
bool Is(const ClaimReply& reply) {
  return std::holds_alternative<T>(reply);
}

struct Fixture {
  Timeline timeline{1};
  FakeStore store{timeline};
  Rig rig{store, timeline};
};

}  // namespace

// Guards against a wrong answer for any state that a key can be in.
TEST_CASE_METHOD(Fixture, "claim replies follow the state of the key", "[operations]") {
  rig.TakeOver();
  const auto key = rig.NewKey();
  const auto first = rig.RequestFor(key);
  REQUIRE(Is<Granted>(rig.Claim(first)));
  REQUIRE(Is<Granted>(rig.Claim(first)));  // The same claim again gets the same attempt.
  REQUIRE(Is<InProgress>(rig.Claim(key)));
  auto other = rig.RequestFor(key);
  other.client = "thief";
  REQUIRE(Is<Mismatch>(rig.Claim(other)));
  other = rig.RequestFor(key);
  other.service = "commission";
  REQUIRE(Is<Mismatch>(rig.Claim(other)));
  other = rig.RequestFor(key);
  other.fingerprint = "another body";
  REQUIRE(Is<Mismatch>(rig.Claim(other)));
  REQUIRE(Is<Mismatch>(rig.Claim("not-a-key")));
  rig.shard.OnInstanceGone(entry_instance);
  REQUIRE(Is<OutcomeUnknown>(rig.Claim(key)));
  REQUIRE(rig.Complete(key, core::Outcome::kNotRun));
  REQUIRE(std::get<Granted>(rig.Claim(key)).attempt == 2);
  REQUIRE_FALSE(rig.Complete(key, core::Outcome::kRan, {200, "text/plain", "stale"}, 1));
  REQUIRE(rig.Complete(key, core::Outcome::kRan, {201, "text/plain", "whole"}, 2));
  const auto answer = std::get<RecordedAnswer>(rig.Claim(key));
  REQUIRE((answer.status == 201 && answer.content_type == "text/plain" && answer.body == "whole"));
  REQUIRE_FALSE(rig.Complete(key, core::Outcome::kNotRun, {}, 2));
}

// Guards against keys whose record may be deleted already, and against keys from the future, which
// would outlive their record.
TEST_CASE_METHOD(Fixture, "keys outside the retention are not run", "[operations]") {
  rig.TakeOver();
  REQUIRE(Is<Granted>(rig.Claim(rig.NewKey(894'000))));
  REQUIRE(Is<Expired>(rig.Claim(rig.NewKey(896'000))));
  REQUIRE(Is<Granted>(rig.Claim(rig.NewKey(-4'000))));
  REQUIRE(Is<Expired>(rig.Claim(rig.NewKey(-6'000))));
}

// Guards against running operations whose records a restored backup has lost.
TEST_CASE_METHOD(Fixture, "lost batches make earlier keys unknown", "[operations]") {
  rig.TakeOver();
  const auto kept = rig.NewKey();
  REQUIRE(Is<Granted>(rig.Claim(kept)));
  REQUIRE(rig.Complete(kept, core::Outcome::kRan, {200, "", "kept"}));
  const auto backup = store.data;
  const auto lost = rig.NewKey();
  REQUIRE(Is<Granted>(rig.Claim(lost)));
  REQUIRE(rig.Complete(lost, core::Outcome::kRan, {200, "", "lost"}));
  const auto never_used = rig.NewKey();
  const bool owner_went_on = GENERATE(false, true);
  store.data = backup;
  // A batch after the hole shows the loss; without one, the SEQ that the instance knows of does.
  if (owner_went_on) REQUIRE(Is<Granted>(rig.Claim(rig.NewKey())));
  Rig second(store, timeline, 2);
  second.TakeOver(owner_went_on ? 0 : rig.shard.last_seq());
  REQUIRE(std::get<RecordedAnswer>(second.Claim(kept)).body == "kept");
  REQUIRE(Is<OutcomeUnknown>(second.Claim(lost)));
  REQUIRE(Is<OutcomeUnknown>(second.Claim(never_used)));
  second.Settle(6'000);
  REQUIRE(Is<Granted>(second.Claim(second.NewKey())));
  // The mark survives the next takeover, which finds no gap of its own.
  Rig third(store, timeline, 3);
  third.TakeOver();
  REQUIRE(Is<OutcomeUnknown>(third.Claim(lost)));
  REQUIRE(Is<Granted>(third.Claim(third.NewKey())));
}

// Guards against a former owner that goes on after a long pause, when the batch that fenced it has
// been deleted again.
TEST_CASE_METHOD(Fixture, "owner without appends for half the retention stops", "[operations]") {
  rig.TakeOver();
  timeline.RunUntil(timeline.now() + std::chrono::seconds(451));
  store.data.clear();
  rig.Settle();
  REQUIRE(rig.stopped == StopReason::kFenceExpired);
  REQUIRE(Is<Unavailable>(rig.Claim(rig.NewKey())));
}

// Guards against a fenced owner that keeps granting.
TEST_CASE_METHOD(Fixture, "former owner stops at its next append", "[operations]") {
  rig.TakeOver();
  Rig second(store, timeline, 2);
  second.TakeOver();
  REQUIRE(Is<Unavailable>(rig.Claim(rig.NewKey())));
  REQUIRE(rig.stopped == StopReason::kFenced);
  REQUIRE(Is<Granted>(second.Claim(second.NewKey())));
}

// Guards against an endless log, and against trimming that looks like a loss to the next owner.
TEST_CASE_METHOD(Fixture, "old buckets are deleted and leave no gap", "[operations]") {
  ShardOptions options;
  options.retention = Ms(60'000);
  Rig owner(store, timeline, 1, options);
  owner.TakeOver();
  for (std::uint64_t i = 0; i < 2 * kBatchesPerBucket; ++i) {
    owner.shard.Claim(1, owner.RequestFor(owner.NewKey()), owner.Clock());
    owner.Settle(25);
  }
  const auto before = store.data.size();
  owner.Settle(80'000);
  REQUIRE(Is<Granted>(owner.Claim(owner.NewKey())));
  owner.Settle(3'000);
  REQUIRE(before > 2 * kBatchesPerBucket);
  REQUIRE(store.data.size() < kBatchesPerBucket + 20);
  Rig second(store, timeline, 2, options);
  second.TakeOver();
  REQUIRE(Is<Granted>(second.Claim(second.NewKey(1'000))));
}

// Guards against a batch above the store's limit, a lost claim, and an urgent claim that a flood of
// bulk claims keeps out.
TEST_CASE_METHOD(Fixture, "full batch refuses claims as not run", "[operations]") {
  ShardOptions options;
  options.max_batch_bytes = 100'000;
  Rig owner(store, timeline, 1, options);
  owner.TakeOver();
  auto request = owner.RequestFor(owner.NewKey());
  request.rank = core::Rank::kBulk;
  int refused = 0;
  for (int i = 0; i < 2'000; ++i) {
    request.key = owner.NewKey();
    owner.shard.Claim(1, request, owner.Clock());
    for (auto& output : owner.shard.TakeOutputs()) {
      refused += Is<Unavailable>(std::get<ClaimAnswer>(output).reply) ? 1 : 0;
    }
  }
  REQUIRE(refused > 0);
  REQUIRE(Is<Granted>(owner.Claim([&] {
    auto urgent = owner.RequestFor(owner.NewKey());
    urgent.rank = core::Rank::kUrgent;
    return urgent;
  }())));
  REQUIRE(owner.shard.index().size() == 2'000 - static_cast<std::size_t>(refused) + 1);
  for (const auto& [key, entry] : store.data) REQUIRE(entry.value.size() < 100'000);
}

// Guards against claims that wait for ever while the store is away, and against a shard that keeps
// refusing afterwards.
TEST_CASE_METHOD(Fixture, "store outage refuses claims and ends", "[operations]") {
  rig.TakeOver();
  store.down = true;
  const auto key = rig.NewKey();
  rig.shard.Claim(1, rig.RequestFor(key), rig.Clock());
  rig.Settle(2'500);
  REQUIRE(Is<Unavailable>(*rig.reply));
  store.down = false;
  REQUIRE(Is<Granted>(rig.Claim(key)));
}

// Guards against a grant after the lease of the owner has ended.
TEST_CASE_METHOD(Fixture, "nothing is granted without the lease", "[operations]") {
  rig.TakeOver();
  rig.shard.ExtendLease(timeline.now() + Ms(10));
  REQUIRE(Is<Unavailable>(rig.Claim(rig.NewKey())));  // Durable after the lease: released.
  const auto key = rig.NewKey();
  REQUIRE(Is<Unavailable>(rig.Claim(key)));
  rig.shard.ExtendLease(core::TimePoint::max());
  REQUIRE(Is<Granted>(rig.Claim(key)));
}

// Guards against answers that are cut or that make a batch too large.
TEST_CASE_METHOD(Fixture, "answer above the limit is replaced by a statement", "[operations]") {
  rig.TakeOver();
  const auto key = rig.NewKey();
  REQUIRE(Is<Granted>(rig.Claim(key)));
  REQUIRE(rig.Complete(key, core::Outcome::kRan, {200, "text/plain", std::string(70'000, 'x')}));
  const auto answer = std::get<RecordedAnswer>(rig.Claim(key));
  REQUIRE(answer.status == 409);
  REQUIRE(answer.content_type == "application/problem+json");
  REQUIRE(answer.body.find("\"original_status\":200") != std::string::npos);
}

// Guards against claims and outcomes that are lost when an owner shuts down gracefully.
TEST_CASE_METHOD(Fixture, "resigning writes what is pending", "[operations]") {
  rig.TakeOver();
  const auto key = rig.NewKey();
  REQUIRE(Is<Granted>(rig.Claim(key)));
  rig.shard.Complete(2, {key, 1, 0, entry_instance, core::Outcome::kRan, {200, "", "done"}},
                     rig.Clock());
  rig.shard.Resign(rig.Clock());
  rig.Settle();
  REQUIRE(rig.recorded);
  REQUIRE(rig.stopped == StopReason::kResigned);
  Rig second(store, timeline, 2);
  second.TakeOver();
  REQUIRE(std::get<RecordedAnswer>(second.Claim(key)).body == "done");
}

}  // namespace vanilladeck::testing

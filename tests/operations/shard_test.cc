#include "vanilladeck/operations/shard.h"

#include <catch2/catch.hpp>
#include <optional>

#include "support/fake_store.h"

namespace vanilladeck::testing {
namespace {

using namespace vanilladeck::operations;

constexpr const char* kShard = "fukuoka-a";
const core::InstanceId entry_instance{"10.0.0.9:7000", 9};

/// Drives one owner; the store answers at once.
struct ShardHarness {
  explicit ShardHarness(FakeStore& store, Timeline& timeline, std::uint64_t owner = 1,
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
    Run();
  }
  /// Advances time by `ms` and passes store results and answers on. The default exceeds the linger
  /// time.
  void Run(int ms = 100) {
    for (int i = 0; i < ms; ++i) {
      timeline.RunUntil(timeline.now() + Ms(1));
      shard.Tick(Clock());
      for (auto outputs = shard.TakeOutputs(); !outputs.empty(); outputs = shard.TakeOutputs()) {
        for (auto& output : outputs) OnOutput(output);
      }
    }
  }
  void OnOutput(ShardOutput& output) {
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
    Run();
    return reply.value_or(InProgress{});
  }
  ClaimReply Claim(const std::string& key) { return Claim(RequestFor(key)); }
  bool Complete(const std::string& key, core::Outcome outcome, RecordedAnswer answer = {},
                std::uint64_t attempt = 1) {
    recorded = false;
    shard.Complete(2, {key, attempt, 0, entry_instance, outcome, std::move(answer)}, Clock());
    Run();
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
  ShardHarness harness{store, timeline};
};

}  // namespace

// Guards against a wrong reply in any state of a key.
TEST_CASE_METHOD(Fixture, "claim replies follow the state of the key", "[operations]") {
  harness.TakeOver();
  const auto key = harness.NewKey();
  const auto first = harness.RequestFor(key);
  REQUIRE(Is<Granted>(harness.Claim(first)));
  REQUIRE(Is<Granted>(harness.Claim(first)));  // A repeated claim gets the same attempt.
  REQUIRE(Is<InProgress>(harness.Claim(key)));
  auto other = harness.RequestFor(key);
  other.client = "other-client";
  REQUIRE(Is<Mismatch>(harness.Claim(other)));
  other = harness.RequestFor(key);
  other.service = "commission";
  REQUIRE(Is<Mismatch>(harness.Claim(other)));
  other = harness.RequestFor(key);
  other.fingerprint = "another body";
  REQUIRE(Is<Mismatch>(harness.Claim(other)));
  REQUIRE(Is<Mismatch>(harness.Claim("not-a-key")));
  harness.shard.OnInstanceGone(entry_instance);
  REQUIRE(Is<OutcomeUnknown>(harness.Claim(key)));
  REQUIRE(harness.Complete(key, core::Outcome::kNotRun));
  REQUIRE(std::get<Granted>(harness.Claim(key)).attempt == 2);
  REQUIRE_FALSE(harness.Complete(key, core::Outcome::kRan, {200, "text/plain", "stale"}, 1));
  REQUIRE(harness.Complete(key, core::Outcome::kRan, {201, "text/plain", "whole"}, 2));
  const auto answer = std::get<RecordedAnswer>(harness.Claim(key));
  REQUIRE((answer.status == 201 && answer.content_type == "text/plain" && answer.body == "whole"));
  REQUIRE_FALSE(harness.Complete(key, core::Outcome::kNotRun, {}, 2));
}

// Guards against running keys whose record may have been deleted, and keys from the future, which
// would outlive their record.
TEST_CASE_METHOD(Fixture, "keys outside the retention are not run", "[operations]") {
  harness.TakeOver();
  REQUIRE(Is<Granted>(harness.Claim(harness.NewKey(894'000))));
  REQUIRE(Is<Expired>(harness.Claim(harness.NewKey(896'000))));
  REQUIRE(Is<Granted>(harness.Claim(harness.NewKey(-4'000))));
  REQUIRE(Is<Expired>(harness.Claim(harness.NewKey(-6'000))));
}

// Guards against running operations again whose records were lost when a backup was restored.
TEST_CASE_METHOD(Fixture, "lost batches make earlier keys unknown", "[operations]") {
  harness.TakeOver();
  const auto kept = harness.NewKey();
  REQUIRE(Is<Granted>(harness.Claim(kept)));
  REQUIRE(harness.Complete(kept, core::Outcome::kRan, {200, "", "kept"}));
  const auto backup = store.data;
  const auto lost = harness.NewKey();
  REQUIRE(Is<Granted>(harness.Claim(lost)));
  REQUIRE(harness.Complete(lost, core::Outcome::kRan, {200, "", "lost"}));
  const auto never_used = harness.NewKey();
  const bool owner_continued = GENERATE(false, true);
  store.data = backup;
  // A batch after the gap reveals the loss; without one, the SEQ that the instance knows does.
  if (owner_continued) REQUIRE(Is<Granted>(harness.Claim(harness.NewKey())));
  ShardHarness second(store, timeline, 2);
  second.TakeOver(owner_continued ? 0 : harness.shard.last_seq());
  REQUIRE(std::get<RecordedAnswer>(second.Claim(kept)).body == "kept");
  REQUIRE(Is<OutcomeUnknown>(second.Claim(lost)));
  REQUIRE(Is<OutcomeUnknown>(second.Claim(never_used)));
  second.Run(6'000);
  REQUIRE(Is<Granted>(second.Claim(second.NewKey())));
  // `unknown_until_ms` survives the next takeover, which finds no gap itself.
  ShardHarness third(store, timeline, 3);
  third.TakeOver();
  REQUIRE(Is<OutcomeUnknown>(third.Claim(lost)));
  REQUIRE(Is<Granted>(third.Claim(third.NewKey())));
}

// Guards against a former owner that continues after a long pause, when the batch that fenced it
// has been deleted.
TEST_CASE_METHOD(Fixture, "owner without appends for half the retention stops", "[operations]") {
  harness.TakeOver();
  timeline.RunUntil(timeline.now() + std::chrono::seconds(451));
  store.data.clear();
  harness.Run();
  REQUIRE(harness.stopped == StopReason::kFenceExpired);
  REQUIRE(Is<Unavailable>(harness.Claim(harness.NewKey())));
}

// Guards against a fenced owner that still grants claims.
TEST_CASE_METHOD(Fixture, "former owner stops at its next append", "[operations]") {
  harness.TakeOver();
  ShardHarness second(store, timeline, 2);
  second.TakeOver();
  REQUIRE(Is<Unavailable>(harness.Claim(harness.NewKey())));
  REQUIRE(harness.stopped == StopReason::kFenced);
  REQUIRE(Is<Granted>(second.Claim(second.NewKey())));
}

// Guards against a log that grows without limit, and against deletions that the next owner takes
// for lost batches.
TEST_CASE_METHOD(Fixture, "old buckets are deleted and leave no gap", "[operations]") {
  ShardOptions options;
  options.retention = Ms(60'000);
  ShardHarness owner(store, timeline, 1, options);
  owner.TakeOver();
  for (std::uint64_t i = 0; i < 2 * kBatchesPerBucket; ++i) {
    owner.shard.Claim(1, owner.RequestFor(owner.NewKey()), owner.Clock());
    owner.Run(25);
  }
  const auto before = store.data.size();
  owner.Run(80'000);
  REQUIRE(Is<Granted>(owner.Claim(owner.NewKey())));
  owner.Run(3'000);
  REQUIRE(before > 2 * kBatchesPerBucket);
  REQUIRE(store.data.size() < kBatchesPerBucket + 20);
  ShardHarness second(store, timeline, 2, options);
  second.TakeOver();
  REQUIRE(Is<Granted>(second.Claim(second.NewKey(1'000))));
}

// Guards against a batch above the store's limit, a lost claim, and an urgent claim that is refused
// because of a flood of bulk claims.
TEST_CASE_METHOD(Fixture, "full batch refuses claims as not run", "[operations]") {
  ShardOptions options;
  options.max_batch_bytes = 100'000;
  ShardHarness owner(store, timeline, 1, options);
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

// Guards against claims that wait forever during a store outage, and against a shard that still
// refuses claims afterwards.
TEST_CASE_METHOD(Fixture, "claims are refused during a store outage only", "[operations]") {
  harness.TakeOver();
  store.down = true;
  const auto key = harness.NewKey();
  harness.shard.Claim(1, harness.RequestFor(key), harness.Clock());
  harness.Run(2'500);
  REQUIRE(Is<Unavailable>(*harness.reply));
  store.down = false;
  REQUIRE(Is<Granted>(harness.Claim(key)));
}

// Guards against a grant after the owner's lease has expired.
TEST_CASE_METHOD(Fixture, "nothing is granted without the lease", "[operations]") {
  harness.TakeOver();
  harness.shard.ExtendLease(timeline.now() + Ms(10));
  REQUIRE(Is<Unavailable>(
      harness.Claim(harness.NewKey())));  // Became durable after the lease: released.
  const auto key = harness.NewKey();
  REQUIRE(Is<Unavailable>(harness.Claim(key)));
  harness.shard.ExtendLease(core::TimePoint::max());
  REQUIRE(Is<Granted>(harness.Claim(key)));
}

// Guards against answers that are truncated or that make a batch too large.
TEST_CASE_METHOD(Fixture, "answer above the limit is replaced by a problem document",
                 "[operations]") {
  harness.TakeOver();
  const auto key = harness.NewKey();
  REQUIRE(Is<Granted>(harness.Claim(key)));
  REQUIRE(
      harness.Complete(key, core::Outcome::kRan, {200, "text/plain", std::string(70'000, 'x')}));
  const auto answer = std::get<RecordedAnswer>(harness.Claim(key));
  REQUIRE(answer.status == 409);
  REQUIRE(answer.content_type == "application/problem+json");
  REQUIRE(answer.body.find("\"original_status\":200") != std::string::npos);
}

// Guards against claims and outcomes that are lost when an owner shuts down gracefully.
TEST_CASE_METHOD(Fixture, "resigning writes pending entries", "[operations]") {
  harness.TakeOver();
  const auto key = harness.NewKey();
  REQUIRE(Is<Granted>(harness.Claim(key)));
  harness.shard.Complete(2, {key, 1, 0, entry_instance, core::Outcome::kRan, {200, "", "done"}},
                         harness.Clock());
  harness.shard.Resign(harness.Clock());
  harness.Run();
  REQUIRE(harness.recorded);
  REQUIRE(harness.stopped == StopReason::kResigned);
  ShardHarness second(store, timeline, 2);
  second.TakeOver();
  REQUIRE(std::get<RecordedAnswer>(second.Claim(key)).body == "done");
}

}  // namespace vanilladeck::testing

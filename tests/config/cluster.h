#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/fake_store.h"
#include "config/sample_text.h"
#include "vanilladeck/config/publisher.h"
#include "vanilladeck/config/replica.h"

namespace vanilladeck::config::testing {

/// Correct behavior, or an injected bug that the checks must detect.
enum class Variant : std::uint8_t { kCorrect, kBlindRetry, kAcceptLowerVersion };

/// Simulated instances, each with a replica and a publisher, that share a fake store and run
/// generated schedules.
class Cluster {
 public:
  static constexpr std::size_t kInstances = 4;

  explicit Cluster(Variant variant) : variant_(variant) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      auto& it = instances_.emplace_back();
      it.replica = std::make_unique<Replica>(Replica::Options{"small", i}, now_);
      ApplyActions(i, it.replica->SetReader(i < 2, now_));
    }
  }

  /// Decodes a generated number into an event and runs it.
  void Step(std::uint32_t code) {
    const std::size_t i = (code >> 8U) % kInstances;
    const std::size_t j = (code >> 12U) % kInstances;
    constexpr StoreFault kFaults[] = {StoreFault::kNone,       StoreFault::kNone,
                                      StoreFault::kNone,       StoreFault::kNone,
                                      StoreFault::kLoseReply,  StoreFault::kDelayWrite,
                                      StoreFault::kDelayWrite, StoreFault::kDropRequest};
    const auto fault = kFaults[(code >> 16U) % std::size(kFaults)];
    switch (code % 16) {
      case 0:
      case 1:
      case 2:
        return DeliverToReplica(i, fault);
      case 3:
      case 4:
      case 5:
      case 6:
      case 7:
        return DeliverToPublisher(i, fault);
      case 8:
        return Heartbeat(i, j, fault == StoreFault::kNone);
      case 9:
      case 10:
        return Publish(i, (code >> 20U) % 4 == 0);
      case 11:
        return Retry(i, code >> 20U);
      case 12:
        return store_.ApplyDelayed();
      case 13:
        return Advance(std::chrono::milliseconds((code >> 16U) % 2000));
      case 14:
        if ((code >> 20U) % 4 == 0) return RestoreStore();
        return (code >> 20U) % 4 == 1 ? store_.TakeBackup() : store_.ApplyDelayed();
      default:
        store_.is_down = (code >> 20U) % 4 == 0;
    }
  }

  /// Runs without faults until the instances converge, then checks the final state.
  void RunToCompletion() {
    store_.is_down = false;
    for (int i = 0; i < 50; ++i) store_.ApplyDelayed();
    for (int round = 0; round < 100; ++round) {
      Advance(std::chrono::seconds(1));
      for (std::size_t i = 0; i < kInstances; ++i) {
        for (int call = 0; call < 12; ++call) DeliverToPublisher(i, StoreFault::kNone);
        for (int call = 0; call < 12; ++call) DeliverToReplica(i, StoreFault::kNone);
      }
      ExchangeHeartbeats();
    }
    CheckFinalState();
  }

  /// Violated invariants; empty if all held.
  [[nodiscard]] const std::set<std::string>& Violations() const { return violations_; }
  [[nodiscard]] std::size_t AcceptedCount() const { return accepted_marks_.size(); }
  [[nodiscard]] std::uint64_t StoreCalls() const { return store_.calls; }

 private:
  struct Call {
    std::uint64_t id = 0;
    store::Request request;
    core::TimePoint sent_at;
    bool disconnected = false;  ///< The connection was lost: the call has no reply and no effect.
  };
  struct Instance {
    std::unique_ptr<Replica> replica;
    std::optional<Call> replica_call;
    std::unique_ptr<Publisher> publisher;
    std::optional<Call> publisher_call;
    std::optional<core::TimePoint> publisher_timer;
    std::string mark;
    std::uint64_t last_version = 0;
  };
  struct Change {
    PublishRequest request;
    int attempts = 0;
    std::optional<std::uint64_t> accepted;
    bool failed = false;
  };

  store::StoreResult Perform(const Call& call, StoreFault fault) {
    return store_.Call(call.request, call.disconnected ? StoreFault::kDropRequest : fault);
  }

  void ApplyActions(std::size_t i, ReplicaActions actions) {
    auto& it = instances_[i];
    for (auto& action : actions) {
      if (auto* call = std::get_if<ReplicaStoreCall>(&action)) {
        it.replica_call = Call{call->id, std::move(call->request), now_};
      } else if (auto* fetch = std::get_if<ReplicaPeerFetch>(&action)) {
        const auto& peer = *instances_[std::stoul(fetch->peer)].replica;
        const auto records = peer.EncodedRecordsAfter(fetch->after_version);
        ApplyActions(i, it.replica->OnPeerRecords(
                            fetch->id, fetch_succeeds_ ? records : NoRecords(), now_, WallMs()));
      }
    }
    const auto version = it.replica->Version();
    if (version < it.last_version) violations_.insert("a replica's version decreased");
    it.last_version = version;
  }

  static std::vector<std::string> NoRecords() { return {}; }
  [[nodiscard]] std::int64_t WallMs() const { return now_.time_since_epoch().count() / 1'000'000; }

  void DeliverToReplica(std::size_t i, StoreFault fault) {
    auto& it = instances_[i];
    if (!it.replica_call || Blocks(*it.replica_call, fault)) return;
    const auto call = *std::exchange(it.replica_call, std::nullopt);
    const auto result = Perform(call, fault);
    if (variant_ == Variant::kAcceptLowerVersion && ShowsLowerHead(*it.replica, result)) {
      it.replica = std::make_unique<Replica>(Replica::Options{"small", i}, now_);
      ApplyActions(i, it.replica->SetReader(i < 2, now_));
    }
    ApplyActions(i, it.replica->OnStoreResult(call.id, result, now_, WallMs()));
  }

  /// A blocking read returns when the head has changed, the wait time is over or the call fails.
  [[nodiscard]] bool Blocks(const Call& call, StoreFault fault) {
    const auto* watch = std::get_if<store::Watch>(&call.request);
    if (watch == nullptr || watch->index == 0 || store_.is_down || call.disconnected) return false;
    if (now_ >= call.sent_at + watch->wait) return false;
    return fault == StoreFault::kNone && store_.IndexOf(watch->key) == watch->index;
  }

  static bool ShowsLowerHead(const Replica& replica, const store::StoreResult& result) {
    if (!result) return false;
    const auto* get = std::get_if<store::GetReply>(&result.value());
    if (get == nullptr || !get->entry) return false;
    const auto head = DecodeHead(get->entry->value);
    return head && head->version < replica.Chain().NewestVersion();
  }

  void DeliverToPublisher(std::size_t i, StoreFault fault) {
    auto& it = instances_[i];
    if (!it.publisher_call) return;
    const auto call = *std::exchange(it.publisher_call, std::nullopt);
    auto result = Perform(call, fault);
    const auto* swap = std::get_if<store::CompareAndSwap>(&call.request);
    if (variant_ == Variant::kBlindRetry && !result && swap && swap->key == kHeadKey) {
      const auto head = store_.Call(store::Get{swap->key}, StoreFault::kNone);
      auto retry = *swap;
      if (head) retry.index = std::get<store::GetReply>(head.value()).index;
      result = store_.Call(retry, StoreFault::kNone);
    }
    HandleStep(i, it.publisher->OnResult(result, it.replica->HighestKnown(), now_));
  }

  void HandleStep(std::size_t i, PublishStep step) {
    auto& it = instances_[i];
    ApplyActions(i, it.replica->OnChainRead(it.publisher->Chain(), now_, WallMs()));
    if (auto* request = std::get_if<store::Request>(&step)) {
      it.publisher_call = Call{0, std::move(*request), now_};
    } else if (const auto* wait = std::get_if<PublishWait>(&step)) {
      it.publisher_timer = wait->until;
    } else {
      FinishPublish(i, std::get<PublishOutcome>(step));
    }
  }

  void FinishPublish(std::size_t i, const PublishOutcome& outcome) {
    auto& change = changes_[instances_[i].mark];
    instances_[i].publisher.reset();
    if (const auto* accepted = std::get_if<PublishAccepted>(&outcome)) {
      const auto version = accepted->head.version;
      const auto [accepted_mark, added] = accepted_marks_.emplace(version, accepted->head.mark);
      if (!added && accepted_mark->second != accepted->head.mark) {
        violations_.insert("two changes accepted as one version");
      }
      if (change.accepted.value_or(version) != version) violations_.insert("accepted twice");
      change.accepted = version;
      ApplyActions(i, instances_[i].replica->OnAccepted(accepted->chain, now_, WallMs()));
    }
    // A refusal covers only its own attempt; after earlier attempts the tool reports "unknown".
    if (std::holds_alternative<PublishConflict>(outcome) ||
        (std::holds_alternative<PublishRefused>(outcome) && change.attempts == 1)) {
      change.failed = true;
    }
    if (const auto* unknown = std::get_if<PublishUnknown>(&outcome); unknown && unknown->record) {
      ApplyActions(i, instances_[i].replica->OnUnknownOutcome(*unknown->record, now_));
    }
    if (change.failed && change.accepted) violations_.insert("accepted change reported failed");
  }

  void Publish(std::size_t i, bool stale_base) {
    const auto version = instances_[i].replica->Chain().NewestVersion();
    PublishRequest request{SampleText(1 + static_cast<int>(changes_.size() % 800)),
                           stale_base && version > 0 ? version - 1 : version, "operator",
                           "mark-" + std::to_string(changes_.size()), WallMs()};
    Start(i, request);
  }

  /// The operators' tool retries the same change through another instance.
  void Retry(std::size_t i, std::uint32_t choice) {
    if (changes_.empty()) return;
    auto it = std::next(changes_.begin(), choice % static_cast<std::uint32_t>(changes_.size()));
    if (!it->second.failed) Start(i, it->second.request);
  }

  void Start(std::size_t i, const PublishRequest& request) {
    auto& it = instances_[i];
    if (it.publisher) return;
    auto& change = changes_[request.mark];
    change.request = request;
    ++change.attempts;
    it.mark = request.mark;
    it.publisher = std::make_unique<Publisher>(request, it.replica->Chain(), changes_.size());
    HandleStep(i, it.publisher->Begin(it.replica->HighestKnown(), now_));
  }

  void Heartbeat(std::size_t from, std::size_t to, bool fetch_succeeds) {
    if (from == to) return;
    fetch_succeeds_ = fetch_succeeds;
    const auto& chain = instances_[from].replica->Chain();
    ApplyActions(to,
                 instances_[to].replica->OnPeerVersion(std::to_string(from), chain.NewestVersion(),
                                                       chain.NewestHash(), now_, WallMs()));
    fetch_succeeds_ = true;
  }

  void ExchangeHeartbeats() {
    for (int round = 0; round < 2; ++round) {
      for (std::size_t i = 0; i < kInstances; ++i) {
        for (std::size_t j = 0; j < kInstances; ++j) Heartbeat(i, j, true);
      }
    }
  }

  /// Exchanges heartbeats first, because a restore during a partition can fork the history, which
  /// is reported but not prevented (docs/CONFIGURATION.md).
  void RestoreStore() {
    ExchangeHeartbeats();
    store_.Restore();
    for (auto& it : instances_) {
      if (it.replica_call) it.replica_call->disconnected = true;
      if (it.publisher_call) it.publisher_call->disconnected = true;
    }
  }

  void Advance(core::Duration step) {
    now_ += step;
    for (std::size_t i = 0; i < kInstances; ++i) {
      auto& it = instances_[i];
      if (it.replica->NextTick() <= now_) ApplyActions(i, it.replica->OnTick(now_, WallMs()));
      if (it.publisher_timer && *it.publisher_timer <= now_) {
        it.publisher_timer.reset();
        HandleStep(i, it.publisher->OnTimer(it.replica->HighestKnown(), now_));
      }
    }
  }

  void CheckFinalState() {
    const auto& first = instances_[0].replica->Chain();
    for (const auto& it : instances_) {
      if (it.publisher) violations_.insert("a publisher did not finish");
      if (it.replica->Chain().NewestHash() != first.NewestHash() ||
          it.replica->Version() != first.NewestVersion()) {
        violations_.insert("replicas did not converge: " + it.replica->Status(WallMs()).problem);
      }
    }
    for (const auto& [version, mark] : accepted_marks_) {
      const auto record = first.Find(version);
      if (!record || record->head.mark != mark) violations_.insert("accepted change was lost");
    }
    for (const auto& record : first.Records()) {
      if (changes_[record->head.mark].failed) violations_.insert("failed change is in force");
    }
    const auto head = store_.Call(store::Get{std::string(kHeadKey)}, StoreFault::kNone);
    const auto& entry = std::get<store::GetReply>(head.value()).entry;
    const auto stored = entry ? DecodeHead(entry->value) : std::nullopt;
    if ((stored ? stored->hash : "") != first.NewestHash()) {
      violations_.insert("the store does not hold the newest version");
    }
  }

  Variant variant_;
  FakeStore store_;
  core::TimePoint now_{std::chrono::hours(1)};
  std::vector<Instance> instances_;
  std::map<std::string, Change> changes_;
  std::map<std::uint64_t, std::string> accepted_marks_;
  std::set<std::string> violations_;
  bool fetch_succeeds_ = true;
};

}  // namespace vanilladeck::config::testing

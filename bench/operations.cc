// Measures operation records: throughput within the store's write budget, operations whose outcome
// is unknown after a crash, memory per record and the cost of a takeover. Time is simulated; the
// CPU cost is that of the real code. Prints Markdown tables.
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "vanilladeck/operations/shard.h"
#include "vanilladeck/store/call_budget.h"

namespace {

using namespace vanilladeck;              // NOLINT(google-build-using-namespace)
using namespace vanilladeck::operations;  // NOLINT(google-build-using-namespace)
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

constexpr std::size_t kShards = 6;  // Current deployments have six failure domains, one shard each.
constexpr double kWritesPerSecond = 300;
constexpr std::size_t kAnswerBytes = 256;
constexpr auto kServiceTime = Milliseconds(50);  // From the grant of a claim to its completion.
constexpr auto kMeasuringTime = std::chrono::seconds(10);
constexpr std::int64_t kStartWallMs = 1'700'000'000'000;

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kSecondsPerNanosecond = 1e-9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kSecondsPerNanosecond;
}

/// In-memory store that counts calls and bytes; `Simulation` adds the round trip.
struct SimulatedStore {
  store::Reply Apply(const store::Request& request) {
    if (const auto* swap = std::get_if<store::CompareAndSwap>(&request)) {
      ++writes;
      bytes_written += swap->value.size();
      const bool created = data.try_emplace(swap->key, swap->value).second;
      return store::CompareAndSwapReply{created};
    }
    ++reads;
    store::ListReply reply;
    if (const auto* list = std::get_if<store::List>(&request)) {
      for (auto it = data.lower_bound(list->prefix);
           it != data.end() && it->first.starts_with(list->prefix); ++it) {
        reply.entries.push_back({it->first, it->second, 1});
        bytes_read += it->first.size() + it->second.size();
      }
    }
    return reply;
  }

  std::map<std::string, std::string> data;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytes_written = 0;
  std::uint64_t bytes_read = 0;
};

/// Shards on simulated time with closed-loop clients: each client claims a key, runs it for the
/// service time, completes it and goes on with the next one.
class Simulation {
 public:
  struct Setup {
    std::size_t clients_per_shard = 1;
    core::Duration round_trip = Milliseconds(3);
    Milliseconds linger{20};
    core::Duration service_time = kServiceTime;
  };

  explicit Simulation(const Setup& setup) : setup_(setup) {
    store::BudgetOptions budget;
    budget.writes_per_s = kWritesPerSecond;
    budget.writers = kShards;
    for (std::size_t i = 0; i < kShards; ++i) {
      budgets_.push_back(store::CallBudget::Make(budget, now_).value());
      shards_.push_back(std::make_unique<Shard>(OptionsFor(i)));
      shards_[i]->ExtendLease(core::TimePoint::max());
      shards_[i]->TakeOver(0, CurrentTime());
      ProcessOutputs(i);
    }
    Run(Milliseconds(1'000));
    for (std::size_t i = 0; i < kShards; ++i) {
      for (std::size_t n = 0; n < setup.clients_per_shard; ++n) {
        // Staggered over 97 ms, as independent clients are not synchronized.
        Schedule(now_ + Microseconds(97 * (n % 1'000)), [this, i] { StartOperation(i); });
      }
    }
  }

  void Run(core::Duration duration) {
    const auto end = now_ + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  struct Counts {
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
  };

  /// Granted claims of one shard that are not yet recorded as completed.
  struct OpenClaimCounts {
    std::size_t running = 0;          ///< Of all holders.
    std::size_t of_first_holder = 0;  ///< Of holder 0, one of ten.
  };
  [[nodiscard]] OpenClaimCounts OpenClaims(std::size_t shard) const {
    OpenClaimCounts open;
    for (const auto& [ticket, operation] : client_operations_) {
      if (operation.shard != shard || !operation.granted) continue;
      ++open.running;
      if (operation.holder == 0) ++open.of_first_holder;
    }
    return open;
  }

  SimulatedStore store;
  Counts counts;

 private:
  struct ClientOperation {
    std::size_t shard = 0;
    std::string key;
    std::size_t holder = 0;
    std::uint64_t attempt = 0;
    bool granted = false;
  };

  static std::string ShardName(std::size_t shard) { return "domain-" + std::to_string(shard); }
  static ShardOptions MakeOptions(std::size_t shard, Milliseconds linger) {
    ShardOptions options;
    options.shard = ShardName(shard);
    options.salt = "salt";
    options.owner = {"10.0.0.1:7000", shard + 1};
    options.linger = linger;
    options.max_index_bytes = std::size_t{4} << 30U;
    return options;
  }
  [[nodiscard]] ShardOptions OptionsFor(std::size_t shard) const {
    return MakeOptions(shard, setup_.linger);
  }
  [[nodiscard]] Now CurrentTime() const {
    return {now_, kStartWallMs +
                      std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch()).count()};
  }
  void Schedule(core::TimePoint time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }
  static core::InstanceId HolderId(std::size_t holder) {
    return {"10.0.1." + std::to_string(holder) + ":7000", holder + 1};
  }

  void StartOperation(std::size_t shard) {
    const auto ticket = next_ticket_++;
    ClientOperation operation{
        shard,
        OperationKey::Issue(ShardName(shard), CurrentTime().wall_ms, "client", "salt").Text(),
        ticket % 10};
    ClaimRequest request{operation.key,
                         "client",
                         "catalogue",
                         std::string(64, 'a'),
                         core::Rank::kNormal,
                         HolderId(operation.holder),
                         ticket};
    client_operations_.emplace(ticket, std::move(operation));
    shards_[shard]->Claim(ticket, request, CurrentTime());
    ProcessOutputs(shard);
  }

  void OnClaim(const ClaimAnswer& answer) {
    auto& operation = client_operations_.at(answer.ticket);
    const auto* granted = std::get_if<Granted>(&answer.reply);
    if (granted == nullptr) {
      ++counts.refused;
      Schedule(now_ + Milliseconds(100),
               [this, shard = operation.shard] { StartOperation(shard); });
      client_operations_.erase(answer.ticket);
      return;
    }
    operation.granted = true;
    operation.attempt = granted->attempt;
    Schedule(now_ + setup_.service_time, [this, ticket = answer.ticket] {
      const auto& running = client_operations_.at(ticket);
      shards_[running.shard]->Complete(ticket,
                                       {running.key,
                                        running.attempt,
                                        0,
                                        HolderId(running.holder),
                                        core::Outcome::kRan,
                                        {200, "application/json", std::string(kAnswerBytes, 'x')}},
                                       CurrentTime());
      ProcessOutputs(running.shard);
    });
  }

  void OnComplete(const CompleteAnswer& answer) {
    const auto shard = client_operations_.at(answer.ticket).shard;
    client_operations_.erase(answer.ticket);
    ++counts.completed;
    Schedule(now_, [this, shard] { StartOperation(shard); });
  }

  void OnStoreCall(std::size_t shard, const store::Call& call) {
    const bool write = std::holds_alternative<store::CompareAndSwap>(call.request);
    const auto kind = write ? store::CallKind::kWrite : store::CallKind::kRead;
    store::StoreResult result = store::StoreError{store::StoreErrorCode::kOverBudget, ""};
    auto delay = core::Duration(0);
    if (budgets_[shard].TryTake(kind, store::ClassOf(call.rank), now_)) {
      result = store.Apply(call.request);
      delay = setup_.round_trip;
    }
    Schedule(now_ + delay, [this, shard, id = call.id, result = std::move(result)] {
      shards_[shard]->OnStoreResult(id, result, CurrentTime());
      ProcessOutputs(shard);
    });
  }

  void ProcessOutputs(std::size_t shard) {
    for (auto outputs = shards_[shard]->TakeOutputs(); !outputs.empty();
         outputs = shards_[shard]->TakeOutputs()) {
      for (auto& output : outputs) {
        if (auto* call = std::get_if<store::Call>(&output)) OnStoreCall(shard, *call);
        if (auto* claim = std::get_if<ClaimAnswer>(&output)) OnClaim(*claim);
        if (auto* end = std::get_if<CompleteAnswer>(&output)) OnComplete(*end);
      }
    }
    const auto wake = std::max(shards_[shard]->NextWake(), now_ + Microseconds(100));
    auto& next_tick = next_ticks_[shard];
    if (next_tick > now_ && next_tick <= wake) return;
    next_tick = wake;
    Schedule(wake, [this, shard] {
      shards_[shard]->Tick(CurrentTime());
      ProcessOutputs(shard);
    });
  }

  Setup setup_;
  core::TimePoint now_{std::chrono::seconds(100)};
  std::multimap<core::TimePoint, std::function<void()>> events_;
  std::vector<store::CallBudget> budgets_;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::map<std::size_t, core::TimePoint> next_ticks_;
  std::map<std::uint64_t, ClientOperation> client_operations_;
  std::uint64_t next_ticket_ = 1;
};

double Seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

void PrintThroughput() {
  std::printf(
      "Batched claims, %zu shards, %.0f writes/s, answers of %zu bytes, service time 50 ms\n\n",
      kShards, kWritesPerSecond, kAnswerBytes);
  std::printf(
      "| round trip ms | concurrent keys per shard | operations/s | writes/s "
      "| writes/operation | KB/write | refused | CPU us/operation |\n");
  std::printf("|---:|---:|---:|---:|---:|---:|---:|---:|\n");
  for (const int round_trip : {3, 110}) {
    for (const std::size_t keys : {1, 6, 60, 90, 400, 600}) {
      Simulation::Setup setup;
      setup.clients_per_shard = keys;
      setup.round_trip = Milliseconds(round_trip);
      Simulation simulation(setup);
      simulation.Run(Milliseconds(1'000));
      const auto counts_before = simulation.counts;
      const auto writes_before = simulation.store.writes;
      const auto bytes_before = simulation.store.bytes_written;
      const double cpu_before = CpuSeconds();
      simulation.Run(kMeasuringTime);
      const double cpu_spent = CpuSeconds() - cpu_before;
      const auto completed =
          static_cast<double>(simulation.counts.completed - counts_before.completed);
      const auto written = static_cast<double>(simulation.store.writes - writes_before);
      std::printf(
          "| %d | %zu | %.0f | %.0f | %.3f | %.1f | %llu | %.1f |\n", round_trip, keys,
          completed / Seconds(kMeasuringTime), written / Seconds(kMeasuringTime),
          written / completed,
          static_cast<double>(simulation.store.bytes_written - bytes_before) / written / 1e3,
          static_cast<unsigned long long>(simulation.counts.refused - counts_before.refused),
          cpu_spent / completed * 1e6);
    }
  }
  std::printf(
      "\nOne record per operation, without batches, needs 2 writes per operation, a create and a "
      "compare-and-swap: %.0f operations/s within %.0f writes/s at any concurrency.\n\n",
      kWritesPerSecond / 2, kWritesPerSecond);
}

void PrintUnknownOutcomes() {
  std::printf("Operations that clients read as unknown after a crash, at 600 keys per shard\n\n");
  std::printf("| round trip ms | crash of | unknown | of one second's operations of the fleet |\n");
  std::printf("|---:|---|---:|---:|\n");
  for (const int round_trip : {3, 110}) {
    Simulation::Setup setup;
    setup.clients_per_shard = 600;
    setup.round_trip = Milliseconds(round_trip);
    Simulation simulation(setup);
    simulation.Run(Milliseconds(3'000));
    const auto completed_before = simulation.counts.completed;
    simulation.Run(Milliseconds(1'000));
    const auto completed_per_second =
        static_cast<double>(simulation.counts.completed - completed_before);
    // When the owner crashes, the granted claims of its shard have no owner. Live holders complete
    // theirs at the next owner, so only those of the crashed instance (one holder of ten) stay
    // unknown.
    double open_in_shard = 0;
    double of_owner_as_holder = 0;
    double of_first_holder = 0;
    constexpr int kSamples = 37;
    for (int sample = 0; sample < kSamples; ++sample) {
      simulation.Run(Milliseconds(29));
      open_in_shard += static_cast<double>(simulation.OpenClaims(0).running) / kSamples;
      of_owner_as_holder +=
          static_cast<double>(simulation.OpenClaims(0).of_first_holder) / kSamples;
      for (std::size_t i = 0; i < kShards; ++i) {
        of_first_holder += static_cast<double>(simulation.OpenClaims(i).of_first_holder) / kSamples;
      }
    }
    const auto print = [&](const char* crash, double unknown) {
      std::printf("| %d | %s | %.0f | %.2f%% |\n", round_trip, crash, unknown,
                  100.0 * unknown / completed_per_second);
    };
    print("owner, until the holders complete", open_in_shard);
    print("owner that is also one of ten holders, permanent, its own shard", of_owner_as_holder);
    print("holder (one of ten), permanent, all shards", of_first_holder);
  }
  std::printf("\n");
}

/// Heap memory in use by this process in bytes.
double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Fills the store with a log of `records` completed operations, in batches of 60.
void FillLog(SimulatedStore& store, std::size_t records) {
  constexpr std::size_t kPerBatch = 60;
  std::uint64_t seq = 0;
  for (std::size_t done = 0; done < records; done += kPerBatch) {
    Batch batch;
    batch.epoch = 1;
    batch.takes_over = seq == 0;
    batch.owner = {"10.0.0.1:7000", 1};
    batch.nonce = ++seq;
    batch.wall_ms = kStartWallMs;
    for (std::size_t i = done; i < std::min(records, done + kPerBatch); ++i) {
      const RecordId id{kStartWallMs, {core::Hash64("record", i), i}};
      batch.entries.emplace_back(
          ClaimEntry{id, "catalogue", {i, i}, core::Rank::kNormal, {"10.0.0.2:7000", 2}, i + 1, 1});
      batch.entries.emplace_back(
          OutcomeEntry{id, 1, core::Outcome::kRan,
                       RecordedAnswer{200, "application/json", std::string(kAnswerBytes, 'x')}});
    }
    store.data.emplace(BatchKey("domain-0", seq), Encode(batch));
  }
}

void PrintTakeover() {
  std::printf("Takeover of one shard, answers of %zu bytes\n\n", kAnswerBytes);
  std::printf(
      "| records | reads | writes | MB read | transfer s at 4 Gbit/s | CPU s | index bytes/record "
      "| heap bytes/record |\n|---:|---:|---:|---:|---:|---:|---:|---:|\n");
  for (const std::size_t records : {100, 1'000, 10'000, 100'000, 1'000'000}) {
    SimulatedStore store;
    FillLog(store, records);
    ShardOptions options;
    options.shard = "domain-0";
    options.owner = {"10.0.0.3:7000", 3};
    auto shard = std::make_unique<Shard>(options);
    const Now now{core::TimePoint(std::chrono::seconds(100)), kStartWallMs + 1'000};
    shard->ExtendLease(core::TimePoint::max());
    shard->TakeOver(0, now);
    double cpu_seconds = 0;
    double heap_growth = 0;
    while (!shard->active()) {
      for (const auto& output : shard->TakeOutputs()) {
        const auto* call = std::get_if<store::Call>(&output);
        if (call == nullptr) continue;
        const auto reply = store.Apply(call->request);
        const double heap_before = HeapBytes();
        const double cpu_before = CpuSeconds();
        shard->OnStoreResult(call->id, reply, now);
        cpu_seconds += CpuSeconds() - cpu_before;
        heap_growth += HeapBytes() - heap_before;
      }
    }
    const auto count = static_cast<double>(records);
    const auto megabytes_read = static_cast<double>(store.bytes_read) / 1e6;
    std::printf("| %zu | %llu | %llu | %.2f | %.3f | %.4f | %.0f | %.0f |\n", records,
                static_cast<unsigned long long>(store.reads),
                static_cast<unsigned long long>(store.writes), megabytes_read,
                megabytes_read * 8 / 4e3, cpu_seconds,
                static_cast<double>(shard->index().bytes()) / count, heap_growth / count);
  }
}

}  // namespace

int main() {
  PrintThroughput();
  PrintUnknownOutcomes();
  PrintTakeover();
}

// Measures operation records: throughput within the store's write budget, answers lost to deaths,
// memory per record and the cost of a takeover. Time is simulated; the CPU cost is that of the real
// code. Prints Markdown tables.
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
using Ms = std::chrono::milliseconds;
using Us = std::chrono::microseconds;

constexpr std::size_t kShards = 6;  // Failure domains of a deployment today.
constexpr double kWritesPerSecond = 300;
constexpr std::size_t kAnswerBytes = 256;
constexpr auto kServiceTime = Ms(50);  // Between the grant and the outcome.
constexpr auto kMeasured = std::chrono::seconds(10);
constexpr std::int64_t kStartWallMs = 1'700'000'000'000;

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kNs = 1e-9;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * kNs;
}

/// Store with a fixed round trip that counts what it serves.
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
    core::Duration round_trip = Ms(3);
    Ms linger{20};
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
      shards_[i]->TakeOver(0, Clock());
      Pump(i);
    }
    Run(Ms(1'000));
    for (std::size_t i = 0; i < kShards; ++i) {
      for (std::size_t n = 0; n < setup.clients_per_shard; ++n) {
        // Clients start spread over a window, as independent callers do.
        At(now_ + Us(97 * (n % 1'000)), [this, i] { Start(i); });
      }
    }
  }

  void Run(core::Duration span) {
    const auto end = now_ + span;
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

  /// Open claims of one shard, split by whether the claim is durable.
  struct Open {
    std::size_t running = 0;  ///< Granted and not yet recorded as completed.
    std::size_t of_holder = 0;
  };
  [[nodiscard]] Open OpenClaims(std::size_t shard) const {
    Open open;
    for (const auto& [ticket, call] : calls_) {
      if (call.shard != shard || !call.granted) continue;
      ++open.running;
      if (call.holder == 0) ++open.of_holder;
    }
    return open;
  }

  SimulatedStore store;
  Counts counts;

 private:
  struct Call {
    std::size_t shard = 0;
    std::string key;
    std::size_t holder = 0;
    std::uint64_t attempt = 0;
    bool granted = false;
  };

  static std::string NameOf(std::size_t shard) { return "domain-" + std::to_string(shard); }
  static ShardOptions Defaults(std::size_t shard, Ms linger) {
    ShardOptions options;
    options.shard = NameOf(shard);
    options.salt = "salt";
    options.owner = {"10.0.0.1:7000", shard + 1};
    options.linger = linger;
    options.max_index_bytes = std::size_t{4} << 30U;
    return options;
  }
  [[nodiscard]] ShardOptions OptionsFor(std::size_t shard) const {
    return Defaults(shard, setup_.linger);
  }
  [[nodiscard]] Now Clock() const {
    return {now_, kStartWallMs + std::chrono::duration_cast<Ms>(now_.time_since_epoch()).count()};
  }
  void At(core::TimePoint time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }
  static core::InstanceId HolderId(std::size_t holder) {
    return {"10.0.1." + std::to_string(holder) + ":7000", holder + 1};
  }

  void Start(std::size_t shard) {
    const auto ticket = next_ticket_++;
    Call call{shard, OperationKey::Issue(NameOf(shard), Clock().wall_ms, "client", "salt").Text(),
              ticket % 10};
    ClaimRequest request{call.key,
                         "client",
                         "catalogue",
                         std::string(64, 'a'),
                         core::Rank::kNormal,
                         HolderId(call.holder),
                         ticket};
    calls_.emplace(ticket, std::move(call));
    shards_[shard]->Claim(ticket, request, Clock());
    Pump(shard);
  }

  void OnClaim(const ClaimAnswer& answer) {
    auto& call = calls_.at(answer.ticket);
    const auto* granted = std::get_if<Granted>(&answer.reply);
    if (granted == nullptr) {
      ++counts.refused;
      At(now_ + Ms(100), [this, shard = call.shard] { Start(shard); });
      calls_.erase(answer.ticket);
      return;
    }
    call.granted = true;
    call.attempt = granted->attempt;
    At(now_ + setup_.service_time, [this, ticket = answer.ticket] {
      const auto& done = calls_.at(ticket);
      shards_[done.shard]->Complete(ticket,
                                    {done.key,
                                     done.attempt,
                                     0,
                                     HolderId(done.holder),
                                     core::Outcome::kRan,
                                     {200, "application/json", std::string(kAnswerBytes, 'x')}},
                                    Clock());
      Pump(done.shard);
    });
  }

  void OnComplete(const CompleteAnswer& answer) {
    const auto shard = calls_.at(answer.ticket).shard;
    calls_.erase(answer.ticket);
    ++counts.completed;
    At(now_, [this, shard] { Start(shard); });
  }

  void OnCall(std::size_t shard, const store::Call& call) {
    const bool write = std::holds_alternative<store::CompareAndSwap>(call.request);
    const auto kind = write ? store::CallKind::kWrite : store::CallKind::kRead;
    store::StoreResult result = store::StoreError{store::StoreErrorCode::kOverBudget, ""};
    auto delay = core::Duration(0);
    if (budgets_[shard].TryTake(kind, store::ClassOf(call.rank), now_)) {
      result = store.Apply(call.request);
      delay = setup_.round_trip;
    }
    At(now_ + delay, [this, shard, id = call.id, result = std::move(result)] {
      shards_[shard]->OnStoreResult(id, result, Clock());
      Pump(shard);
    });
  }

  void Pump(std::size_t shard) {
    for (auto outputs = shards_[shard]->TakeOutputs(); !outputs.empty();
         outputs = shards_[shard]->TakeOutputs()) {
      for (auto& output : outputs) {
        if (auto* call = std::get_if<store::Call>(&output)) OnCall(shard, *call);
        if (auto* claim = std::get_if<ClaimAnswer>(&output)) OnClaim(*claim);
        if (auto* end = std::get_if<CompleteAnswer>(&output)) OnComplete(*end);
      }
    }
    const auto wake = std::max(shards_[shard]->NextWake(), now_ + Us(100));
    auto& planned = wakes_[shard];
    if (planned > now_ && planned <= wake) return;
    planned = wake;
    At(wake, [this, shard] {
      shards_[shard]->Tick(Clock());
      Pump(shard);
    });
  }

  Setup setup_;
  core::TimePoint now_{std::chrono::seconds(100)};
  std::multimap<core::TimePoint, std::function<void()>> events_;
  std::vector<store::CallBudget> budgets_;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::map<std::size_t, core::TimePoint> wakes_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t next_ticket_ = 1;
};

double Seconds(core::Duration span) { return std::chrono::duration<double>(span).count(); }

void PrintThroughput() {
  std::printf(
      "Group claims, %zu shards, %.0f writes/s, answers of %zu bytes, service time 50 ms\n\n",
      kShards, kWritesPerSecond, kAnswerBytes);
  std::printf(
      "| round trip ms | concurrent keys per shard | operations/s | writes/s "
      "| writes/operation | KB/write | refused | CPU us/operation |\n");
  std::printf("|---:|---:|---:|---:|---:|---:|---:|---:|\n");
  for (const int round_trip : {3, 110}) {
    for (const std::size_t keys : {1, 6, 60, 90, 400, 600}) {
      Simulation::Setup setup;
      setup.clients_per_shard = keys;
      setup.round_trip = Ms(round_trip);
      Simulation simulation(setup);
      simulation.Run(Ms(1'000));
      const auto before = simulation.counts;
      const auto writes = simulation.store.writes;
      const auto bytes = simulation.store.bytes_written;
      const double cpu = CpuSeconds();
      simulation.Run(kMeasured);
      const double spent = CpuSeconds() - cpu;
      const auto done = static_cast<double>(simulation.counts.completed - before.completed);
      const auto sent = static_cast<double>(simulation.store.writes - writes);
      std::printf("| %d | %zu | %.0f | %.0f | %.3f | %.1f | %llu | %.1f |\n", round_trip, keys,
                  done / Seconds(kMeasured), sent / Seconds(kMeasured), sent / done,
                  static_cast<double>(simulation.store.bytes_written - bytes) / sent / 1e3,
                  static_cast<unsigned long long>(simulation.counts.refused - before.refused),
                  spent / done * 1e6);
    }
  }
  std::printf(
      "\nOne record per operation (variant a) needs 2 writes per operation, a create and a "
      "compare-and-swap: %.0f operations/s within %.0f writes/s at any concurrency.\n\n",
      kWritesPerSecond / 2, kWritesPerSecond);
}

void PrintUnknown() {
  std::printf("Operations that read unknown after a death, at 600 keys per shard\n\n");
  std::printf("| round trip ms | death of | unknown | of one second's operations of the fleet |\n");
  std::printf("|---:|---|---:|---:|\n");
  for (const int round_trip : {3, 110}) {
    Simulation::Setup setup;
    setup.clients_per_shard = 600;
    setup.round_trip = Ms(round_trip);
    Simulation simulation(setup);
    simulation.Run(Ms(3'000));
    const auto before = simulation.counts.completed;
    simulation.Run(Ms(1'000));
    const auto rate = static_cast<double>(simulation.counts.completed - before);
    // An owner's death orphans the granted claims of its shard; those whose holders live are
    // completed at the next owner, so only the dead instance's own (one of ten) stay unknown.
    double open_at_owner = 0;
    double own_of_owner = 0;
    double of_holder = 0;
    constexpr int kSamples = 37;
    for (int sample = 0; sample < kSamples; ++sample) {
      simulation.Run(Ms(29));
      open_at_owner += static_cast<double>(simulation.OpenClaims(0).running) / kSamples;
      own_of_owner += static_cast<double>(simulation.OpenClaims(0).of_holder) / kSamples;
      for (std::size_t i = 0; i < kShards; ++i) {
        of_holder += static_cast<double>(simulation.OpenClaims(i).of_holder) / kSamples;
      }
    }
    const auto print = [&](const char* death, double unknown) {
      std::printf("| %d | %s | %.0f | %.2f%% |\n", round_trip, death, unknown,
                  100.0 * unknown / rate);
    };
    print("owner, until its holders complete", open_at_owner);
    print("owner that is also one of ten holders, for good, its own shard", own_of_owner);
    print("holder (one of ten), for good, all shards", of_holder);
  }
  std::printf("\n");
}

/// Heap memory in use by this process in bytes.
double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// A log of `records` completed operations in batches of 60.
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
    double cpu = 0;
    double resident = 0;
    while (!shard->active()) {
      for (const auto& output : shard->TakeOutputs()) {
        const auto* call = std::get_if<store::Call>(&output);
        if (call == nullptr) continue;
        const auto reply = store.Apply(call->request);
        const double before_bytes = HeapBytes();
        const double before = CpuSeconds();
        shard->OnStoreResult(call->id, reply, now);
        cpu += CpuSeconds() - before;
        resident += HeapBytes() - before_bytes;
      }
    }
    const auto count = static_cast<double>(records);
    const auto mb = static_cast<double>(store.bytes_read) / 1e6;
    std::printf("| %zu | %llu | %llu | %.2f | %.3f | %.4f | %.0f | %.0f |\n", records,
                static_cast<unsigned long long>(store.reads),
                static_cast<unsigned long long>(store.writes), mb, mb * 8 / 4e3, cpu,
                static_cast<double>(shard->index().bytes()) / count, resident / count);
  }
}

}  // namespace

int main() {
  PrintThroughput();
  PrintUnknown();
  PrintTakeover();
}

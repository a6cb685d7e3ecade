#include <sys/resource.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "vanilladeck/admission/scheduler.h"
#include "vanilladeck/admission/server_pool.h"
#include "vanilladeck/replay/generator.h"
#include "vanilladeck/replay/report.h"
#include "vanilladeck/replay/simulation.h"
#include "vanilladeck/steering/lookup_answer_counter.h"
#include "vanilladeck/steering/lookup_table.h"

/// Prints Markdown tables: latency and capacity share of each rank under floods, compared with a
/// first-come-first-served baseline; drain times; and the cost of one admission or steering
/// decision as the fleet grows by factors of ten.
namespace {

using namespace vanilladeck;  // NOLINT(google-build-using-namespace): a program, not a header
using std::chrono::milliseconds;
using std::chrono::seconds;

double Millis(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

struct SchedulerVariant {
  const char* name;
  replay::SimulationOptions options;
};

std::vector<SchedulerVariant> SchedulerVariants() {
  std::vector<SchedulerVariant> variants{{"first come first served, round robin", {}}};
  variants[0].options.fcfs_baseline = true;
  for (auto kind : {config::SchedulerKind::kStrict, config::SchedulerKind::kWeightedFair,
                    config::SchedulerKind::kDeadline}) {
    SchedulerVariant variant{config::kSchedulerNames.at(static_cast<std::size_t>(kind)).data(), {}};
    variant.options.scheduler = kind;
    variants.push_back(variant);
  }
  return variants;
}

struct FloodSetup {
  const char* name;
  std::uint32_t servers;
  std::uint32_t slots;
  milliseconds service_time;
};

void PrintFlood(const replay::Trace& trace, const std::string& label) {
  for (const SchedulerVariant& variant : SchedulerVariants()) {
    const auto result = replay::Replay(trace, variant.options);
    if (!result) continue;
    const replay::Report& report = result.value();
    const replay::RankReport& urgent = report.ranks[0];
    const double limit = 1.5 * Millis(urgent.unloaded_p99) + Millis(trace.round_trip);
    std::printf("| %s | %s | %.0f | %.0f | %.0f | %.0f |", label.c_str(), variant.name,
                Millis(urgent.p50), Millis(urgent.p99), Millis(urgent.unloaded_p99), limit);
    for (std::size_t i = 0; i < core::kRankCount; ++i) {
      std::printf(" %.3f of %.3f |", report.ranks[i].share, trace.deployment.ranks[i].floor);
    }
    std::printf(" %.3f | %zu |\n", report.goodput, replay::FindViolations(trace, report).size());
  }
}

void PrintFloods() {
  std::puts("## Floods of ten times the capacity\n");
  std::puts(
      "One failure domain, two seats, 60 s of arrivals, the first 2 s not measured. Times in "
      "ms; shares are slot time as a fraction of the capacity, next to the configured floor.\n");
  std::puts(
      "| flood | scheduler | urgent p50 | urgent p99 | unloaded p99 | limit | urgent share | "
      "normal share | bulk share | goodput | violations |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|---|");
  const FloodSetup setups[] = {{"4 servers x 10 slots, 40 ms", 4, 10, milliseconds(40)},
                               {"2 servers x 4 slots, 200 ms", 2, 4, milliseconds(200)}};
  for (const FloodSetup& setup : setups) {
    for (core::Rank rank : core::kAllRanks) {
      replay::Flood flood{"flood",
                          config::SchedulerKind::kStrict,
                          rank,
                          setup.servers,
                          setup.slots,
                          2,
                          setup.service_time,
                          seconds(60)};
      const std::string label = std::string(setup.name) + ", " + std::string(Name(rank));
      PrintFlood(replay::MakeFlood(flood, 42), label);
      if (rank != core::Rank::kBulk) continue;
      flood.service_factor = 4;
      PrintFlood(replay::MakeFlood(flood, 43), label + " 4 times longer");
    }
  }
  std::puts("");
}

void PrintDrains() {
  std::puts("## Drains and shifts (recorded traces)\n");
  std::puts(
      "| trace | last request started on a leaving server (ms) | drained after (ms) | forwarded | "
      "peak shift per s / in flight, cap | violations |");
  std::puts("|---|---|---|---|---|---|");
  for (const replay::Trace& trace : replay::StandardTraces()) {
    const auto result = replay::Replay(trace, {});
    if (!result || trace.incidents.empty()) continue;
    const replay::Report& report = result.value();
    std::string shifts;
    for (const auto& link : trace.deployment.links) {
      const auto it = report.shifts.find({link.from, link.to});
      if (it == report.shifts.end()) continue;
      shifts += link.from + " to " + link.to + ": " + std::to_string(it->second.rate) + "/" +
                std::to_string(it->second.in_flight) + ", cap " +
                std::to_string(static_cast<int>(link.shift_cap_rps)) + "/" +
                std::to_string(link.shift_cap_inflight) + "; ";
    }
    const auto millis_text = [](const std::optional<core::Duration>& time) {
      return time ? std::to_string(static_cast<int>(Millis(*time))) : std::string("-");
    };
    std::printf("| %s | %s | %s | %llu | %s | %zu |\n", trace.name.c_str(),
                millis_text(report.last_start_on_leaving).c_str(),
                millis_text(report.drained_after).c_str(),
                static_cast<unsigned long long>(report.forwarded),  // NOLINT(google-runtime-int)
                shifts.c_str(), replay::FindViolations(trace, report).size());
  }
  std::puts("");
}

/// Mean time of a call of `run` in nanoseconds, over `count` calls.
template <class F>
double NsPerCall(std::size_t count, F run) {
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < count; ++i) run(i);
  const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
  return elapsed.count() / static_cast<double>(count);
}

core::TimePoint TimeAfterStart(core::Duration since_start) {
  return core::TimePoint(std::chrono::hours(1) + since_start);
}

double PickCost(std::uint32_t servers) {
  auto pool = admission::ServerPool::Create({"domain", servers, 10, 330}, 2);
  if (!pool) return 0;
  pool.value().SetSeats({0}, TimeAfterStart(std::chrono::hours(10)));
  std::vector<admission::ListedServer> list;
  list.reserve(servers);
  for (std::uint32_t i = 0; i < servers; ++i) {
    list.push_back({"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80"});
  }
  pool.value().SetServers(list, TimeAfterStart({}));
  // Half of the usable slots stay in use.
  std::vector<std::string> running(pool.value().UsableSlots() / 2);
  for (auto& server : running) {
    if (auto pick = pool.value().Pick(TimeAfterStart({}))) server = pick.value();
  }
  constexpr std::size_t kCount = 500'000;
  return NsPerCall(kCount, [&](std::size_t i) {
    std::string& server = running[i % running.size()];
    pool.value().OnFinished(server, admission::FinishKind::kSuccess, TimeAfterStart({}));
    if (auto pick = pool.value().Pick(TimeAfterStart({}))) server = std::move(pick).value();
  });
}

double ScheduleCost(config::SchedulerKind kind, std::uint32_t slots) {
  config::Policy policy;
  policy.scheduler = kind;
  policy.queue_limit = slots;
  const core::PerRank<config::RankTargets> ranks{config::RankTargets{seconds(100), 100, 0.3},
                                                 config::RankTargets{seconds(300), 10, 0.3},
                                                 config::RankTargets{seconds(1000), 1, 0.1}};
  auto scheduler = admission::Scheduler::Create(policy, ranks);
  if (!scheduler) return 0;
  scheduler.value().SetCapacity(slots, TimeAfterStart({}));
  std::vector<admission::RequestId> running;
  constexpr std::size_t kCount = 500'000;
  return NsPerCall(kCount, [&](std::size_t i) {
    const auto now = TimeAfterStart(std::chrono::microseconds(i));
    (void)scheduler.value().Offer(i + 1, core::kAllRanks.at(i % core::kRankCount), {}, now);
    if (running.size() == slots) {
      scheduler.value().OnFinished(running[i % slots], milliseconds(1), now);
      running[i % slots] = running.back();
      running.pop_back();
    }
    if (const auto id = scheduler.value().Next(now)) running.push_back(*id);
  });
}

void PrintAdmissionCost() {
  std::puts("## Cost of admission decisions\n");
  std::puts(
      "| servers of a service in the domain | pick and finish (ns) | slots and queue limit | "
      "offer, next and finish (ns): strict | weighted_fair | deadline |");
  std::puts("|---|---|---|---|---|---|");
  for (std::uint32_t servers : {3U, 30U, 300U, 3000U}) {
    const std::uint32_t slots = servers * 5;
    std::printf("| %u | %.0f | %u | %.0f | %.0f | %.0f |\n", servers, PickCost(servers), slots,
                ScheduleCost(config::SchedulerKind::kStrict, slots),
                ScheduleCost(config::SchedulerKind::kWeightedFair, slots),
                ScheduleCost(config::SchedulerKind::kDeadline, slots));
  }
  std::puts("");
}

struct DeploymentSize {
  std::uint32_t blocks, regions, domains, services, instances;
};

config::Deployment MakeDeployment(const DeploymentSize& size) {
  config::Deployment deployment;
  for (std::uint32_t i = 0; i < size.regions; ++i) {
    deployment.regions.push_back({"region-" + std::to_string(i), {}});
  }
  for (std::uint32_t i = 0; i < size.blocks; ++i) {
    auto& blocks = deployment.regions[i % size.regions].client_blocks;
    // Three quarters IPv4 /24, one quarter IPv6 /48; adjacent blocks belong to different regions.
    const std::uint32_t n = i / 4;
    if (i % 4 == 3) {
      char text[40];
      std::snprintf(text, sizeof(text), "2001:%x:%x::/48", (n >> 16U) + 1, n & 0xFFFFU);
      blocks.emplace_back(text);
    } else {
      const std::uint32_t net = 3 * n + i % 4 + 0x10000;
      blocks.push_back(std::to_string(net >> 16U) + "." + std::to_string((net >> 8U) & 0xFFU) +
                       "." + std::to_string(net & 0xFFU) + ".0/24");
    }
  }
  for (std::uint32_t i = 0; i < size.domains; ++i) {
    deployment.failure_domains.push_back(
        {"domain-" + std::to_string(i), "region-" + std::to_string(i % size.regions), 2});
  }
  for (std::uint32_t i = 0; i < size.services; ++i) {
    config::Service service{"service-" + std::to_string(i), {}, core::Rank::kNormal, {}};
    for (const auto& domain : deployment.failure_domains) {
      service.places.push_back({domain.name, 4, 10, 330});
    }
    deployment.services.push_back(std::move(service));
  }
  return deployment;
}

long PeakMegabytes() {  // NOLINT(google-runtime-int): the type of ru_maxrss
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss / 1024;
}

void PrintLookup(const DeploymentSize& size) {
  config::Deployment deployment = MakeDeployment(size);
  steering::LookupInputs inputs;
  inputs.own_region = "region-0";
  for (std::uint32_t i = 0; i < size.instances; ++i) {
    const auto& domain = deployment.failure_domains[i % size.domains];
    inputs.entry_instances.push_back(
        {"10.9." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8080", domain.name,
         domain.region});
  }
  for (std::uint32_t from = 0; from < size.regions; ++from) {
    for (std::uint32_t to = 0; to < size.regions; ++to) {
      inputs.latencies[{"region-" + std::to_string(from), "region-" + std::to_string(to)}] =
          milliseconds(10 + (from * 7 + to * 13) % 90);
    }
  }
  const auto peak_before = PeakMegabytes();
  const auto begin = std::chrono::steady_clock::now();
  auto table = steering::LookupTable::Create(deployment, inputs);
  const auto build_time = std::chrono::steady_clock::now() - begin;
  const auto peak_after = PeakMegabytes();
  if (!table) return;
  const auto rebuild_begin = std::chrono::steady_clock::now();
  if (!steering::LookupTable::Recreate(deployment, inputs, table.value().blocks())) return;
  const auto rebuild_time = std::chrono::steady_clock::now() - rebuild_begin;
  std::mt19937 random(7);
  std::vector<boost::asio::ip::address> clients;
  constexpr std::size_t kClients = 200'000;
  clients.reserve(kClients);
  for (std::size_t i = 0; i < kClients; ++i) {
    const std::uint32_t n = random() % (size.blocks * 3 / 4);
    clients.emplace_back(boost::asio::ip::make_address_v4(((n + 0x10000) << 8U) | (n & 0xFFU)));
  }
  std::vector<std::string> services;
  for (const auto& service : deployment.services) services.push_back(service.name);
  std::size_t instances = 0;
  constexpr std::size_t kCount = 2'000'000;
  const double lookup_ns = NsPerCall(kCount, [&](std::size_t i) {
    const auto answer = table.value().Lookup(clients[i % kClients], services[i % services.size()]);
    if (answer) instances += answer.value().instances().size();
  });
  steering::LookupAnswerCounter answer_counter(deployment.lookup_ttl);
  const double lookup_and_count_ns = NsPerCall(kCount, [&](std::size_t i) {
    const auto answer = table.value().Lookup(clients[i % kClients], services[i % services.size()]);
    if (answer) answer_counter.Record(answer.value(), TimeAfterStart(std::chrono::microseconds(i)));
  });
  constexpr double kMegabyte = 1024.0 * 1024.0;
  std::printf("| %u | %u | %u | %.0f | %.0f | %.1f | %.1f | %ld to %ld | %.0f | %.1f | %.1f |\n",
              size.blocks, size.domains * size.services, size.instances, lookup_ns,
              lookup_and_count_ns, static_cast<double>(instances) / static_cast<double>(kCount),
              static_cast<double>(table.value().blocks()->map().Bytes()) / kMegabyte, peak_before,
              peak_after, Millis(std::chrono::duration_cast<core::Duration>(build_time)),
              Millis(std::chrono::duration_cast<core::Duration>(rebuild_time)),
              static_cast<double>(table.value().Bytes()) / kMegabyte);
}

void PrintLookups() {
  std::puts("## Cost of a steering decision\n");
  std::puts(
      "Clients are chosen at random from the IPv4 blocks. The peak memory of the process includes "
      "the parsed deployment with its blocks as text.\n");
  std::puts(
      "| client blocks | sites | entry instances | lookup (ns) | lookup and count (ns) | "
      "instances per answer | "
      "block map (MB) | peak memory of the process before and after the build (MB) | build (ms) | "
      "rebuild with the same blocks (ms) | whole table (MB) |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|---|");
  PrintLookup({1'600, 5, 5, 1, 4});
  PrintLookup({16'000, 5, 10, 5, 36});
  PrintLookup({160'000, 22, 50, 10, 360});
  PrintLookup({1'600'000, 49, 111, 45, 3600});
}

}  // namespace

int main() {
  PrintLookups();  // First, so that the floods do not raise the peak memory that it reports.
  PrintAdmissionCost();
  PrintFloods();
  PrintDrains();
  return 0;
}

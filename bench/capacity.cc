// Measures how the control-plane cost of one daemon grows with the fleet: at a hundredth, a tenth
// and all of the size that the system is designed for. Prints the tables of docs/CAPACITY.md.

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet.h"
#include "vanilladeck/config/line_diff.h"
#include "vanilladeck/config/parse_deployment.h"
#include "vanilladeck/config/version_chain.h"
#include "vanilladeck/config/version_record.h"
#include "vanilladeck/daemon/messages.h"
#include "vanilladeck/membership/view.h"
#include "vanilladeck/peer/impl/wire.h"
#include "vanilladeck/steering/lookup_table.h"

namespace vanilladeck::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::array<std::size_t, 3> kDivisors{100, 10, 1};
constexpr auto kMinMeasuringTime = 300ms;
constexpr double kMicrosecondsPerSecond = 1e6;

double Megabytes(std::size_t bytes) { return static_cast<double>(bytes) / 1e6; }

std::size_t EncodedBytes(const membership::Heartbeat& heartbeat) {
  capnp::MallocMessageBuilder message;
  peer::impl::Encode(heartbeat, message.initRoot<peer::wire::Heartbeat>());
  return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

membership::Heartbeat RoundTrip(const membership::Heartbeat& heartbeat) {
  capnp::MallocMessageBuilder message;
  peer::impl::Encode(heartbeat, message.initRoot<peer::wire::Heartbeat>());
  const auto words = capnp::messageToFlatArray(message);
  capnp::FlatArrayMessageReader reader(words);
  return peer::impl::Decode(reader.getRoot<peer::wire::Heartbeat>());
}

/// Cost of one membership view in the steady state. Each second a daemon sends `kFanout` heartbeats
/// and reads the answers, and reads and answers as many heartbeats of others.
void MeasureMembership() {
  std::printf(
      "## Membership\n\n| daemons | heartbeat bytes | KB/s sent | exchange us | maintenance us "
      "per s | %% of a core | MB |\n|---|---|---|---|---|---|---|\n");
  for (std::size_t divisor : kDivisors) {
    const FleetSize size = ScaledFleet(divisor);
    const std::size_t before = AllocatedBytes();
    auto view = std::make_unique<membership::View>("fleet", MakeMember(0, size.failure_domains),
                                                   std::vector<std::string>{});
    core::TimePoint now{1h};
    membership::Heartbeat full_heartbeat{"fleet", MakeMember(1, size.failure_domains), {}};
    for (std::size_t i = 2; i < size.daemons; ++i) {
      full_heartbeat.relayed.push_back(MakeMember(i, size.failure_domains));
    }
    view->OnHeartbeat(full_heartbeat, now);
    const std::size_t memory = AllocatedBytes() - before;
    // Uses up the relays of changes, so that the next heartbeat has its size in the steady state.
    for (int i = 0; i < 10'000; ++i) (void)view->MakeHeartbeat(now);
    const std::size_t bytes = EncodedBytes(view->MakeHeartbeat(now));
    std::uint64_t sequence = 1;
    const double exchange_us = MicrosecondsPerCall(
        [&] {
          auto heartbeat = view->MakeHeartbeat(now);
          heartbeat.self = MakeMember(1, size.failure_domains);
          ++sequence;
          for (auto& relayed : heartbeat.relayed) relayed.sequence = sequence;
          view->OnHeartbeat(RoundTrip(heartbeat), now);
        },
        kMinMeasuringTime);
    const double maintenance_us = MicrosecondsPerCall(
        [&] {
          (void)view->PickTargets(now);
          (void)view->TakeGone(now);
          for (int i = 0; i < 15; ++i) (void)view->Live(now);  // Seats and snapshots of one second.
        },
        kMinMeasuringTime);
    constexpr double kExchanges = 2 * membership::View::kFanout;
    const double core_share = (kExchanges * exchange_us + maintenance_us) / kMicrosecondsPerSecond;
    std::printf("| %zu | %zu | %.1f | %.1f | %.0f | %.3f | %.2f |\n", size.daemons, bytes,
                kExchanges * static_cast<double>(bytes) / 1e3, exchange_us, maintenance_us,
                100 * core_share, Megabytes(memory));
  }
}

steering::LookupInputs MakeLookupInputs(const FleetSize& size) {
  steering::LookupInputs inputs;
  inputs.own_region = "region-0";
  const std::size_t regions = std::min(kRegions, size.failure_domains);
  for (std::size_t i = 0; i < size.daemons; ++i) {
    const auto member = MakeMember(i, size.failure_domains);
    inputs.entry_instances.push_back(
        {member.caller_address, member.failure_domain,
         "region-" + std::to_string(i % size.failure_domains % regions)});
  }
  return inputs;
}

void MeasureLookup() {
  std::printf(
      "\n## Lookup table\n\n| client blocks | sites | daemons | parse text s | build s | "
      "rebuild ms | MB | lookup us |\n|---|---|---|---|---|---|---|---|\n");
  for (std::size_t divisor : kDivisors) {
    const FleetSize size = ScaledFleet(divisor);
    const std::string text = MakeDeploymentText(size);
    const auto begin = std::chrono::steady_clock::now();
    auto parsed = config::ParseDeployment(text, "fleet.toml");
    const auto parsed_at = std::chrono::steady_clock::now();
    if (!parsed.has_value()) {
      std::fprintf(stderr, "the generated deployment text is not valid\n");
      std::exit(1);
    }
    const auto inputs = MakeLookupInputs(size);
    const std::size_t before = AllocatedBytes();
    auto table = steering::LookupTable::Create(parsed.value(), inputs);
    const auto built_at = std::chrono::steady_clock::now();
    if (!table.has_value()) {
      std::fprintf(stderr, "the lookup table of the generated deployment was refused\n");
      std::exit(1);
    }
    const std::size_t memory = AllocatedBytes() - before;
    const auto& built = table.value();
    const double rebuild_us = MicrosecondsPerCall(
        [&] {
          if (!steering::LookupTable::Create(parsed.value(), inputs, built.blocks()).has_value()) {
            std::exit(1);
          }
        },
        kMinMeasuringTime);
    std::mt19937 random(1);  // NOLINT(cert-msc51-cpp): the same clients in every run.
    std::size_t found = 0;
    const double lookup_us = MicrosecondsPerCall(
        [&] {
          const auto block = random() % size.client_blocks;
          const auto address = boost::asio::ip::address_v4(
              static_cast<std::uint32_t>((11U << 24U) + (block << 8U) + 7U));
          found += built.Lookup(address, "service-0").has_value() ? 1 : 0;
        },
        kMinMeasuringTime);
    using Seconds = std::chrono::duration<double>;
    std::printf("| %zu | %zu | %zu | %.2f | %.2f | %.1f | %.1f | %.2f |\n", size.client_blocks,
                size.sites, size.daemons, Seconds(parsed_at - begin).count(),
                Seconds(built_at - parsed_at).count(), rebuild_us / 1e3, Megabytes(memory),
                lookup_us);
    if (found == 0) std::exit(1);
  }
}

/// Cost of a change of one line, as a peer receives it, in deployment texts of growing size.
void MeasureConfiguration() {
  std::printf(
      "\n## Configuration change of one line\n\n| text MB | record bytes | append ms | "
      "parse ms | chain MB |\n|---|---|---|---|---|\n");
  for (std::size_t divisor : kDivisors) {
    const FleetSize size = ScaledFleet(divisor);
    std::string text = MakeDeploymentText(size);
    const std::size_t before = AllocatedBytes();
    config::VersionChain chain;
    if (!chain.Append(chain.MakeNext(text, "fleet", "bench", 1, "m1")).has_value()) std::exit(1);
    std::size_t record_bytes = 0;
    int version = 1;
    const double append_us = MicrosecondsPerCall(
        [&] {
          const auto at = text.rfind("servers = ");
          text[at + 10] = text[at + 10] == '4' ? '5' : '4';
          ++version;
          auto record = chain.MakeNext(text, "fleet", "bench", version, std::to_string(version));
          if (!record.IsFullText()) record_bytes = config::Encode(record).size();
          if (!chain.Append(std::move(record)).has_value()) std::exit(1);
        },
        kMinMeasuringTime);
    const std::size_t memory = AllocatedBytes() - before;
    const double parse_us = MicrosecondsPerCall(
        [&] { (void)config::ParseDeployment(text, "fleet.toml").has_value(); }, 10ms);
    std::printf("| %.2f | %zu | %.2f | %.1f | %.1f |\n", Megabytes(text.size()), record_bytes,
                append_us / 1e3, parse_us / 1e3, Megabytes(memory));
  }
}

/// Cost of the snapshot that the control thread sends to the serving thread every 100 ms.
void MeasureSnapshot() {
  std::printf(
      "\n## Snapshot\n\n| daemons | backend servers listed | us per snapshot | %% of a core "
      "at 10 per s |\n|---|---|---|---|\n");
  for (std::size_t divisor : kDivisors) {
    const FleetSize size = ScaledFleet(divisor);
    daemon::Snapshot snapshot;
    for (std::size_t i = 0; i < size.daemons; ++i) {
      const auto member = MakeMember(i, size.failure_domains);
      snapshot.entry_instances.push_back(
          {member.id, member.caller_address, member.failure_domain, RegionOfDomain(i), false});
    }
    const std::size_t servers = 4 * size.sites;
    for (std::size_t i = 0; i < servers; ++i) {
      snapshot.backend_servers.push_back(
          {"service-" + std::to_string(i % 45), MakeMember(i, size.failure_domains).caller_address,
           DomainName(i % size.failure_domains), store::InstanceState::kLive});
    }
    const double copy_us = MicrosecondsPerCall(
        [&] { (void)std::make_shared<const daemon::Snapshot>(snapshot); }, kMinMeasuringTime);
    std::printf("| %zu | %zu | %.0f | %.2f |\n", size.daemons, servers, copy_us,
                100 * 10 * copy_us / kMicrosecondsPerSecond);
  }
}

}  // namespace
}  // namespace vanilladeck::bench

// NOLINTNEXTLINE(bugprone-exception-escape): an uncaught exception ends the benchmark.
int main() {
  vanilladeck::bench::MeasureMembership();
  vanilladeck::bench::MeasureLookup();
  vanilladeck::bench::MeasureConfiguration();
  vanilladeck::bench::MeasureSnapshot();
  return 0;
}

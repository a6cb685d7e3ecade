#pragma once

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "vanilladeck/membership/member.h"

/// Synthetic fleets of a given size, shared by the benchmarks.
namespace vanilladeck::bench {

inline constexpr std::size_t kRegions = 49;
inline constexpr std::size_t kFailureDomains = 111;

/// Dimensions that are scaled together. A site is one service in one failure domain.
struct FleetSize {
  std::size_t daemons = 0;
  std::size_t client_blocks = 0;
  std::size_t sites = 0;
  std::size_t failure_domains = 0;
};

/// The size that the system is designed for.
inline constexpr FleetSize kFullFleet{3600, 1'600'000, 5000, kFailureDomains};

[[nodiscard]] inline FleetSize ScaledFleet(std::size_t divisor) {
  return {kFullFleet.daemons / divisor, kFullFleet.client_blocks / divisor,
          kFullFleet.sites / divisor,
          std::max<std::size_t>(2, kFullFleet.failure_domains / divisor)};
}

[[nodiscard]] inline std::string DomainName(std::size_t index) {
  return "domain-" + std::to_string(index);
}

[[nodiscard]] inline std::string RegionOfDomain(std::size_t index) {
  return "region-" + std::to_string(index % kRegions);
}

[[nodiscard]] inline membership::Member MakeMember(std::size_t index, std::size_t domains) {
  membership::Member member;
  const std::string host = "10." + std::to_string(index / 65536) + '.' +
                           std::to_string(index / 256 % 256) + '.' + std::to_string(index % 256);
  member.id = {host + ":7101", index + 1};
  member.started_ms = 1'700'000'000'000;
  member.failure_domain = DomainName(index % domains);
  member.caller_address = host + ":8080";
  member.config_version = 47'000;
  member.config_hash = std::string(64, 'a');
  member.seats = {static_cast<std::uint32_t>(index / domains)};
  return member;
}

/// Deployment text in which `size.sites` sites are spread over the failure domains.
[[nodiscard]] inline std::string MakeDeploymentText(const FleetSize& size) {
  std::string text =
      "[deployment]\nname = \"fleet\"\nrecord_retention_s = 900\nlookup_ttl_s = 5\n"
      "[policy]\nscheduler = \"deadline\"\nqueue_limit = 200\nretry_budget = 0.1\n"
      "drain_timeout_s = 20\n";
  for (const char* rank : {"urgent", "normal", "bulk"}) {
    text += std::string("[ranks.") + rank + "]\ntarget_ms = 250\nworth = 10\nfloor = 0.2\n";
  }
  const std::size_t regions = std::min(kRegions, size.failure_domains);
  for (std::size_t region = 0; region < regions; ++region) {
    text += "[[region]]\nname = \"region-" + std::to_string(region) + "\"\nclient_blocks = [\n";
    for (std::size_t block = region; block < size.client_blocks; block += regions) {
      text += "  \"" + std::to_string(11 + block / 65536) + '.' +
              std::to_string(block / 256 % 256) + '.' + std::to_string(block % 256) + ".0/24\",\n";
    }
    text += "]\n";
  }
  for (std::size_t domain = 0; domain < size.failure_domains; ++domain) {
    text += "[[failure_domain]]\nname = \"" + DomainName(domain) + "\"\nregion = \"region-" +
            std::to_string(domain % regions) + "\"\nseats = 33\n";
  }
  const std::size_t services =
      std::max<std::size_t>(1, (size.sites + size.failure_domains - 1) / size.failure_domains);
  std::size_t sites = 0;
  for (std::size_t service = 0; service < services; ++service) {
    text += "[[service]]\nname = \"service-" + std::to_string(service) +
            "\"\ndepends_on = []\ndefault_rank = \"normal\"\n";
    for (std::size_t domain = 0; domain < size.failure_domains && sites < size.sites;
         ++domain, ++sites) {
      text += "[[service.place]]\nfailure_domain = \"" + DomainName(domain) +
              "\"\nservers = 4\nslots = 10\nconnections = 330\n";
    }
  }
  return text;
}

/// Heap memory in use by this process in bytes.
[[nodiscard]] inline std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Mean time of a call of `work` in microseconds, measured for at least `min_duration`.
template <class F>
[[nodiscard]] double MicrosecondsPerCall(F&& work, std::chrono::milliseconds min_duration) {
  using Clock = std::chrono::steady_clock;
  const auto begin = Clock::now();
  std::size_t calls = 0;
  do {
    work();
    ++calls;
  } while (Clock::now() - begin < min_duration);
  return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() /
         static_cast<double>(calls);
}

}  // namespace vanilladeck::bench

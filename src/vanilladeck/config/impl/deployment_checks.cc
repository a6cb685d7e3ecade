#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include "vanilladeck/config/client_block.h"
#include "vanilladeck/config/impl/deployment_reader.h"
#include "vanilladeck/config/parse_deployment.h"

namespace vanilladeck::config::impl {
namespace {

using NameIndex = std::map<std::string, std::size_t, std::less<>>;

std::string Quote(std::string_view text) { return '"' + std::string(text) + '"'; }

/// Maps names to indexes and reports duplicates. Empty names have been reported as missing already.
template <class Items, class PositionList>
NameIndex CollectNames(const Items& items, const PositionList& places, std::string_view kind,
                       ErrorSink& sink) {
  NameIndex names;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].name.empty()) continue;
    const auto [it, added] = names.emplace(items[i].name, i);
    if (added) continue;
    sink.Add(ConfigErrorCode::kDuplicateName, places[i].name,
             std::string(kind) + ' ' + Quote(items[i].name) + " is already defined in line " +
                 std::to_string(places[it->second].name.line));
  }
  return names;
}

void CheckReference(const NameIndex& names, const std::string& name, SourcePosition at,
                    std::string_view kind, ErrorSink& sink) {
  if (name.empty() || names.contains(name)) return;
  sink.Add(ConfigErrorCode::kUnknownReference, at,
           std::string(kind) + ' ' + Quote(name) + " is not defined");
}

void CheckFloors(const ParsedDeployment& parsed, ErrorSink& sink) {
  constexpr double kRounding = 1e-9;
  double sum = 0;
  bool each_valid = true;
  for (core::Rank rank : core::kAllRanks) {
    const double floor = parsed.deployment.ranks[Index(rank)].floor;
    sum += floor;
    if (floor <= 1) continue;
    each_valid = false;
    sink.Add(ConfigErrorCode::kFloorAboveOne, parsed.positions.floors[Index(rank)],
             "floor of rank " + Quote(Name(rank)) + " exceeds 1");
  }
  if (!each_valid || sum <= 1 + kRounding) return;
  std::ostringstream message;
  message << "floors of all ranks add up to " << sum << ", must be at most 1";
  sink.Add(ConfigErrorCode::kFloorAboveOne, parsed.positions.floors.back(), message.str());
}

struct RegionBlock {
  ClientBlock block;
  std::size_t region = 0;
  std::size_t index = 0;
};

std::vector<RegionBlock> ParseBlocks(const ParsedDeployment& parsed, ErrorSink& sink) {
  std::vector<RegionBlock> blocks;
  const auto& regions = parsed.deployment.regions;
  for (std::size_t r = 0; r < regions.size(); ++r) {
    for (std::size_t i = 0; i < regions[r].client_blocks.size(); ++i) {
      if (const auto block = ParseClientBlock(regions[r].client_blocks[i])) {
        blocks.push_back({*block, r, i});
      } else {
        sink.Add(ConfigErrorCode::kInvalidPrefix, parsed.positions.regions[r].client_blocks[i],
                 Quote(regions[r].client_blocks[i]) +
                     " is not ADDRESS/BITS with all bits beyond BITS zero");
      }
    }
  }
  return blocks;
}

/// Prefixes either nest or are disjoint, so in sorted order each block has to be compared only with
/// its nearest enclosing block.
void CheckBlocks(const ParsedDeployment& parsed, ErrorSink& sink) {
  auto blocks = ParseBlocks(parsed, sink);
  std::stable_sort(blocks.begin(), blocks.end(),
                   [](const auto& a, const auto& b) { return a.block < b.block; });
  std::vector<const RegionBlock*> enclosing;
  for (const auto& it : blocks) {
    while (!enclosing.empty() && !enclosing.back()->block.Contains(it.block.address)) {
      enclosing.pop_back();
    }
    if (!enclosing.empty() && enclosing.back()->region != it.region) {
      const auto& outer = *enclosing.back();
      const auto& regions = parsed.deployment.regions;
      sink.Add(ConfigErrorCode::kOverlappingBlocks,
               parsed.positions.regions[it.region].client_blocks[it.index],
               Quote(regions[it.region].client_blocks[it.index]) + " overlaps " +
                   Quote(regions[outer.region].client_blocks[outer.index]) + " of region " +
                   Quote(regions[outer.region].name));
    }
    enclosing.push_back(&it);
  }
}

void CheckTopology(const ParsedDeployment& parsed, const NameIndex& regions, ErrorSink& sink) {
  const auto& [deployment, positions] = parsed;
  std::set<std::string_view> used;
  for (std::size_t i = 0; i < deployment.failure_domains.size(); ++i) {
    const auto& region = deployment.failure_domains[i].region;
    CheckReference(regions, region, positions.failure_domains[i].region, "region", sink);
    used.insert(region);
  }
  for (std::size_t i = 0; i < deployment.regions.size(); ++i) {
    const auto& name = deployment.regions[i].name;
    if (name.empty() || used.contains(name)) continue;
    sink.Add(ConfigErrorCode::kRegionWithoutFailureDomain, positions.regions[i].name,
             "region " + Quote(name) + " has no failure domain");
  }
}

void CheckLinks(const ParsedDeployment& parsed, const NameIndex& regions, ErrorSink& sink) {
  std::set<std::pair<std::string_view, std::string_view>> pairs;
  for (std::size_t i = 0; i < parsed.deployment.links.size(); ++i) {
    const auto& link = parsed.deployment.links[i];
    const auto& at = parsed.positions.links[i];
    CheckReference(regions, link.from, at.from, "region", sink);
    CheckReference(regions, link.to, at.to, "region", sink);
    if (link.from.empty() || link.to.empty()) continue;
    const std::string pair = Quote(link.from) + " to " + Quote(link.to);
    if (link.from == link.to) {
      sink.Add(ConfigErrorCode::kInvalidValue, at.to, "link from " + pair + " joins one region");
    }
    if (!pairs.emplace(link.from, link.to).second) {
      sink.Add(ConfigErrorCode::kDuplicateName, at.from,
               "link from " + pair + " is already defined");
    }
    const double needed = MbpsForShift(link.shift_cap_rps);
    if (link.capacity_mbps <= 0 || needed <= link.capacity_mbps) continue;
    std::ostringstream message;
    message << "shift_cap_rps " << link.shift_cap_rps << " needs " << needed
            << " Mbit/s at 64 KiB per request, the link from " << pair << " has "
            << link.capacity_mbps;
    sink.Add(ConfigErrorCode::kCapAboveCapacity, at.shift_cap, message.str());
  }
}

/// Depth-first search over `depends_on`; reports one error per cycle found.
class CycleDetector {
 public:
  CycleDetector(const ParsedDeployment& parsed, const NameIndex& services, ErrorSink& sink)
      : parsed_(parsed),
        services_(services),
        sink_(sink),
        states_(parsed.deployment.services.size()) {}

  void Run() {
    for (std::size_t i = 0; i < states_.size(); ++i) Visit(i);
  }

 private:
  enum class VisitState : std::uint8_t { kUnvisited, kInProgress, kDone };
  struct PathEntry {
    std::size_t service;
    std::size_t next;
  };

  /// Iterative, so that a long dependency chain cannot overflow the stack.
  void Visit(std::size_t start) {
    if (states_[start] != VisitState::kUnvisited) return;
    std::vector<PathEntry> path{{start, 0}};
    states_[start] = VisitState::kInProgress;
    while (!path.empty()) {
      auto& [current, next] = path.back();
      const auto& names = parsed_.deployment.services[current].depends_on;
      if (next == names.size()) {
        states_[current] = VisitState::kDone;
        path.pop_back();
        continue;
      }
      const std::size_t edge = next++;
      const auto it = services_.find(names[edge]);
      if (it == services_.end()) continue;
      if (states_[it->second] == VisitState::kInProgress) Report(path, it->second, edge);
      if (states_[it->second] != VisitState::kUnvisited) continue;
      states_[it->second] = VisitState::kInProgress;
      path.push_back({it->second, 0});
    }
  }

  void Report(const std::vector<PathEntry>& path, std::size_t target, std::size_t edge) {
    std::string message = "services depend on each other: ";
    bool in_cycle = false;
    for (const auto& step : path) {
      in_cycle = in_cycle || step.service == target;
      if (in_cycle) message += parsed_.deployment.services[step.service].name + " -> ";
    }
    message += parsed_.deployment.services[target].name;
    sink_.Add(ConfigErrorCode::kDependencyCycle,
              parsed_.positions.services[path.back().service].depends_on[edge], std::move(message));
  }

  const ParsedDeployment& parsed_;
  const NameIndex& services_;
  ErrorSink& sink_;
  std::vector<VisitState> states_;
};

void CheckServices(const ParsedDeployment& parsed, const NameIndex& domains,
                   const NameIndex& services, ErrorSink& sink) {
  for (std::size_t i = 0; i < parsed.deployment.services.size(); ++i) {
    const auto& service = parsed.deployment.services[i];
    const auto& at = parsed.positions.services[i];
    for (std::size_t k = 0; k < service.depends_on.size(); ++k) {
      CheckReference(services, service.depends_on[k], at.depends_on[k], "service", sink);
    }
    if (service.places.empty()) {
      sink.Add(ConfigErrorCode::kServiceWithoutPlace, at.name,
               "service " + Quote(service.name) + " has no place");
    }
    std::set<std::string_view> used;
    for (std::size_t k = 0; k < service.places.size(); ++k) {
      const auto& domain = service.places[k].failure_domain;
      CheckReference(domains, domain, at.places[k], "failure domain", sink);
      if (domain.empty() || used.insert(domain).second) continue;
      sink.Add(ConfigErrorCode::kDuplicateName, at.places[k],
               "service " + Quote(service.name) + " already has a place in " + Quote(domain));
    }
  }
}

}  // namespace

void CheckDeployment(const ParsedDeployment& parsed, ErrorSink& sink) {
  const auto& [deployment, positions] = parsed;
  const auto regions = CollectNames(deployment.regions, positions.regions, "region", sink);
  const auto domains =
      CollectNames(deployment.failure_domains, positions.failure_domains, "failure domain", sink);
  const auto services = CollectNames(deployment.services, positions.services, "service", sink);
  CheckFloors(parsed, sink);
  CheckBlocks(parsed, sink);
  CheckTopology(parsed, regions, sink);
  CheckLinks(parsed, regions, sink);
  CheckServices(parsed, domains, services, sink);
  CycleDetector(parsed, services, sink).Run();
}

}  // namespace vanilladeck::config::impl

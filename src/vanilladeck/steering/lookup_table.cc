#include "vanilladeck/steering/lookup_table.h"

#include <algorithm>
#include <bit>
#include <cstring>
#include <limits>
#include <unordered_map>
#include <utility>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::steering {
namespace {

constexpr std::uint32_t kNoDomain = std::numeric_limits<std::uint32_t>::max();

core::Duration Latency(const RegionLatencies& latencies, const std::string& from,
                       const std::string& to) {
  if (from == to) return core::Duration::zero();
  const auto it = latencies.find({from, to});
  if (it != latencies.end()) return it->second;
  const auto back = latencies.find({to, from});
  return back != latencies.end() ? back->second : kUnknownLatency;
}

/// Spreads the clients of one block over the instances of a tier.
std::uint64_t ClientHash(const boost::asio::ip::address& client) {
  const auto mix = [](std::uint64_t value) {
    value *= 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 32U);
  };
  if (client.is_v4()) return mix(client.to_v4().to_uint());
  std::uint64_t hash = 0;
  for (unsigned char byte : client.to_v6().to_bytes()) hash = mix(hash ^ byte);
  return hash;
}

/// Hashes eight bytes at a time: bytewise hashing took 60 ms for 1.6 million blocks, at every
/// configuration change.
std::uint64_t HashWords(std::string_view text) {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kShift = 29;
  std::uint64_t hash = text.size() * kMultiplier;
  for (std::size_t at = 0; at < text.size(); at += sizeof(std::uint64_t)) {
    std::uint64_t word = 0;
    std::memcpy(&word, text.data() + at, std::min(sizeof(word), text.size() - at));
    hash = (hash ^ word) * kMultiplier;
    hash ^= hash >> kShift;
  }
  return hash;
}

/// Hash of the regions and their blocks, sensitive to their order and assignment.
std::uint64_t Digest(const std::vector<config::Region>& regions) {
  constexpr std::uint64_t kMultiplier = 0xff51afd7ed558ccdULL;
  constexpr int kRotation = 23;
  std::uint64_t digest = regions.size();
  const auto add = [&digest](std::uint64_t value) {
    digest = (std::rotl(digest, kRotation) ^ value) * kMultiplier;
  };
  for (const config::Region& region : regions) {
    add(HashWords(region.name));
    add(region.client_blocks.size());
    for (const std::string& block : region.client_blocks) add(HashWords(block));
  }
  return digest;
}

}  // namespace

core::Result<std::shared_ptr<const ClientBlocks>, LookupTableError> ClientBlocks::Create(
    const std::vector<config::Region>& regions, std::shared_ptr<const ClientBlocks> previous) {
  const std::uint64_t digest = Digest(regions);
  if (previous && previous->digest_ == digest) return previous;
  if (regions.size() >= impl::kNoRegion) {
    return LookupTableError{LookupTableErrorCode::kTooManyRegions, regions.back().name};
  }
  std::shared_ptr<ClientBlocks> blocks(new ClientBlocks);
  blocks->digest_ = digest;
  std::size_t v4 = 0;
  std::size_t v6 = 0;
  for (const config::Region& region : regions) {
    for (const std::string& block : region.client_blocks) {
      ++(block.find(':') == std::string::npos ? v4 : v6);
    }
  }
  impl::BlockMap::Builder builder;
  builder.Reserve(v4, v6);
  for (const config::Region& region : regions) {
    const auto index = static_cast<impl::RegionIndex>(blocks->regions_.size());
    blocks->regions_.push_back(region.name);
    for (const std::string& block : region.client_blocks) {
      if (!builder.Add(block, index)) {
        return LookupTableError{LookupTableErrorCode::kInvalidBlock, block};
      }
    }
  }
  blocks->map_ = builder.Build();
  return std::shared_ptr<const ClientBlocks>(std::move(blocks));
}

/// Instances of regions at equal latency from one client region.
struct LookupTable::DistanceGroup {
  std::vector<std::uint32_t> healthy;
  std::vector<std::uint32_t> unhealthy;
};

core::Result<LookupTable, LookupTableError> LookupTable::Create(
    const config::Deployment& deployment, const LookupInputs& inputs) {
  return Recreate(deployment, inputs, nullptr);
}

core::Result<LookupTable, LookupTableError> LookupTable::Recreate(
    const config::Deployment& deployment, const LookupInputs& inputs,
    std::shared_ptr<const ClientBlocks> previous) {
  auto blocks = ClientBlocks::Create(deployment.regions, std::move(previous));
  if (!blocks) return blocks.error();
  return Create(deployment, inputs, std::move(blocks).value());
}

core::Result<LookupTable, LookupTableError> LookupTable::Create(
    const config::Deployment& deployment, const LookupInputs& inputs,
    std::shared_ptr<const ClientBlocks> blocks) {
  LookupTable table;
  table.ttl_ = deployment.lookup_ttl;
  const auto own = std::ranges::find(blocks->regions(), inputs.own_region);
  if (own == blocks->regions().end()) {
    return LookupTableError{LookupTableErrorCode::kUnknownRegion, inputs.own_region};
  }
  table.own_region_ = static_cast<impl::RegionIndex>(own - blocks->regions().begin());
  table.blocks_ = std::move(blocks);
  table.instances_ = std::make_shared<const std::vector<EntryInstance>>(inputs.entry_instances);

  std::unordered_map<std::string_view, std::uint32_t> domains;
  for (const config::FailureDomain& domain : deployment.failure_domains) {
    domains.emplace(domain.name, static_cast<std::uint32_t>(domains.size()));
  }
  for (const EntryInstance& instance : *table.instances_) {
    const auto it = domains.find(instance.failure_domain);
    table.instance_domains_.push_back(it == domains.end() ? kNoDomain : it->second);
  }
  const auto groups = table.GroupByDistance(inputs.latencies);
  for (const config::Service& service : deployment.services) {
    std::vector<bool> serving(domains.size());
    for (const config::Place& place : service.places) {
      const auto it = domains.find(place.failure_domain);
      if (it != domains.end()) serving[it->second] = true;
    }
    Service entry{service.name, {}};
    entry.by_region.reserve(groups.size());
    for (const auto& near_to_far : groups) {
      entry.by_region.push_back(table.BuildOrder(serving, near_to_far));
    }
    table.services_.push_back(std::move(entry));
  }
  std::ranges::sort(table.services_, {}, &Service::name);
  return table;
}

core::Result<LookupAnswer, LookupError> LookupTable::Lookup(const boost::asio::ip::address& client,
                                                            std::string_view service) const {
  const auto it = std::ranges::lower_bound(services_, service, {}, &Service::name);
  if (it == services_.end() || it->name != service) {
    return LookupError{LookupErrorCode::kUnknownService};
  }
  impl::RegionIndex region = blocks_->map().Find(client);
  if (region == impl::kNoRegion) region = own_region_;
  const RegionOrder& order = it->by_region[region];
  if (order.instances.empty()) return LookupError{LookupErrorCode::kNoEntryInstance};
  LookupAnswer answer;
  answer.ttl_ = ttl_;
  answer.client_region_ = blocks_->regions()[region];
  const std::uint64_t hash = ClientHash(client);
  for (const Tier& tier : order.tiers) {
    const std::uint32_t size = tier.end - tier.begin;
    const auto start = static_cast<std::uint32_t>(hash % size);
    for (std::uint32_t i = 0; i < size && answer.count_ < kMaxAnswerInstances; ++i) {
      const std::uint32_t position = tier.begin + (start + i) % size;
      answer.instances_[answer.count_++] = &(*instances_)[order.instances[position]];
    }
    if (answer.count_ == kMaxAnswerInstances) break;
  }
  return answer;
}

std::size_t LookupTable::Bytes() const noexcept {
  std::size_t bytes = blocks_->map().Bytes() + instances_->capacity() * sizeof(EntryInstance) +
                      instance_domains_.capacity() * sizeof(std::uint32_t);
  for (const Service& service : services_) {
    bytes += sizeof(Service) + service.by_region.capacity() * sizeof(RegionOrder);
    for (const RegionOrder& order : service.by_region) {
      bytes += order.instances.capacity() * sizeof(std::uint32_t) +
               order.tiers.capacity() * sizeof(Tier);
    }
  }
  return bytes;
}

std::vector<std::vector<LookupTable::DistanceGroup>> LookupTable::GroupByDistance(
    const RegionLatencies& latencies) const {
  std::unordered_map<std::string, DistanceGroup> by_region;
  for (std::uint32_t i = 0; i < instances_->size(); ++i) {
    const EntryInstance& instance = (*instances_)[i];
    if (instance.leaving) continue;
    DistanceGroup& group = by_region[instance.region];
    (instance.healthy ? group.healthy : group.unhealthy).push_back(i);
  }
  std::vector<std::vector<DistanceGroup>> result;
  for (const std::string& client_region : blocks_->regions()) {
    std::map<core::Duration, DistanceGroup> by_latency;
    for (const auto& [region, members] : by_region) {
      DistanceGroup& group = by_latency[Latency(latencies, client_region, region)];
      group.healthy.insert(group.healthy.end(), members.healthy.begin(), members.healthy.end());
      group.unhealthy.insert(group.unhealthy.end(), members.unhealthy.begin(),
                             members.unhealthy.end());
    }
    auto& groups = result.emplace_back();
    for (auto& [latency, group] : by_latency) {
      // The order must not depend on the unordered map, which may differ between instances.
      std::ranges::sort(group.healthy);
      std::ranges::sort(group.unhealthy);
      groups.push_back(std::move(group));
    }
  }
  return result;
}

LookupTable::RegionOrder LookupTable::BuildOrder(
    const std::vector<bool>& serving_domains, const std::vector<DistanceGroup>& near_to_far) const {
  RegionOrder order;
  // Tiers are not truncated, because their members rotate; tiers after a full answer are omitted.
  const auto add_tier = [&](const std::vector<std::uint32_t>& members, bool serving) {
    if (order.instances.size() >= kMaxAnswerInstances) return;
    const auto begin = static_cast<std::uint32_t>(order.instances.size());
    for (std::uint32_t index : members) {
      const std::uint32_t domain = instance_domains_[index];
      const bool serves = domain != kNoDomain && serving_domains[domain];
      if (serves == serving) order.instances.push_back(index);
    }
    const auto end = static_cast<std::uint32_t>(order.instances.size());
    if (end > begin) order.tiers.push_back({begin, end});
  };
  for (auto members : {&DistanceGroup::healthy, &DistanceGroup::unhealthy}) {
    for (const DistanceGroup& group : near_to_far) {
      add_tier(group.*members, true);
      add_tier(group.*members, false);
    }
  }
  order.instances.shrink_to_fit();
  order.tiers.shrink_to_fit();
  return order;
}

}  // namespace vanilladeck::steering

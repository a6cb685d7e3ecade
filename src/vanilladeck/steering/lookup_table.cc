#include "vanilladeck/steering/lookup_table.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <unordered_map>

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

/// Spreads clients; addresses in one block must not all get the same first instance.
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

}  // namespace

core::Result<std::shared_ptr<const ClientBlocks>, LookupTableError> ClientBlocks::Create(
    const std::vector<config::Region>& regions) {
  if (regions.size() >= impl::kNoRegion) {
    return LookupTableError{LookupTableErrorCode::kTooManyRegions, regions.back().name};
  }
  std::shared_ptr<ClientBlocks> blocks(new ClientBlocks);
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

/// Sort key of an instance for one client region and service; instances with equal keys form a
/// tier.
struct LookupTable::Preference {
  bool unhealthy = false;
  core::Duration latency{0};
  bool forwards = false;

  [[nodiscard]] bool operator==(const Preference&) const = default;
  [[nodiscard]] bool operator<(const Preference& other) const {
    return std::tie(unhealthy, latency, forwards) <
           std::tie(other.unhealthy, other.latency, other.forwards);
  }
};

core::Result<LookupTable, LookupTableError> LookupTable::Create(
    const config::Deployment& deployment, const LookupInputs& inputs) {
  auto blocks = ClientBlocks::Create(deployment.regions);
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
  for (const config::Service& service : deployment.services) {
    std::vector<bool> serving(domains.size());
    for (const config::Place& place : service.places) {
      const auto it = domains.find(place.failure_domain);
      if (it != domains.end()) serving[it->second] = true;
    }
    Service entry{service.name, {}};
    for (const std::string& region : table.blocks_->regions()) {
      entry.by_region.push_back(table.Order(serving, region, inputs));
    }
    table.services_.push_back(std::move(entry));
  }
  std::ranges::sort(table.services_, {}, &Service::name);
  return table;
}

core::Result<Answer, LookupError> LookupTable::Lookup(const boost::asio::ip::address& client,
                                                      std::string_view service) const {
  const auto it = std::ranges::lower_bound(services_, service, {}, &Service::name);
  if (it == services_.end() || it->name != service) {
    return LookupError{LookupErrorCode::kUnknownService};
  }
  impl::RegionIndex region = blocks_->map().Find(client);
  if (region == impl::kNoRegion) region = own_region_;
  const RegionOrder& order = it->by_region[region];
  if (order.instances.empty()) return LookupError{LookupErrorCode::kNoEntryInstance};
  Answer answer;
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

LookupTable::RegionOrder LookupTable::Order(const std::vector<bool>& serving_domains,
                                            const std::string& client_region,
                                            const LookupInputs& inputs) const {
  std::unordered_map<std::string_view, core::Duration> latencies;
  std::vector<std::pair<Preference, std::uint32_t>> ranked;
  for (std::uint32_t i = 0; i < instances_->size(); ++i) {
    const EntryInstance& instance = (*instances_)[i];
    if (instance.leaving) continue;
    const auto [it, added] = latencies.try_emplace(instance.region);
    if (added) it->second = Latency(inputs.latencies, client_region, instance.region);
    const std::uint32_t domain = instance_domains_[i];
    const bool serves = domain != kNoDomain && serving_domains[domain];
    ranked.push_back({{!instance.healthy, it->second, !serves}, i});
  }
  std::ranges::sort(ranked, [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second < b.second;
  });
  RegionOrder order;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    const bool new_tier = i == 0 || ranked[i].first != ranked[i - 1].first;
    // A tier is kept whole, because its members rotate; later tiers cannot be reached.
    if (new_tier && order.instances.size() >= kMaxAnswerInstances) break;
    const auto position = static_cast<std::uint32_t>(order.instances.size());
    if (new_tier) order.tiers.push_back({position, position});
    order.instances.push_back(ranked[i].second);
    ++order.tiers.back().end;
  }
  order.instances.shrink_to_fit();
  order.tiers.shrink_to_fit();
  return order;
}

}  // namespace vanilladeck::steering

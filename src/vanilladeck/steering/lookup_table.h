#pragma once

#include <array>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/steering/impl/block_map.h"

namespace vanilladeck::steering {

/// An entry instance that may be named in lookup responses.
struct EntryInstance {
  std::string caller_address;  ///< "IP:port" of the listener for callers.
  std::string failure_domain;
  std::string region;
  bool leaving = false;
  bool healthy = true;  ///< False while its heartbeats are missing; ordered last, never omitted.
};

/// One-way latency between regions, from heartbeat round trips.
using RegionLatencies = std::map<std::pair<std::string, std::string>, core::Duration>;

struct LookupInputs {
  std::string own_region;  ///< Used for clients that no block contains.
  std::vector<EntryInstance> entry_instances;
  RegionLatencies latencies;  ///< Unmeasured pairs count as `kUnknownLatency`.
};

/// Above every measured latency between regions, so that an unmeasured path is never preferred.
inline constexpr core::Duration kUnknownLatency = std::chrono::seconds(1);

/// Most entry instances in one answer; more do not help a caller and lengthen the response.
inline constexpr std::size_t kMaxAnswerInstances = 8;

/// Entry instances for one caller, nearest first.
class LookupAnswer {
 public:
  [[nodiscard]] std::span<const EntryInstance* const> instances() const noexcept {
    return {instances_.data(), count_};
  }
  [[nodiscard]] std::chrono::seconds ttl() const noexcept { return ttl_; }
  [[nodiscard]] std::string_view client_region() const noexcept { return client_region_; }

 private:
  friend class LookupTable;
  std::array<const EntryInstance*, kMaxAnswerInstances> instances_{};
  std::size_t count_ = 0;
  std::chrono::seconds ttl_{0};
  std::string_view client_region_;
};

enum class LookupTableErrorCode : std::uint8_t { kInvalidBlock, kTooManyRegions, kUnknownRegion };

inline constexpr std::array<std::string_view, 3> kLookupTableErrorNames{
    "invalid-client-block", "too-many-regions", "unknown-region"};

struct LookupTableError {
  LookupTableErrorCode code = LookupTableErrorCode::kInvalidBlock;
  std::string subject;  ///< The block or region.
};

enum class LookupErrorCode : std::uint8_t { kUnknownService, kNoEntryInstance };

inline constexpr std::array<std::string_view, 2> kLookupErrorNames{"unknown-service",
                                                                   "no-entry-instance"};

struct LookupError {
  LookupErrorCode code = LookupErrorCode::kUnknownService;
};

/// Client blocks of a deployment, shared between tables and rebuilt only when the blocks change.
class ClientBlocks {
 public:
  /// Returns `previous` if it was built from the same regions and blocks.
  [[nodiscard]] static core::Result<std::shared_ptr<const ClientBlocks>, LookupTableError> Create(
      const std::vector<config::Region>& regions,
      std::shared_ptr<const ClientBlocks> previous = nullptr);

  [[nodiscard]] const impl::BlockMap& map() const noexcept { return map_; }
  [[nodiscard]] const std::vector<std::string>& regions() const noexcept { return regions_; }

 private:
  ClientBlocks() = default;
  impl::BlockMap map_;
  std::vector<std::string> regions_;
  std::uint64_t digest_ = 0;  ///< Hash of the names and blocks, in order.
};

/// Immutable table of the entry instances that a client should use for a service.
///
/// Instances are ordered by latency from the client's region. At equal latency, those whose failure
/// domain has servers of the service come before those that would forward; the rest rotate by
/// client, which spreads the callers. Unhealthy instances come last, leaving ones are omitted.
///
/// `Create` takes up to a second at the largest size: run it off the serving thread, and reuse the
/// blocks when only instances or latencies changed.
class LookupTable {
 public:
  [[nodiscard]] static core::Result<LookupTable, LookupTableError> Create(
      const config::Deployment& deployment, const LookupInputs& inputs);

  /// Uses `blocks` without comparing them with the deployment's.
  [[nodiscard]] static core::Result<LookupTable, LookupTableError> Create(
      const config::Deployment& deployment, const LookupInputs& inputs,
      std::shared_ptr<const ClientBlocks> blocks);

  /// Reuses `previous` if the deployment has the same client blocks, parses them otherwise.
  [[nodiscard]] static core::Result<LookupTable, LookupTableError> Recreate(
      const config::Deployment& deployment, const LookupInputs& inputs,
      std::shared_ptr<const ClientBlocks> previous);

  /// Pointers in the answer are valid for the lifetime of the table.
  [[nodiscard]] core::Result<LookupAnswer, LookupError> Lookup(
      const boost::asio::ip::address& client, std::string_view service) const;

  [[nodiscard]] const std::shared_ptr<const ClientBlocks>& blocks() const noexcept {
    return blocks_;
  }

  /// Approximate memory of the table and its blocks.
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  /// Instances of equal preference: a range in `RegionOrder::instances`.
  struct Tier {
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
  };
  struct RegionOrder {
    std::vector<std::uint32_t> instances;
    std::vector<Tier> tiers;
  };
  struct Service {
    std::string name;
    std::vector<RegionOrder> by_region;
  };
  struct DistanceGroup;

  LookupTable() = default;
  /// For each client region, the instances by increasing latency.
  [[nodiscard]] std::vector<std::vector<DistanceGroup>> GroupByDistance(
      const RegionLatencies& latencies) const;
  [[nodiscard]] RegionOrder BuildOrder(const std::vector<bool>& serving_domains,
                                       const std::vector<DistanceGroup>& near_to_far) const;

  std::shared_ptr<const ClientBlocks> blocks_;
  std::shared_ptr<const std::vector<EntryInstance>> instances_;
  std::vector<std::uint32_t> instance_domains_;  ///< Failure domain number per instance.
  std::vector<Service> services_;                ///< Sorted by name.
  std::chrono::seconds ttl_{0};
  impl::RegionIndex own_region_ = 0;
};

}  // namespace vanilladeck::steering

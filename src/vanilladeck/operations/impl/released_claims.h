#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

#include "vanilladeck/core/hash.h"
#include "vanilladeck/core/instance_id.h"

namespace vanilladeck::operations::impl {

/// Recently released claims, so that a claim request that arrives after its release is not granted.
///
/// Claims with `claim_id` 0 are ignored. Only hashes are stored; a collision refuses a claim as not
/// run. The oldest entries are evicted first.
class ReleasedClaims {
 public:
  void Add(const core::InstanceId& holder, std::uint64_t claim_id) {
    if (claim_id == 0) return;
    const std::uint64_t hash = Hash(holder, claim_id);
    if (!hashes_.insert(hash).second) return;
    order_.push_back(hash);
    if (order_.size() <= kMaxClaims) return;
    hashes_.erase(order_.front());
    order_.pop_front();
  }

  [[nodiscard]] bool Contains(const core::InstanceId& holder, std::uint64_t claim_id) const {
    return hashes_.contains(Hash(holder, claim_id));
  }

 private:
  static constexpr std::size_t kMaxClaims = 16'384;

  [[nodiscard]] static std::uint64_t Hash(const core::InstanceId& holder, std::uint64_t claim_id) {
    return core::Hash64(holder.address, core::Hash64("claim", holder.incarnation) + claim_id);
  }

  std::unordered_set<std::uint64_t> hashes_;
  std::deque<std::uint64_t> order_;
};

}  // namespace vanilladeck::operations::impl

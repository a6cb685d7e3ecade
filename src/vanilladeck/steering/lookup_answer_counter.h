#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/steering/lookup_table.h"

namespace vanilladeck::steering {

/// Counts the unexpired lookup answers of this instance, per entry instance that they name.
///
/// Answers are counted in buckets of an eighth of their lifetime: an answer counts for its whole
/// lifetime and at most one bucket longer.
class LookupAnswerCounter {
 public:
  explicit LookupAnswerCounter(std::chrono::seconds ttl);

  void Record(const LookupAnswer& answer, core::TimePoint now);

  /// Upper bound on the unexpired answers that name the instance.
  [[nodiscard]] std::uint64_t Outstanding(std::string_view caller_address,
                                          core::TimePoint now) const;

  /// Removes instances that no unexpired answer names.
  void Prune(core::TimePoint now);

 private:
  static constexpr std::size_t kBuckets = 8;
  struct Counts {
    std::array<std::uint32_t, kBuckets + 1> per_bucket{};
    std::int64_t newest = 0;  ///< Number of the most recent bucket with a record.
  };

  [[nodiscard]] std::int64_t BucketOf(core::TimePoint now) const noexcept;
  static std::uint64_t Sum(const Counts& counts, std::int64_t bucket) noexcept;

  core::Duration bucket_length_;
  std::unordered_map<std::uint64_t, Counts> counts_;  ///< By hash of the caller address.
};

}  // namespace vanilladeck::steering

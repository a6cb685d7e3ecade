#include "vanilladeck/steering/lookup_answer_counter.h"

#include <algorithm>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::steering {

LookupAnswerCounter::LookupAnswerCounter(std::chrono::seconds ttl)
    : bucket_length_(std::max(core::Duration(ttl) / static_cast<int>(kBuckets),
                              core::Duration(std::chrono::milliseconds(1)))) {}

void LookupAnswerCounter::Record(const LookupAnswer& answer, core::TimePoint now) {
  const std::int64_t bucket = BucketOf(now);
  for (const EntryInstance* instance : answer.instances()) {
    Counts& counts = counts_[core::Hash64(instance->caller_address)];
    const std::int64_t skipped =
        std::min(bucket - counts.newest, static_cast<std::int64_t>(kBuckets) + 1);
    for (std::int64_t i = 1; i <= skipped; ++i) {
      counts.per_bucket[static_cast<std::size_t>(counts.newest + i) % (kBuckets + 1)] = 0;
    }
    counts.newest = std::max(counts.newest, bucket);
    ++counts.per_bucket[static_cast<std::size_t>(counts.newest) % (kBuckets + 1)];
  }
}

std::uint64_t LookupAnswerCounter::Outstanding(std::string_view caller_address,
                                               core::TimePoint now) const {
  const auto it = counts_.find(core::Hash64(caller_address));
  return it == counts_.end() ? 0 : Sum(it->second, BucketOf(now));
}

void LookupAnswerCounter::Prune(core::TimePoint now) {
  const std::int64_t bucket = BucketOf(now);
  std::erase_if(counts_, [bucket](const auto& it) { return Sum(it.second, bucket) == 0; });
}

std::int64_t LookupAnswerCounter::BucketOf(core::TimePoint now) const noexcept {
  return now.time_since_epoch() / bucket_length_;
}

std::uint64_t LookupAnswerCounter::Sum(const Counts& counts, std::int64_t bucket) noexcept {
  std::uint64_t sum = 0;
  const std::int64_t oldest = bucket - static_cast<std::int64_t>(kBuckets);
  for (std::int64_t i = std::max(oldest, counts.newest - static_cast<std::int64_t>(kBuckets));
       i <= counts.newest; ++i) {
    if (i >= 0) sum += counts.per_bucket[static_cast<std::size_t>(i) % (kBuckets + 1)];
  }
  return sum;
}

}  // namespace vanilladeck::steering

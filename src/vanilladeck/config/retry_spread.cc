#include "vanilladeck/config/retry_spread.h"

#include <algorithm>

namespace vanilladeck::config {

core::Duration RetrySpread::NextDelay() {
  constexpr unsigned kMaxDoublings = 20;
  const auto limit =
      std::min(longest_, first_ * (std::int64_t{1} << std::min(failures_, kMaxDoublings)));
  ++failures_;
  std::uniform_int_distribution<core::Duration::rep> delay(0, limit.count());
  return std::max(kShortest, core::Duration(delay(random_)));
}

}  // namespace vanilladeck::config

#include "vanilladeck/config/retry_backoff.h"

#include <algorithm>

namespace vanilladeck::config {

core::Duration RetryBackoff::NextDelay() {
  constexpr unsigned kMaxDoublings = 20;
  const auto limit =
      std::min(max_, initial_ * (std::int64_t{1} << std::min(failures_, kMaxDoublings)));
  ++failures_;
  std::uniform_int_distribution<core::Duration::rep> delay(0, limit.count());
  return std::max(kMinDelay, core::Duration(delay(random_)));
}

}  // namespace vanilladeck::config

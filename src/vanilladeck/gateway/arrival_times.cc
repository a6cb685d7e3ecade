#include "vanilladeck/gateway/arrival_times.h"

namespace vanilladeck::gateway {

void ArrivalTimes::OnArrived(std::size_t bytes, core::TimePoint now) {
  if (!parts_.empty() && now - parts_.back().at < kResolution) {
    parts_.back().bytes += bytes;
  } else {
    parts_.push_back({bytes, now});
  }
}

void ArrivalTimes::OnTaken(std::size_t bytes) {
  auto it = parts_.begin();
  while (it != parts_.end() && it->bytes <= bytes) {
    bytes -= it->bytes;
    ++it;
  }
  if (it != parts_.end()) it->bytes -= bytes;
  parts_.erase(parts_.begin(), it);
}

}  // namespace vanilladeck::gateway

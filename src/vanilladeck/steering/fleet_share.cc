#include "vanilladeck/steering/fleet_share.h"

#include <cmath>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::steering {

std::uint32_t FleetShare::IntegerShare(double limit, std::string_view subject) const noexcept {
  if (limit <= 0 || !complete_view_) return 0;
  const auto whole = static_cast<std::uint32_t>(limit);
  const std::uint32_t base = whole / instances_;
  const std::uint32_t remainder = whole % instances_;
  const auto offset = static_cast<std::uint32_t>(core::Hash64(subject) % instances_);
  const std::uint32_t rotated_rank = (own_rank_ + offset) % instances_;
  return base + (rotated_rank < remainder ? 1 : 0);
}

void RetryWindow::OnFirstAttempt(core::TimePoint now) {
  Trim(now);
  attempts_.push_back(now);
}

bool RetryWindow::TryRetry(double ratio, double allowance, core::TimePoint now) {
  Trim(now);
  const double limit = ratio * static_cast<double>(attempts_.size()) + allowance;
  if (static_cast<double>(retries_.size()) + 1 > limit) return false;
  retries_.push_back(now);
  return true;
}

void RetryWindow::Trim(core::TimePoint now) {
  while (!attempts_.empty() && now - attempts_.front() > window_) attempts_.pop_front();
  while (!retries_.empty() && now - retries_.front() > window_) retries_.pop_front();
}

}  // namespace vanilladeck::steering

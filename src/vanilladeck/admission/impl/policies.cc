#include "vanilladeck/admission/impl/policies.h"

#include <algorithm>

namespace vanilladeck::admission::impl {
namespace {

// Used until a rank's service time is measured, so that initial shares are equal.
constexpr double kDefaultServiceTimeS = 0.01;

/// Returns the rank with the smallest key; the more urgent one on a tie.
template <class Key>
std::optional<core::Rank> ArgMin(const Candidates& candidates, Key key) {
  std::optional<core::Rank> best;
  double best_key = 0;
  for (core::Rank rank : core::kAllRanks) {
    const auto& candidate = candidates[core::Index(rank)];
    if (!candidate) continue;
    const double value = key(rank, *candidate);
    if (!best || value < best_key) {
      best = rank;
      best_key = value;
    }
  }
  return best;
}

}  // namespace

std::optional<core::Rank> Strict::Choose(const Candidates& candidates) const noexcept {
  return ArgMin(candidates, [](core::Rank rank, const Candidate&) {
    return static_cast<double>(core::Index(rank));
  });
}

void Strict::OnDispatched(core::Rank /*rank*/, const Candidate& /*candidate*/) noexcept {}

std::optional<core::Rank> WeightedFair::Choose(const Candidates& candidates) const noexcept {
  return ArgMin(candidates, [this](core::Rank rank, const Candidate&) {
    return std::max(finish[core::Index(rank)], virtual_time);
  });
}

void WeightedFair::OnDispatched(core::Rank rank, const Candidate& candidate) noexcept {
  double& tag = finish[core::Index(rank)];
  virtual_time = std::max(tag, virtual_time);
  const double service =
      candidate.mean_service_time > 0 ? candidate.mean_service_time : kDefaultServiceTimeS;
  tag = virtual_time + service / candidate.worth;
}

std::optional<core::Rank> Deadline::Choose(const Candidates& candidates) const noexcept {
  return ArgMin(candidates, [](core::Rank rank, const Candidate& candidate) {
    if (candidate.slack > 0) return candidate.slack / candidate.worth;
    // In overload the first requests of a flooded rank are always late; they must not precede
    // requests that can still be on time.
    constexpr double kLateKey = 1e9;
    return rank == core::Rank::kUrgent ? 0.0 : kLateKey;
  });
}

void Deadline::OnDispatched(core::Rank /*rank*/, const Candidate& /*candidate*/) noexcept {}

Policy MakePolicy(config::SchedulerKind kind) {
  switch (kind) {
    case config::SchedulerKind::kStrict:
      return Strict{};
    case config::SchedulerKind::kWeightedFair:
      return WeightedFair{};
    case config::SchedulerKind::kDeadline:
      return Deadline{};
  }
  return Strict{};
}

}  // namespace vanilladeck::admission::impl

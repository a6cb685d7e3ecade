#pragma once

#include <optional>
#include <variant>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/rank.h"

/// Policies that assign the slots not reserved by floors.
namespace vanilladeck::admission::impl {

/// Policy input for a rank with waiting requests.
struct Candidate {
  double worth = 1;
  double slack = 0;  ///< Seconds until the first request must start to be on time; may be negative.
  double mean_service_time = 0;  ///< Seconds.
};

using Candidates = core::PerRank<std::optional<Candidate>>;

/// Most urgent rank first.
struct Strict {
  [[nodiscard]] std::optional<core::Rank> Choose(const Candidates& candidates) const noexcept;
  void OnDispatched(core::Rank rank, const Candidate& candidate) noexcept;
};

/// Start-time fair queueing with `worth` as the weight of service time.
struct WeightedFair {
  [[nodiscard]] std::optional<core::Rank> Choose(const Candidates& candidates) const noexcept;
  void OnDispatched(core::Rank rank, const Candidate& candidate) noexcept;

  core::PerRank<double> finish{};  ///< Virtual time at which the rank's last dispatch ends.
  double virtual_time = 0;
};

/// Least slack first, weighted by `worth`: a rank of worth 100 precedes one of worth 1 whose slack
/// is up to 100 times smaller. Late requests come last, unless they are urgent.
struct Deadline {
  [[nodiscard]] std::optional<core::Rank> Choose(const Candidates& candidates) const noexcept;
  void OnDispatched(core::Rank rank, const Candidate& candidate) noexcept;
};

using Policy = std::variant<Strict, WeightedFair, Deadline>;

[[nodiscard]] Policy MakePolicy(config::SchedulerKind kind);

}  // namespace vanilladeck::admission::impl

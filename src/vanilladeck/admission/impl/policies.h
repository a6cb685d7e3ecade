#pragma once

#include <optional>
#include <variant>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/rank.h"

/// Orders in which slots that no floor claims are given out.
namespace vanilladeck::admission::impl {

/// What a policy knows of a rank that has waiting requests.
struct Candidate {
  double worth = 1;
  double slack = 0;         ///< Seconds until the head must start to be on time; may be negative.
  double mean_service = 0;  ///< Seconds.
};

using Candidates = core::PerRank<std::optional<Candidate>>;

/// Most urgent rank first.
struct Strict {
  [[nodiscard]] std::optional<core::Rank> Choose(const Candidates& candidates) const noexcept;
  void OnDispatched(core::Rank rank, const Candidate& candidate) noexcept;
};

/// Start-time fair queueing: service time in proportion to `worth`.
struct WeightedFair {
  [[nodiscard]] std::optional<core::Rank> Choose(const Candidates& candidates) const noexcept;
  void OnDispatched(core::Rank rank, const Candidate& candidate) noexcept;

  core::PerRank<double> finish{};  ///< Virtual time at which the rank's last dispatch ends.
  double virtual_time = 0;
};

/// Least slack first, weighed by `worth`: a rank worth 100 goes before one worth 1 whose slack is
/// up to 100 times smaller. Requests that are late already come last, unless they are urgent.
struct Deadline {
  [[nodiscard]] std::optional<core::Rank> Choose(const Candidates& candidates) const noexcept;
  void OnDispatched(core::Rank rank, const Candidate& candidate) noexcept;
};

using Policy = std::variant<Strict, WeightedFair, Deadline>;

[[nodiscard]] Policy MakePolicy(config::SchedulerKind kind);

}  // namespace vanilladeck::admission::impl

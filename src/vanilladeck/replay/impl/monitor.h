#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "vanilladeck/core/rank.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/replay/report.h"
#include "vanilladeck/replay/trace.h"

namespace vanilladeck::replay::impl {

enum class EndState : std::uint8_t { kCompleted, kRejected, kLost };

/// Collects the measurements of a replay independently of the decision modules.
class Monitor {
 public:
  explicit Monitor(const Trace& trace);

  void OnEnded(std::size_t request, EndState state, core::Duration latency, bool forwarded);
  [[nodiscard]] bool Ended(std::size_t request) const { return ends_.at(request) > 0; }
  [[nodiscard]] bool AllEnded() const noexcept { return ended_ == ends_.size(); }

  /// A request occupied a slot from `begin` to `end`.
  void OnRan(core::Rank rank, core::Duration begin, core::Duration end);
  void OnShiftStarted(const std::string& from, const std::string& to, core::Duration now);
  void OnShiftEnded(const std::string& from, const std::string& to);

  /// Completes the report; `slots` is the total capacity.
  [[nodiscard]] Report Finish(std::uint32_t slots);

 private:
  struct Shift {
    std::deque<core::Duration> last_second;
    std::uint32_t in_flight = 0;
  };

  [[nodiscard]] bool Measured(const Arrival& arrival) const noexcept;

  const Trace& trace_;
  Report report_;
  std::vector<std::uint32_t> ends_;
  std::size_t ended_ = 0;
  core::PerRank<std::vector<core::Duration>> latencies_;
  core::PerRank<double> slot_seconds_{};
  std::map<std::pair<std::string, std::string>, Shift> shifts_;
};

}  // namespace vanilladeck::replay::impl

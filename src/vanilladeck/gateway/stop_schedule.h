#pragma once

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::gateway {

/// What a stopping instance does at each moment between the platform's signal and its exit.
///
/// Every request that is read gets a whole response before the exit, and a request that is sent to
/// a server ends before the exit. In the order of time:
///
/// | from | rule |
/// |---|---|
/// | the signal | out of lookups and readiness; the last response on a connection closes it |
/// | `idle_from` | connections without a request and without undelivered bytes are closed |
/// | `listen_until` | no new connections; those that wait are accepted first |
/// | `answers_by` | what still runs or arrives is answered at once |
/// | `exit_at` | the process exits, or earlier when all clients have their responses |
///
/// At any of these moments `MayPassOn` decides which requests are still sent to a server.
class StopSchedule {
 public:
  /// `grace` is the time from the signal, at `began`, until the platform kills the process.
  StopSchedule(core::TimePoint began, core::Duration grace) noexcept;

  /// True if a request may be sent to a server now, for the first time or again. It must end by
  /// `answers_by`: by its `deadline`, or, early in the stop, by all that is known of its route.
  /// `usual` is the mean latency of the route; zero if it has not been measured.
  [[nodiscard]] bool MayPassOn(core::TimePoint now, core::TimePoint deadline,
                               core::Duration usual) const noexcept;

  [[nodiscard]] core::TimePoint began() const noexcept { return began_; }
  [[nodiscard]] core::TimePoint idle_from() const noexcept { return idle_from_; }
  [[nodiscard]] core::TimePoint listen_until() const noexcept { return listen_until_; }
  [[nodiscard]] core::TimePoint answers_by() const noexcept { return answers_by_; }
  [[nodiscard]] core::TimePoint exit_at() const noexcept { return exit_at_; }
  /// Shortest time without a request after which a connection may be closed as idle; that of a
  /// client that has just connected is on its way. Zero from `answers_by` on.
  [[nodiscard]] core::Duration MinIdle(core::TimePoint now) const noexcept;

 private:
  core::TimePoint began_;
  core::TimePoint idle_from_;
  core::TimePoint listen_until_;
  core::TimePoint estimates_until_;  ///< Until then `MayPassOn` relies on measured latencies.
  core::TimePoint answers_by_;
  core::TimePoint exit_at_;
  core::Duration min_idle_;
};

}  // namespace vanilladeck::gateway

#pragma once

#include <optional>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// Mean latency of a route at one service, learned from responses.
///
/// A mean above the time that requests have left lets none through, and without responses it would
/// stay for good: after a slow spell of the servers, a pause of this process, or a shorter time
/// limit. So a mean without a recent response does not refuse everything: a few requests are tried,
/// and the first response to them replaces it.
class RouteLatency {
 public:
  /// A response arrived in time. `comparable` is false if the request was queued at its server, or
  /// the server was slower than usual: then the latency is only an upper bound.
  void Add(core::Duration latency, bool comparable, core::TimePoint now) noexcept;

  /// True if a request may be sent although it seems too late.
  [[nodiscard]] bool MayTry(core::TimePoint now) const noexcept;
  /// A request is sent although it seems too late.
  void OnTried(core::TimePoint now) noexcept;

  /// None before the first response.
  [[nodiscard]] std::optional<core::Duration> mean() const noexcept { return mean_; }

  /// A mean counts as known for so long after a response.
  static constexpr core::Duration kMemory = std::chrono::seconds(1);
  /// Between two requests that are tried. Each may hold a slot of a slow server in vain.
  static constexpr core::Duration kTrialInterval = std::chrono::milliseconds(500);

 private:
  std::optional<core::Duration> mean_;
  std::optional<core::TimePoint> answered_at_;
  std::optional<core::TimePoint> tried_at_;
  bool trying_ = false;  ///< Since the last response a request was tried.
};

}  // namespace vanilladeck::steering

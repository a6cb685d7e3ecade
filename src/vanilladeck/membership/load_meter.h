#pragma once

#include <cstdint>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::membership {

/// Counters of a process since its start, and what it holds now.
struct LoadSample {
  std::uint64_t bytes_received = 0;
  std::uint64_t bytes_sent = 0;
  core::Duration processor_time{0};
  double memory_share = 0;  ///< Of the memory for messages, 0 to 1.
};

/// Level that rises after two measurements in a row and falls only after none has reached it for a
/// time, so that it changes seldom: each change costs a write to the store.
class HeldLevel {
 public:
  explicit HeldLevel(double lowest, core::Duration hold)
      : value_(lowest), last_(lowest), hold_(hold) {}
  void Add(double level, core::TimePoint now);
  [[nodiscard]] double value() const noexcept { return value_; }

 private:
  double value_;
  double last_;       ///< Previous measurement.
  double since_ = 0;  ///< Highest measurement since `reached_at_`.
  core::Duration hold_;
  core::TimePoint reached_at_;  ///< Last measurement of at least `value_`.
};

/// Measures which share of its capacity an instance uses, and whether it runs slower than it
/// should.
class LoadMeter {
 public:
  /// A resource of size 0 is unknown and not measured.
  LoadMeter(double link_mbps, double cpu_share) : link_mbps_(link_mbps), cpu_share_(cpu_share) {}

  /// Call every `kTickInterval`; calls that come late mean that the process does not get to run.
  void OnTick(const LoadSample& sample, core::TimePoint now);

  /// Share of the busiest resource in use, rounded up to eighths; 0 below 1/32.
  [[nodiscard]] double load() const noexcept { return load_.value(); }
  /// Speed at which the process runs: 1, 1/2, 1/4 or 1/8.
  [[nodiscard]] double speed() const noexcept { return 1 / slowness_.value(); }

  static constexpr core::Duration kTickInterval = std::chrono::milliseconds(100);
  /// Ticks in a measurement: a second, as loads vary from one request to the next.
  static constexpr int kWindowTicks = 10;
  /// A measurement with fewer ticks ends after this time.
  static constexpr core::Duration kMaxWindow = std::chrono::seconds(2);
  /// Longer than most swings of a load, so that they do not change the instances named.
  static constexpr core::Duration kLoadHold = std::chrono::seconds(30);
  /// A slow instance that is named again too early costs its clients another reconnection.
  static constexpr core::Duration kSlownessHold = std::chrono::seconds(10);

 private:
  [[nodiscard]] double LoadOf(const LoadSample& sample, double seconds) const;

  double link_mbps_;
  double cpu_share_;
  HeldLevel load_{0, kLoadHold};
  HeldLevel slowness_{1, kSlownessHold};
  int ticks_ = -1;  ///< In the current window; -1 before the first.
  LoadSample began_;
  core::TimePoint began_at_;
};

}  // namespace vanilladeck::membership

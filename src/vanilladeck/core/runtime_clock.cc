#include "vanilladeck/core/runtime_clock.h"

#include <algorithm>
#include <atomic>

namespace vanilladeck::core {
namespace {

constexpr std::int64_t kRunning = -1;
std::atomic<std::int64_t> paused_steady_ns{kRunning};
std::atomic<std::int64_t> paused_wall_ns{0};
constexpr Duration kMaxPausedWait = std::chrono::milliseconds(5);

std::int64_t SteadyNs() noexcept {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t WallNs() noexcept {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool IsPaused() noexcept { return paused_steady_ns.load() != kRunning; }

}  // namespace

TimePoint RuntimeClock::now() noexcept {
  const std::int64_t paused = paused_steady_ns.load();
  return TimePoint(Duration(paused == kRunning ? SteadyNs() : paused));
}

std::int64_t RuntimeClock::WallMs() noexcept {
  constexpr std::int64_t kNsPerMs = 1'000'000;
  return (IsPaused() ? paused_wall_ns.load() : WallNs()) / kNsPerMs;
}

void RuntimeClock::Pause() noexcept {
  paused_wall_ns.store(WallNs());
  paused_steady_ns.store(SteadyNs());
}

void RuntimeClock::Advance(Duration step) noexcept {
  paused_wall_ns.fetch_add(step.count());
  paused_steady_ns.fetch_add(step.count());
}

void RuntimeClock::Resume() noexcept { paused_steady_ns.store(kRunning); }

Duration RuntimeClockWaitTraits::to_wait_duration(const Duration& wait) noexcept {
  return IsPaused() ? std::min(wait, kMaxPausedWait) : wait;
}

Duration RuntimeClockWaitTraits::to_wait_duration(const TimePoint& until) noexcept {
  return to_wait_duration(until - RuntimeClock::now());
}

}  // namespace vanilladeck::core

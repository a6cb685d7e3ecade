#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <cstdint>

namespace vanilladeck::core {

/// Steady time for timeouts and leases, wall-clock time for records.
///
/// Meets the C++ `Clock` requirements, so that Asio timers can use it. Tests call `Pause` to stop
/// it; a paused clock changes only through `Advance`. Thread-safe.
class RuntimeClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): Clock concept

  [[nodiscard]] static time_point now() noexcept;

  /// Milliseconds since the Unix epoch. While paused, advances together with `now`.
  [[nodiscard]] static std::int64_t WallMs() noexcept;

  static void Pause() noexcept;
  static void Advance(duration step) noexcept;
  static void Resume() noexcept;
};

using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

/// Makes Asio poll a timer at least every 5 ms, so that `Advance` on a paused clock takes effect.
struct RuntimeClockWaitTraits {
  [[nodiscard]] static Duration to_wait_duration(const Duration& wait) noexcept;
  [[nodiscard]] static Duration to_wait_duration(const TimePoint& until) noexcept;
};

using Timer = boost::asio::basic_waitable_timer<RuntimeClock, RuntimeClockWaitTraits>;

}  // namespace vanilladeck::core

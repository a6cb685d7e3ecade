#pragma once

#include <functional>
#include <map>
#include <random>
#include <utility>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::testing {

using Ms = std::chrono::milliseconds;

/// Virtual clock with an event queue and one seeded random generator.
class Timeline {
 public:
  explicit Timeline(std::uint64_t seed) : rng_(seed) {}

  void At(core::TimePoint time, std::function<void()> event) {
    events_.emplace(std::max(time, now_), std::move(event));
  }
  void After(core::Duration delay, std::function<void()> event) {
    At(now_ + delay, std::move(event));
  }
  void RunUntil(core::TimePoint end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

  [[nodiscard]] core::TimePoint now() const { return now_; }
  [[nodiscard]] std::int64_t WallMs() const {
    constexpr std::int64_t kStartMs = 1'700'000'000'000;
    return kStartMs + std::chrono::duration_cast<Ms>(now_.time_since_epoch()).count();
  }
  /// Uniform in [low, high].
  [[nodiscard]] int Random(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(rng_);
  }
  [[nodiscard]] Ms RandomMs(int low, int high) { return Ms(Random(low, high)); }

 private:
  core::TimePoint now_{std::chrono::seconds(100)};
  std::multimap<core::TimePoint, std::function<void()>> events_;
  std::mt19937_64 rng_;
};

}  // namespace vanilladeck::testing

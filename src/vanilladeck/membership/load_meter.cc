#include "vanilladeck/membership/load_meter.h"

#include <algorithm>
#include <cmath>

namespace vanilladeck::membership {
namespace {

constexpr double kLoadStep = 0.125;
// A quarter of a step: instances that only answer lookups and readiness checks are below.
constexpr double kIdle = kLoadStep / 4;
constexpr double kMaxSlowness = 8;

double LoadLevel(double load) {
  if (load < kIdle) return 0;
  return std::min(1.0, std::ceil(load / kLoadStep) * kLoadStep);
}

/// 1 below twice the nominal duration, since timers are never exact.
double SlownessLevel(double slowness) {
  double level = 1;
  while (level < kMaxSlowness && slowness >= level * 2) level *= 2;
  return level;
}

}  // namespace

void HeldLevel::Add(double level, core::TimePoint now) {
  const double sustained = std::min(level, last_);
  last_ = level;
  if (sustained > value_) value_ = sustained;
  if (level >= value_) {
    reached_at_ = now;
    since_ = 0;
    return;
  }
  since_ = std::max(since_, level);
  if (now - reached_at_ < hold_) return;
  value_ = since_;
  reached_at_ = now;
  since_ = 0;
}

void LoadMeter::OnTick(const LoadSample& sample, core::TimePoint now) {
  ++ticks_;
  if (ticks_ > 0) {
    if (ticks_ < kWindowTicks && now - began_at_ < kMaxWindow) return;
    const double seconds = std::chrono::duration<double>(now - began_at_).count();
    const double nominal = std::chrono::duration<double>(kTickInterval * ticks_).count();
    if (seconds > 0) {
      load_.Add(LoadLevel(LoadOf(sample, seconds)), now);
      slowness_.Add(SlownessLevel(seconds / nominal), now);
    }
  }
  ticks_ = 0;
  began_ = sample;
  began_at_ = now;
}

double LoadMeter::LoadOf(const LoadSample& sample, double seconds) const {
  constexpr double kBitsPerByte = 8;
  constexpr double kMega = 1e6;
  double load = sample.memory_share;
  if (link_mbps_ > 0) {
    // Links carry both directions independently.
    const std::uint64_t bytes = std::max(sample.bytes_received - began_.bytes_received,
                                         sample.bytes_sent - began_.bytes_sent);
    load =
        std::max(load, static_cast<double>(bytes) * kBitsPerByte / (link_mbps_ * kMega * seconds));
  }
  if (cpu_share_ > 0) {
    const double used =
        std::chrono::duration<double>(sample.processor_time - began_.processor_time).count();
    load = std::max(load, used / (cpu_share_ * seconds));
  }
  return load;
}

}  // namespace vanilladeck::membership

#include "vanilladeck/steering/fresh_pace.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace vanilladeck::steering {
namespace {

// A response is slow if it takes longer than this multiple of what is expected. Work of the
// services in use varies by a factor of two without a cause at the server.
constexpr double kSlowFactor = 2.5;
// Latency of an object's first request relative to the mean of its route, at most; the mean
// contains first requests too. The services in use save 0.7 of the work for a cached object.
constexpr double kLargestMissRatio = 4;
// The window does not rise while the server is used more than this multiple of the others' mean.
constexpr double kCrowdedRatio = 1.25;
// Below this utilization a server is not used too much, whatever the mean is.
constexpr double kLowUtilization = 0.5;
// Above this mean requests queue everywhere.
constexpr double kFullUtilization = 0.95;
// Share of the others' mean utilization at which a server counts as used like them.
constexpr double kUsedRatio = 0.8;
// Clean responses needed in any case, since one load report may catch a short peak.
constexpr std::uint32_t kMinCleanResponses = 4;
// A pace that is not used to the full ends after this time; caches of the services in use are
// filled within some seconds.
constexpr core::Duration kLongestPace = std::chrono::seconds(8);
// Time without a request from this instance after which one is offered. Each offered request is
// late in most cases; offers without this pause cost more than the earlier warm cache gained.
constexpr core::Duration kIdleTime = std::chrono::seconds(2);
// Bound on the objects remembered of a server; servers cache 20 to 80.
constexpr std::size_t kMaxObjects = 128;

}  // namespace

FreshPace::FreshPace(FreshCause cause, core::TimePoint now) noexcept
    : empty_cache_(cause != FreshCause::kRecovered), halved_at_(now), sent_at_(now) {}

void FreshPace::Restart(core::TimePoint now) noexcept {
  window_ = 1;
  slow_rise_above_ = 1;
  clean_ = 0;
  halved_at_ = now;
}

bool FreshPace::IsFirst(std::uint64_t object) const {
  return empty_cache_ && object != 0 && cached_.count(object) == 0;
}

bool FreshPace::Allows(std::uint64_t object, std::uint32_t in_flight) const {
  if (in_flight + 1 > window_) return false;
  return !IsFirst(object) || in_flight_.count(object) == 0;
}

bool FreshPace::Wants(std::uint64_t object, core::TimePoint now) const {
  return IsFirst(object) && now - sent_at_ >= kIdleTime;
}

double FreshPace::LatencyFactor(std::uint64_t object, bool cold, double miss_ratio) const {
  // Once a server is warm, other instances may have had the object cached there.
  return cold ? kColdLatencyFactor * (IsFirst(object) ? miss_ratio : 1) : 1;
}

void FreshPace::OnSent(std::uint64_t object, bool cold, core::TimePoint now) {
  sent_at_ = now;
  if (in_flight_.size() >= kMaxObjects) return;
  Sent& sent = in_flight_[object];
  sent = {cold, IsFirst(object), now, sent.requests + 1};
}

FreshPace::Sent FreshPace::SentOf(std::uint64_t object) const {
  const auto it = in_flight_.find(object);
  // None if it was sent before the pace started.
  return it == in_flight_.end() ? Sent{} : it->second;
}

PaceReason FreshPace::Judge(const Sent& sent, const FreshSample& sample) const noexcept {
  if (sample.outcome == FreshOutcome::kRefused) return PaceReason::kRefused;
  if (sample.outcome == FreshOutcome::kFailed) return PaceReason::kFailed;
  if (sample.expected.count() > 0) {
    const double queue = static_cast<double>(sample.waiting) / std::max(1U, sample.slots);
    const double allowed = (sent.cold ? kColdLatencyFactor : 1) *
                           (sent.first ? kLargestMissRatio : 1) * (1 + queue) * kSlowFactor;
    if (static_cast<double>(sample.latency.count()) >
        static_cast<double>(sample.expected.count()) * allowed) {
      return PaceReason::kSlow;
    }
  }
  // The caller left; nothing else is known of the server.
  if (sample.outcome == FreshOutcome::kAbandoned) return PaceReason::kNone;
  if (sample.has_load && sample.waiting > 0 && sample.mean_utilization < kFullUtilization) {
    return PaceReason::kQueued;
  }
  return PaceReason::kCleanResponse;
}

void FreshPace::Raise() noexcept { window_ += window_ < slow_rise_above_ ? 1 : 1 / window_; }

FreshPace::Decision FreshPace::OnEnd(std::uint64_t object, const FreshSample& sample,
                                     core::TimePoint now) {
  const Sent sent = SentOf(object);
  if (sent.requests > 1) {
    --in_flight_[object].requests;
  } else {
    in_flight_.erase(object);
  }
  if (sample.outcome == FreshOutcome::kAnswered && object != 0 && cached_.size() < kMaxObjects) {
    cached_.insert(object);
  }
  const PaceReason reason = Judge(sent, sample);
  if (reason == PaceReason::kNone) return {};
  if (reason != PaceReason::kCleanResponse) {
    // Requests sent before the last halving say nothing about the window since then.
    if (sent.at < halved_at_) return {};
    halved_at_ = now;
    clean_ = 0;
    window_ = std::max(1.0, window_ / 2);
    slow_rise_above_ = window_;
    return {PaceChange::kHalved, reason};
  }
  const double slots = std::max(1U, sample.slots);
  const double utilization = (sample.running + sample.waiting) / slots;
  if (!sample.cold) {
    ++clean_;
    const bool used = sample.has_load && sample.mean_utilization > 0 &&
                      utilization >= kUsedRatio * sample.mean_utilization;
    if (used && clean_ >= kMinCleanResponses) {
      return {PaceChange::kFinished, PaceReason::kUsedLikeOthers};
    }
    if (window_ >= slots) return {PaceChange::kFinished, PaceReason::kWindowIsSlots};
  }
  const bool crowded = sample.has_load && utilization > kLowUtilization &&
                       utilization > kCrowdedRatio * sample.mean_utilization;
  // A window that is not used says nothing about a larger one.
  const bool used_window = sample.in_flight + 1 > window_;
  if (crowded || !used_window || window_ >= slots) return {};
  Raise();
  return {PaceChange::kRaised, reason};
}

bool FreshPace::Elapsed(core::TimePoint now) const noexcept {
  // Without any response, requests in flight are the only sign of how the server does.
  if (clean_ == 0 && !in_flight_.empty()) return false;
  return now - std::max(halved_at_, cold_until_) > kLongestPace;
}

void PaceLog::Add(Entry entry) {
  ++counts_[static_cast<std::size_t>(entry.change)];
  if (entries_.size() < kMaxEntries) entries_.push_back(std::move(entry));
}

std::vector<PaceLog::Entry> PaceLog::Take() { return std::exchange(entries_, {}); }

}  // namespace vanilladeck::steering

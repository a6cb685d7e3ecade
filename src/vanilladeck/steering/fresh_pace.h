#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// Expected latency of a cold server, relative to a warm one.
inline constexpr double kColdLatencyFactor = 2.0;

/// Why a server is fresh.
enum class FreshCause : std::uint8_t {
  kNone,
  kStarted,    ///< It has started, or its report says that it is cold again.
  kReturned,   ///< The evacuation of its failure domain ended.
  kRecovered,  ///< It was ejected after failures.
};

enum class PaceChange : std::uint8_t { kNone, kStarted, kRaised, kHalved, kFinished };
inline constexpr std::array<std::string_view, 5> kPaceChangeNames{"none", "started", "raised",
                                                                  "halved", "finished"};

/// What led to a change of the pace.
enum class PaceReason : std::uint8_t {
  kNone,
  kServerStarted,
  kServerReturned,
  kServerRecovered,
  kCleanResponse,
  kRefused,         ///< The server did not run a request.
  kFailed,          ///< Server error, failed or refused connection, malformed response.
  kSlow,            ///< The latency exceeded a multiple of the one at warm servers.
  kQueued,          ///< Requests wait at the server, though not at others of its service.
  kUsedLikeOthers,  ///< Its reported load has reached the others' mean.
  kWindowIsSlots,   ///< The window is as large as the server.
  kElapsed,         ///< Without a bad response for a long time.
};
inline constexpr std::array<std::string_view, 12> kPaceReasonNames{
    "none",           "server-started",   "server-returned", "server-recovered",
    "clean-response", "refused",          "failed",          "slow",
    "queued",         "used-like-others", "window-is-slots", "elapsed"};

/// How an attempt at a fresh server ended.
enum class FreshOutcome : std::uint8_t { kAnswered, kRefused, kFailed, kAbandoned };

/// One finished attempt at a fresh server.
struct FreshSample {
  FreshOutcome outcome = FreshOutcome::kAnswered;
  core::Duration latency{0};
  /// Latency of the route at warm servers; zero if it cannot be compared with `latency`.
  core::Duration expected{0};
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 1;  ///< Own requests at the server, with this one.
  bool has_load = false;        ///< The response states the load.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double mean_utilization = 0;  ///< Of the servers of its service and region; 0 if unknown.
  bool cold = false;            ///< At the end of the attempt.
};

/// Pace of this instance's requests to one server that has just started or recovered.
///
/// The pace is a window: the number of own requests that may be in flight at the server. It starts
/// at one, rises while responses are as fast as those of warm servers, allowing for what a cold
/// server and an empty cache cost, and halves when they are not. The load that the server reports
/// is the signal that all instances share: none raises its window while the server is used more
/// than others, and all halve while requests queue there.
class FreshPace {
 public:
  struct Sent {
    bool cold = false;
    bool first = false;  ///< The server was not known to have the object cached.
    core::TimePoint at;
    std::uint32_t requests = 0;  ///< Of the object, in flight.

    /// The latency says nothing about warm servers.
    [[nodiscard]] bool IsSlowerThanUsual() const noexcept { return cold || first; }
  };
  struct Decision {
    PaceChange change = PaceChange::kNone;
    PaceReason reason = PaceReason::kNone;
  };

  FreshPace(FreshCause cause, core::TimePoint now) noexcept;

  /// Returns to the initial window, after the server was ejected.
  void Restart(core::TimePoint now) noexcept;

  /// The window has room, and no request is in flight for an object that the server may lack:
  /// a second one would take as long as the first.
  [[nodiscard]] bool Allows(std::uint64_t object, std::uint32_t in_flight) const;

  /// A request of an object that prefers the server should be sent there though it would be faster
  /// elsewhere: the server has had none from this instance for some time.
  [[nodiscard]] bool Wants(std::uint64_t object, core::TimePoint now) const;

  /// Expected latency relative to a warm server; `miss_ratio` is that of an object's first request.
  [[nodiscard]] double LatencyFactor(std::uint64_t object, bool cold, double miss_ratio) const;

  /// `object` is 0 for a request without one.
  void OnSent(std::uint64_t object, bool cold, core::TimePoint now);
  /// How the last request of the object in flight was sent.
  [[nodiscard]] Sent SentOf(std::uint64_t object) const;
  [[nodiscard]] Decision OnEnd(std::uint64_t object, const FreshSample& sample,
                               core::TimePoint now);
  /// Finished because neither a bad response nor the end of the cold time is recent.
  [[nodiscard]] bool Elapsed(core::TimePoint now) const noexcept;

  /// The server is cold until then. Its reports of a warm server do not change that time.
  void NoteCold(core::TimePoint until) noexcept { cold_until_ = until; }
  /// End of the cold time; the clock's epoch if it was not cold.
  [[nodiscard]] core::TimePoint cold_until() const noexcept { return cold_until_; }
  [[nodiscard]] double window() const noexcept { return window_; }

 private:
  [[nodiscard]] bool IsFirst(std::uint64_t object) const;
  [[nodiscard]] PaceReason Judge(const Sent& sent, const FreshSample& sample) const noexcept;
  void Raise() noexcept;

  bool empty_cache_;  ///< The server may lack any object.
  double window_ = 1;
  /// Above it the window rises by one for each of its size in clean responses, not for each one.
  double slow_rise_above_ = std::numeric_limits<double>::max();
  std::uint32_t clean_ = 0;    ///< Clean responses while the server was not cold.
  core::TimePoint halved_at_;  ///< Also the start.
  core::TimePoint sent_at_;    ///< Last request.
  core::TimePoint cold_until_;
  std::unordered_set<std::uint64_t> cached_;  ///< Objects with a response from the server.
  std::unordered_map<std::uint64_t, Sent> in_flight_;
};

/// Changes of paces for the log, and counters.
class PaceLog {
 public:
  struct Entry {
    std::string server;
    std::string service;
    PaceChange change = PaceChange::kNone;
    PaceReason reason = PaceReason::kNone;
    double window = 1;
    bool cold = false;
  };

  void Add(Entry entry);
  void CountOffered() noexcept { ++offered_; }
  void CountWithheld() noexcept { ++withheld_; }
  /// Entries since the last call; at most `kMaxEntries`, the first ones.
  [[nodiscard]] std::vector<Entry> Take();

  [[nodiscard]] std::uint64_t count(PaceChange change) const noexcept {
    return counts_[static_cast<std::size_t>(change)];
  }
  /// Requests sent to a fresh server to fill its cache.
  [[nodiscard]] std::uint64_t offered() const noexcept { return offered_; }
  /// Times that a fresh server was passed over because of its pace.
  [[nodiscard]] std::uint64_t withheld() const noexcept { return withheld_; }

  static constexpr std::size_t kMaxEntries =
      128;  ///< The gateway takes them several times a second.

 private:
  std::vector<Entry> entries_;
  std::array<std::uint64_t, kPaceChangeNames.size()> counts_{};
  std::uint64_t offered_ = 0;
  std::uint64_t withheld_ = 0;
};

}  // namespace vanilladeck::steering

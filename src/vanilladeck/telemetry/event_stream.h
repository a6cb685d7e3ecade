#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::telemetry {

/// Decisions and changes of belief of the request path; docs/EVENTS.md is the catalogue.
enum class StreamEvent : std::uint8_t {
  kStart,
  kStop,
  kDrain,
  kReload,
  kListenerFailed,
  kHandlerFailed,
  kMemoryShort,
  kReady,
  kPolicy,
  kPolicyRejected,
  kStoreLost,
  kStoreRegained,
  kStoreCallFailed,
  kPeerFailed,
  kSeedState,
  kEntryRejected,
  kServerAdded,
  kServerDraining,
  kServerRemoved,
  kServerEjected,
  kEvacuation,
  kFleet,
  kRegionSplit,
  kRequest,
  kRefused,
  kFailed,
  kAttempt,
  kDropped,
};

inline constexpr std::array<std::string_view, 28> kStreamEventNames{"start",
                                                                    "stop",
                                                                    "drain",
                                                                    "reload",
                                                                    "listener-failed",
                                                                    "handler-failed",
                                                                    "memory-short",
                                                                    "ready",
                                                                    "policy",
                                                                    "policy-rejected",
                                                                    "store-lost",
                                                                    "store-regained",
                                                                    "store-call-failed",
                                                                    "peer-failed",
                                                                    "seed-state",
                                                                    "entry-rejected",
                                                                    "server-added",
                                                                    "server-draining",
                                                                    "server-removed",
                                                                    "server-ejected",
                                                                    "evacuation",
                                                                    "fleet",
                                                                    "region-split",
                                                                    "request",
                                                                    "refused",
                                                                    "failed",
                                                                    "attempt",
                                                                    "dropped"};

struct StreamLimits {
  std::size_t buffer_bytes = 256U << 10U;  ///< Lines that do not fit are dropped and counted.
  std::uint32_t lines_per_event = 40;      ///< A second and event; more are counted only.
};

/// JSON lines to a file descriptor, bounded and never blocking.
///
/// A reader that stops reading costs lines, never time: what does not fit into the buffer is
/// dropped, and a `dropped` line states how many of which event once there is room again.
class EventStream {
 public:
  EventStream(int fd, std::string instance, StreamLimits limits = {});
  EventStream(const EventStream&) = delete;
  EventStream& operator=(const EventStream&) = delete;

  /// Appends one line: time, event, then the members of the object `fields`.
  void Write(StreamEvent event, const nlohmann::ordered_json& fields);

  /// True for one request id in `kSampleEvery`, the same on every instance.
  [[nodiscard]] static bool Sampled(std::string_view request_id) noexcept;

  /// Writes what the descriptor takes without blocking; call a few times a second.
  void Flush();

  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_total_; }

  static constexpr std::uint64_t kSampleEvery = 64;

 private:
  struct Window {
    std::int64_t second = 0;
    std::uint32_t lines = 0;
  };

  void Append(const std::string& line);

  int fd_;
  std::string instance_;
  StreamLimits limits_;
  std::string buffer_;
  std::array<Window, kStreamEventNames.size()> windows_{};
  std::array<std::uint64_t, kStreamEventNames.size()> dropped_{};
  std::uint64_t dropped_total_ = 0;
  bool any_dropped_ = false;
};

}  // namespace vanilladeck::telemetry

#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::telemetry {

/// Decisions and state changes of the request path, documented in docs/EVENTS.md.
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
  kPolicyOutdated,
  kPolicyHeld,
  kPolicyBehind,
  kStoreLost,
  kStoreRegained,
  kStoreCallFailed,
  kStoreEra,
  kStoreEraOdd,
  kStoreEraSettled,
  kListingRead,
  kPeerFailed,
  kSlowTransfer,
  kChangesRead,
  kSeedState,
  kEntryRejected,
  kServerAdded,
  kServerDraining,
  kServerRemoved,
  kServerReportDropped,
  kServerMoved,
  kAddressShared,
  kServerEjected,
  kServerPace,
  kServerLimit,
  kLoadReportUnreadable,
  kEvacuation,
  kFleet,
  kRegionSplit,
  kGranter,
  kGranterFailed,
  kRequest,
  kRefused,
  kOverAllotment,
  kFailed,
  kAttempt,
  kRemoteLookup,
  kLookupRefused,
  kEntryChoice,
  kDropped,
};

inline constexpr std::array<std::string_view, 49> kStreamEventNames{"start",
                                                                    "stop",
                                                                    "drain",
                                                                    "reload",
                                                                    "listener-failed",
                                                                    "handler-failed",
                                                                    "memory-short",
                                                                    "ready",
                                                                    "policy",
                                                                    "policy-rejected",
                                                                    "policy-outdated",
                                                                    "policy-held",
                                                                    "policy-behind",
                                                                    "store-lost",
                                                                    "store-regained",
                                                                    "store-call-failed",
                                                                    "store-era",
                                                                    "store-era-odd",
                                                                    "store-era-settled",
                                                                    "listing-read",
                                                                    "peer-failed",
                                                                    "slow-transfer",
                                                                    "changes-read",
                                                                    "seed-state",
                                                                    "entry-rejected",
                                                                    "server-added",
                                                                    "server-draining",
                                                                    "server-removed",
                                                                    "server-report-dropped",
                                                                    "server-moved",
                                                                    "address-shared",
                                                                    "server-ejected",
                                                                    "server-pace",
                                                                    "server-limit",
                                                                    "load-report-unreadable",
                                                                    "evacuation",
                                                                    "fleet",
                                                                    "region-split",
                                                                    "granter",
                                                                    "granter-failed",
                                                                    "request",
                                                                    "refused",
                                                                    "over-allotment",
                                                                    "failed",
                                                                    "attempt",
                                                                    "remote-lookup",
                                                                    "lookup-refused",
                                                                    "entry-choice",
                                                                    "dropped"};

struct StreamLimits {
  std::size_t buffer_bytes = 256U << 10U;  ///< When full, events are dropped and counted.
  /// Per event; further lines of that second are dropped and counted.
  std::uint32_t max_lines_per_second = 40;
};

/// Writes events as JSON lines to a file descriptor, with a bounded buffer and without blocking.
///
/// When the reader stops reading and the buffer is full, new lines are dropped. Once there is room
/// again, a `dropped` line reports the number of dropped lines for each event.
class EventStream {
 public:
  EventStream(int fd, std::string instance, StreamLimits limits = {});
  EventStream(const EventStream&) = delete;
  EventStream& operator=(const EventStream&) = delete;

  /// Appends one line: time, event, instance, then the members of the object `fields`.
  void Write(StreamEvent event, const nlohmann::ordered_json& fields);

  /// True for one in `kSampleEvery` request ids; every instance selects the same ids.
  [[nodiscard]] static bool Sampled(std::string_view request_id) noexcept;

  /// Writes as much of the buffer as the descriptor accepts without blocking; call a few times a
  /// second.
  void Flush();

  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_total_; }

  static constexpr std::uint64_t kSampleEvery = 64;

 private:
  /// Lines of one event in the current second.
  struct RateWindow {
    std::int64_t second = 0;
    std::uint32_t lines = 0;
  };

  void Append(const std::string& line);

  int fd_;
  std::string instance_;
  StreamLimits limits_;
  std::string buffer_;
  std::array<RateWindow, kStreamEventNames.size()> windows_{};
  std::array<std::uint64_t, kStreamEventNames.size()> dropped_{};
  std::uint64_t dropped_total_ = 0;
  bool any_dropped_ = false;
};

}  // namespace vanilladeck::telemetry

#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace vanilladeck::telemetry {

/// Log events with stable numbers, documented in docs/EVENTS.md.
enum class Event : std::uint8_t {
  kServingStarted,
  kServingStopped,
  kServingRefused,
  kDrainStarted,
  kDrainFinished,
  kDrainTimedOut,
  kServerLeaving,
  kServerUnreachable,
  kServerReachable,
  kControlMailboxFull,
  kConfigurationUnusable,
  kLookupTableRejected,
  kSpansFileFailed,
};

enum class Severity : std::uint8_t { kInfo, kWarning, kError };

inline constexpr std::array<std::string_view, 3> kSeverityNames{"info", "warning", "error"};

struct EventProperties {
  Event event;
  int number;  ///< Never reused or changed.
  std::string_view name;
  Severity severity;
  std::string_view text;
};

inline constexpr std::array<EventProperties, 13> kEventProperties{{
    {Event::kServingStarted, 201, "serving-started", Severity::kInfo,
     "The callers' listener accepts connections"},
    {Event::kServingStopped, 202, "serving-stopped", Severity::kInfo,
     "The serving thread has ended"},
    {Event::kServingRefused, 203, "serving-refused", Severity::kError,
     "The callers' listener could not be opened"},
    {Event::kDrainStarted, 210, "drain-started", Severity::kInfo,
     "Graceful shutdown: lookup responses no longer name this instance"},
    {Event::kDrainFinished, 211, "drain-finished", Severity::kInfo,
     "Graceful shutdown: every request was answered"},
    {Event::kDrainTimedOut, 212, "drain-timed-out", Severity::kWarning,
     "Graceful shutdown: requests were still in flight at the drain timeout"},
    {Event::kServerLeaving, 220, "server-leaving", Severity::kInfo,
     "A backend server is leaving and gets no new work"},
    {Event::kServerUnreachable, 221, "server-unreachable", Severity::kWarning,
     "The health endpoint of a backend server does not answer"},
    {Event::kServerReachable, 222, "server-reachable", Severity::kInfo,
     "The health endpoint of a backend server answers again"},
    {Event::kControlMailboxFull, 230, "control-mailbox-full", Severity::kError,
     "A message to the control thread was refused because its mailbox is full"},
    {Event::kConfigurationUnusable, 231, "configuration-unusable", Severity::kError,
     "A service of the configuration in force cannot be served"},
    {Event::kLookupTableRejected, 232, "lookup-table-rejected", Severity::kError,
     "The lookup table could not be built; lookups keep the previous table"},
    {Event::kSpansFileFailed, 240, "spans-file-failed", Severity::kWarning,
     "Spans cannot be written to the spans file"},
}};

[[nodiscard]] constexpr const EventProperties& Properties(Event event) noexcept {
  return kEventProperties[static_cast<std::size_t>(event)];
}

/// Writes "VD<number> <name>: <text>: <detail>" to the log; `detail` must not contain secrets.
void Log(Event event, std::string_view detail = {});

}  // namespace vanilladeck::telemetry

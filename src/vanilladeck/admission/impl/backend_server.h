#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::admission::impl {

/// One backend server as seen by the holder of some of the seats.
///
/// The limit on own requests is the smallest of the seats' share, the cold-start ramp, the limit
/// after load shedding, and what load reports leave over.
struct BackendServer {
  static constexpr std::size_t kNotAvailable = static_cast<std::size_t>(-1);

  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t share = 0;        ///< Slots of the seats that this instance holds.
  std::uint32_t connections = 0;  ///< Connections of those seats.
  std::uint32_t in_flight = 0;    ///< Own requests.
  bool listed = true;
  bool leaving = false;
  bool needs_probe = false;  ///< Not used until `/health` answers 200.

  // Load reports. In use = own in flight + others; a report tells the sum.
  std::uint32_t others = 0;  ///< Requests in progress that are not own.
  std::optional<std::uint32_t> last_report;
  std::uint32_t peak_since_report = 0;   ///< Most own requests in flight since the last report.
  std::uint32_t peak_before_report = 0;  ///< The same for the period before.
  double contradicted = 1;  ///< Own requests allowed against reports that leave less than that.

  // Limits that grow back; both at least 1.
  double ramp = 1;
  double shed_limit = 1;
  std::uint32_t finished_since_growth = 0;
  core::TimePoint grown_at;

  // Ejection after failures.
  std::uint32_t failures = 0;  ///< Consecutive.
  std::uint32_t ejections = 0;
  std::optional<core::TimePoint> ejected_until;
  bool unreachable_since_leaving = false;

  std::size_t available_position = kNotAvailable;

  /// Own requests that may be in flight now, 0 if the server takes no new work.
  [[nodiscard]] std::uint32_t Limit() const noexcept;
  /// Limit without regard to load reports; the part of the capacity that belongs to this instance.
  [[nodiscard]] std::uint32_t UsableShare() const noexcept;
  /// Slots that load reports leave over for own requests.
  [[nodiscard]] std::uint32_t LeftByReports() const noexcept;
  [[nodiscard]] bool TakesWork() const noexcept;

  void OnStarted() noexcept;
  void OnFinished(bool success) noexcept;
  void OnReport(std::uint32_t reported) noexcept;
  void OnShed() noexcept;
  void OnFailure(core::TimePoint now, bool may_eject) noexcept;
  void OnHealthy(core::TimePoint now) noexcept;
  /// Raises the ramp and the limit after shedding by the time since the last growth.
  void Grow(core::TimePoint now) noexcept;
  /// Starts again with one request at a time.
  void StartCold(core::TimePoint now) noexcept;
};

}  // namespace vanilladeck::admission::impl

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::admission::impl {

/// State of one backend server at an instance that holds some of the seats.
///
/// The limit on own requests is the smallest of the seats' share, the cold-start ramp, the limit
/// after load shedding, and the slots that load reports show as free.
struct BackendServer {
  static constexpr std::size_t kNotAvailable = static_cast<std::size_t>(-1);

  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t share = 0;        ///< Slots of the held seats.
  std::uint32_t connections = 0;  ///< Connections of the held seats.
  std::uint32_t in_flight = 0;    ///< Own requests.
  bool listed = true;
  bool leaving = false;
  bool needs_probe = false;  ///< Not used until `/health` answers 200.

  // Load reports: the reported number is the sum of `in_flight` and `others_in_flight`.
  std::uint32_t others_in_flight = 0;  ///< Requests of other instances.
  std::optional<std::uint32_t> last_report;
  std::uint32_t peak_since_report = 0;  ///< Maximum of `in_flight` since the last report.
  std::uint32_t previous_peak = 0;      ///< The same for the previous report interval.
  double report_override = 1;           ///< Minimum limit when reports leave fewer slots.

  // Limits raised over time; at least 1.
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

  /// Limit on own requests in flight; 0 if the server accepts no new requests.
  [[nodiscard]] std::uint32_t Limit() const noexcept;
  /// Limit without regard to load reports: this instance's share of the capacity.
  [[nodiscard]] std::uint32_t UsableShare() const noexcept;
  /// Slots not used by other instances according to load reports.
  [[nodiscard]] std::uint32_t SlotsLeftByReports() const noexcept;
  [[nodiscard]] bool AcceptsRequests() const noexcept;

  void OnStarted() noexcept;
  void OnFinished(bool success) noexcept;
  void OnReport(std::uint32_t reported) noexcept;
  void OnShed() noexcept;
  void OnFailure(core::TimePoint now, bool may_eject) noexcept;
  void OnHealthy(core::TimePoint now) noexcept;
  /// Raises the ramp and the limit after shedding according to the time since the last growth.
  void Grow(core::TimePoint now) noexcept;
  /// Resets the limits: one request at a time at first.
  void StartCold(core::TimePoint now) noexcept;
};

}  // namespace vanilladeck::admission::impl

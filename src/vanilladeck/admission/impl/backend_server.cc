#include "vanilladeck/admission/impl/backend_server.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vanilladeck::admission::impl {
namespace {

// Growth of the load on a cold server; the same as for credits across regions.
constexpr double kGrowthPerSecond = 1.5;
// A longer step means that this process was paused; the excess does not count as warm-up.
constexpr double kMaxGrowthStepS = 1.0;
constexpr double kShedFactor = 0.5;
constexpr std::uint32_t kEjectAfterFailures = 3;
constexpr core::Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxEjectionDoublings = 6;

}  // namespace

std::uint32_t BackendServer::Limit() const noexcept {
  return std::min(UsableShare(),
                  std::max(SlotsLeftByReports(), static_cast<std::uint32_t>(report_override)));
}

std::uint32_t BackendServer::SlotsLeftByReports() const noexcept {
  return slots - std::min(slots, others_in_flight);
}

std::uint32_t BackendServer::UsableShare() const noexcept {
  if (!AcceptsRequests()) return 0;
  return std::min(
      {share, static_cast<std::uint32_t>(ramp), static_cast<std::uint32_t>(shed_limit)});
}

bool BackendServer::AcceptsRequests() const noexcept {
  return listed && !leaving && !needs_probe && !ejected_until;
}

void BackendServer::OnStarted() noexcept {
  ++in_flight;
  peak_since_report = std::max(peak_since_report, in_flight);
}

void BackendServer::OnFinished(bool success) noexcept {
  if (in_flight > 0) --in_flight;
  if (!success) return;
  ++finished_since_growth;
  failures = 0;
  // Successful requests contradict a report that leaves too few slots: one slot more for each
  // `report_override` of them.
  if (SlotsLeftByReports() < share) {
    report_override = std::min(report_override + 1 / report_override, share + 0.0);
  }
}

void BackendServer::OnReport(std::uint32_t reported) noexcept {
  const bool repeated = last_report == reported;
  const bool impossible = reported == 0 && in_flight > 0;
  last_report = reported;
  // The report may predate recent own starts and finishes. Own requests that have ended since must
  // not be counted as others', or delayed reports would lower the limit step by step.
  const std::uint32_t own = std::max(peak_since_report, previous_peak);
  previous_peak = peak_since_report;
  peak_since_report = in_flight;
  if (impossible) return;
  const std::uint32_t reported_others = reported - std::min(reported, own);
  others_in_flight = repeated ? std::max(others_in_flight, reported_others) : reported_others;
  if (SlotsLeftByReports() >= share) report_override = 1;
}

void BackendServer::OnShed() noexcept {
  report_override = 1;
  const double current = std::min(shed_limit, std::max(1.0, in_flight + 0.0));
  shed_limit = std::max(1.0, current * kShedFactor);
}

void BackendServer::OnFailure(core::TimePoint now, bool may_eject) noexcept {
  ++failures;
  if (failures < kEjectAfterFailures || !may_eject || ejected_until) return;
  const auto factor = static_cast<int>(1U << std::min(ejections, kMaxEjectionDoublings));
  ejected_until = now + kFirstEjection * factor;
  ++ejections;
}

void BackendServer::OnHealthy(core::TimePoint now) noexcept {
  if (leaving && unreachable_since_leaving && listed) {
    leaving = false;  // A new process answers at the address.
    StartCold(now);
  }
  if (needs_probe || (ejected_until && now >= *ejected_until)) StartCold(now);
}

void BackendServer::Grow(core::TimePoint now) noexcept {
  const double step = std::chrono::duration<double>(now - grown_at).count();
  if (step <= 0) return;
  grown_at = now;
  if (finished_since_growth == 0) return;  // No growth without finished requests.
  finished_since_growth = 0;
  const double factor = std::pow(kGrowthPerSecond, std::min(step, kMaxGrowthStepS));
  const double bound = std::max(1.0, slots + 0.0);
  ramp = std::min(ramp * factor, bound);
  shed_limit = std::min(shed_limit * factor, bound);
}

void BackendServer::StartCold(core::TimePoint now) noexcept {
  needs_probe = false;
  ejected_until.reset();
  unreachable_since_leaving = false;
  failures = 0;
  ramp = 1;
  shed_limit = std::max(1.0, slots + 0.0);
  report_override = 1;
  others_in_flight = 0;
  last_report.reset();
  finished_since_growth = 0;
  grown_at = now;
}

}  // namespace vanilladeck::admission::impl

#pragma once

#include <string>
#include <vector>

#include "process/fleet_records.h"

namespace vanilladeck::process {

/// Breaches of the users' rules that the records of a run show, one text each.
struct Breaches {
  std::vector<std::string> config;     ///< Handled by a version that is too old.
  std::vector<std::string> downgrade;  ///< Handled by an older version than one seen before.
  std::vector<std::string> drain;      ///< Reached a server that had left for too long.
  std::vector<std::string> lost;       ///< Passed on, and closed without a response.
  std::vector<std::string> twice;      ///< Not idempotent, and ran more than once.
  std::vector<std::string> refused;    ///< Refused with a promise, and ran.
  std::vector<std::string> denied;     ///< Refused as not allowed.
  /// CONFIG and DRAIN as above, but also for gateways that are not in touch since the store was
  /// away shortly before. The users' pages excuse these.
  std::vector<std::string> early;
  std::size_t judged = 0;  ///< Requests that were sent to a gateway in touch.

  /// True if there are none but early ones.
  [[nodiscard]] bool None() const {
    return config.empty() && downgrade.empty() && drain.empty() && lost.empty() && twice.empty() &&
           refused.empty() && denied.empty();
  }
  /// Counts of all kinds and the first texts of each.
  [[nodiscard]] std::string Text() const;
};

/// True if neither the store nor the gateway was impaired at `time` and in `Fleet::kContactTime`
/// before it. Rules with a time bound hold only for such gateways.
[[nodiscard]] bool IsInTouch(const FleetRecords& records, std::size_t gateway,
                             Clock::time_point time);

[[nodiscard]] Breaches FindBreaches(const FleetRecords& records);

/// Runs at a life of a server, of requests on any gateway, after `time`.
[[nodiscard]] std::size_t RunsAfter(const FleetRecords& records, std::size_t server,
                                    Clock::time_point time);

}  // namespace vanilladeck::process

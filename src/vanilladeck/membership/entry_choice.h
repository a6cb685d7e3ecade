#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/membership/entry_capacity.h"
#include "vanilladeck/membership/registration.h"

namespace vanilladeck::membership {

/// Location of the client that looks up entry instances.
struct EntryQuery {
  std::string region;
  std::string failure_domain;
  /// Sets of other regions to use in place of the caller's, best first; then all regions.
  std::vector<std::vector<std::string>> alternatives;
  /// Number of instances whose loss at the same time must be tolerated.
  std::size_t losses = 2;
  /// Instances lost recently, by name; null if there are none.
  const std::map<std::string, InstanceRecord>* lost = nullptr;
};

/// Addresses for a lookup response.
struct EntryChoice {
  std::vector<std::string> addresses;
  std::set<std::string> regions;  ///< Of the instances named.
  bool remote = false;            ///< No instance of the caller's region is ready.
  std::size_t candidates = 0;     ///< Ready instances among which the selection was made.
  EntrySelection selection;       ///< Points into the arguments.
};

/// Returns the addresses of the entry instances for a lookup response, at most `limit`.
///
/// Selects among the ready instances of the caller's region, or of the first alternative that has
/// any, by their capacity (`SelectEntries`). Requests may always enter in the caller's region,
/// since they come from there. With more than `limit`, each failure domain gets its own stable
/// subset (rendezvous hashing): callers close connections to instances missing from a new response,
/// so the subset must not change between responses, and the subsets of all domains together must
/// cover every instance. `self` is the record of the instance that answers; it replaces the listed
/// one, which lags behind.
[[nodiscard]] EntryChoice ChooseEntryAddresses(
    const std::map<std::string, InstanceRecord>& instances, const EntryQuery& query,
    const InstanceRecord& self, std::size_t limit);

}  // namespace vanilladeck::membership

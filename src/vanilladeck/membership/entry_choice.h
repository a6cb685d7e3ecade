#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/membership/registration.h"

namespace vanilladeck::membership {

/// Who asks where to connect.
struct EntryQuery {
  std::string region;
  std::string failure_domain;
};

/// Addresses of the entry instances that a lookup names, at most `limit`.
///
/// Ready instances of the caller's region; those of other regions only if it has none. With more
/// than `limit`, each failure domain gets its own lasting selection: callers close connections to
/// instances that a new answer no longer names, so the selection must not change with every answer,
/// and the selections of all domains together must reach every instance.
/// `leaving` is the name of an instance to leave out; empty: none.
[[nodiscard]] std::vector<std::string> ChooseEntryAddresses(
    const std::map<std::string, InstanceRecord>& instances, const EntryQuery& query,
    std::string_view leaving, std::size_t limit);

}  // namespace vanilladeck::membership

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::gateway {

/// Compressed values of the items that other instances read, kept until another value is read,
/// since all instances of a region read an item at about the same time.
class CompressedItems {
 public:
  /// Returns the compressed value of `item`; valid until the next call. Values are compared, not
  /// positions: the policy in force may take the place of what the store has at a position.
  const std::string& Get(const store::Item& item);

  /// Items that are kept; beyond that the one that was not read for longest is dropped.
  static constexpr std::size_t kMaxItems = 4;

 private:
  struct Entry {
    std::string value;
    std::string bytes;
    std::uint64_t last_read = 0;  ///< Number of the read.
  };
  std::map<std::string, Entry> entries_;
  std::uint64_t reads_ = 0;
};

}  // namespace vanilladeck::gateway

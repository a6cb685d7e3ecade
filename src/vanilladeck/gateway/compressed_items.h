#pragma once

#include <map>
#include <string>

#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::gateway {

/// Compressed values of the items that other instances read, kept until a later one is read,
/// since all instances of a region read an item at about the same time.
class CompressedItems {
 public:
  /// Returns the compressed value of `item`; valid until the next call.
  const std::string& Get(const store::Item& item);

  /// Items that are kept; beyond that the one with the oldest position is dropped.
  static constexpr std::size_t kMaxItems = 4;

 private:
  struct Entry {
    store::Position position;
    std::string bytes;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace vanilladeck::gateway

#pragma once

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "vanilladeck/config/customer.h"

namespace vanilladeck::customers {

/// Immutable index of the keys of one version of the configuration.
///
/// A look-up takes constant time on average, however many keys there are. The table stores the hash
/// of each key and compares it first, so that the time does not depend on how much of a wrong key
/// agrees with a valid one.
class KeyIndex {
 public:
  KeyIndex() = default;
  /// `customers` must outlive the index and stay as they are; they must have passed a
  /// `config::CustomerChecker`.
  explicit KeyIndex(const std::vector<config::Customer>& customers);

  /// Null if no customer holds the key.
  [[nodiscard]] const config::Customer* HolderOf(std::string_view key) const;
  [[nodiscard]] std::size_t size() const noexcept { return holders_.size(); }
  /// True if the configuration has customers, so that requests need a key, even if all keys have
  /// been withdrawn.
  [[nodiscard]] bool keys_needed() const noexcept { return keys_needed_; }

 private:
  bool keys_needed_ = false;
  std::unordered_map<std::string_view, const config::Customer*> holders_;
};

}  // namespace vanilladeck::customers

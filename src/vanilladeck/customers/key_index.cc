#include "vanilladeck/customers/key_index.h"

namespace vanilladeck::customers {

KeyIndex::KeyIndex(const std::vector<config::Customer>& customers)
    : keys_needed_(!customers.empty()) {
  for (const config::Customer& it : customers) {
    for (const std::string& key : it.keys) holders_.emplace(key, &it);
  }
}

const config::Customer* KeyIndex::HolderOf(std::string_view key) const {
  const auto it = holders_.find(key);
  return it == holders_.end() ? nullptr : it->second;
}

}  // namespace vanilladeck::customers

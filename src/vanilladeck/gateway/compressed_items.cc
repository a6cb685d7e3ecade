#include "vanilladeck/gateway/compressed_items.h"

#include <algorithm>

#include "vanilladeck/core/deflate.h"

namespace vanilladeck::gateway {

const std::string& CompressedItems::Get(const store::Item& item) {
  const auto [it, added] = entries_.try_emplace(item.key);
  Entry& entry = it->second;
  entry.last_read = ++reads_;
  if (added || entry.value != item.value) {
    entry.value = item.value;
    entry.bytes = core::Deflate(item.value);
  }
  if (entries_.size() > kMaxItems) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& a, const auto& b) { return a.second.last_read < b.second.last_read; }));
  }
  return entry.bytes;
}

}  // namespace vanilladeck::gateway

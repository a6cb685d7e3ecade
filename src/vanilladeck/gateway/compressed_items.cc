#include "vanilladeck/gateway/compressed_items.h"

#include "vanilladeck/core/deflate.h"

namespace vanilladeck::gateway {

const std::string& CompressedItems::Get(const store::Item& item) {
  const auto [it, added] = entries_.try_emplace(item.key);
  Entry& entry = it->second;
  if (added || entry.position != item.position) {
    entry = {item.position, core::Deflate(item.value)};
  }
  if (entries_.size() > kMaxItems) {
    auto oldest = entries_.end();
    for (auto other = entries_.begin(); other != entries_.end(); ++other) {
      if (other == it) continue;
      if (oldest == entries_.end() || other->second.position < oldest->second.position) {
        oldest = other;
      }
    }
    entries_.erase(oldest);
  }
  return entry.bytes;
}

}  // namespace vanilladeck::gateway

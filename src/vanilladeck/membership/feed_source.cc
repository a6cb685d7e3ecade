#include "vanilladeck/membership/feed_source.h"

#include <algorithm>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::membership {
namespace {

// A reader that restarts is back within this time; until then another one or the store is asked.
constexpr core::Duration kAvoidTime = std::chrono::seconds(5);

}  // namespace

void FeedSource::SetPeers(std::vector<FeedPeer> peers) {
  if (peers.size() <= kSmallRegion) {
    own_reader_ = true;
    readers_.clear();
    return;
  }
  std::sort(peers.begin(), peers.end(), [](const FeedPeer& a, const FeedPeer& b) {
    return core::Hash64(a.name) < core::Hash64(b.name);
  });
  peers.resize(kReaders);
  own_reader_ = std::any_of(peers.begin(), peers.end(),
                            [this](const FeedPeer& it) { return it.name == own_name_; });
  // Each reader serves half of the others.
  if (core::Hash64(own_name_) % 2 == 1) std::swap(peers[0], peers[1]);
  readers_ = std::move(peers);
}

const FeedPeer* FeedSource::Choose(core::TimePoint now) const {
  if (own_reader_) return nullptr;
  for (const FeedPeer& it : readers_) {
    const auto avoided = avoided_until_.find(it.name);
    if (avoided == avoided_until_.end() || now >= avoided->second) return &it;
  }
  return nullptr;
}

void FeedSource::OnFailure(const std::string& name, core::TimePoint now) {
  avoided_until_[name] = now + kAvoidTime;
}

}  // namespace vanilladeck::membership

#include "vanilladeck/membership/feed_source.h"

#include <algorithm>
#include <cmath>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::membership {
namespace {

// A reader that restarts is back within this time; until then another one or the store is asked.
constexpr core::Duration kAvoidTime = std::chrono::seconds(5);

}  // namespace

std::size_t FeedSource::Readers(std::size_t instances) noexcept {
  const double root = std::sqrt(static_cast<double>(instances));
  return std::max(kReadersAsked, static_cast<std::size_t>(std::lround(root / 2)));
}

void FeedSource::SetPeers(std::vector<FeedPeer> peers) {
  if (peers.size() <= kSmallRegion) {
    own_reader_ = true;
    readers_.clear();
    return;
  }
  std::sort(peers.begin(), peers.end(), [](const FeedPeer& a, const FeedPeer& b) {
    return core::Hash64(a.name) < core::Hash64(b.name);
  });
  peers.resize(Readers(peers.size()));
  own_reader_ = std::any_of(peers.begin(), peers.end(),
                            [this](const FeedPeer& it) { return it.name == own_name_; });
  // The readers share the others; each instance has two, so that a failed one costs little time.
  const std::uint64_t own = core::Hash64(own_name_);
  std::sort(peers.begin(), peers.end(), [own](const FeedPeer& a, const FeedPeer& b) {
    return core::Hash64(a.name, own) < core::Hash64(b.name, own);
  });
  peers.resize(kReadersAsked);
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

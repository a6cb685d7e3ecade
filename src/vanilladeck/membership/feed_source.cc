#include "vanilladeck/membership/feed_source.h"

#include <algorithm>
#include <cmath>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::membership {
namespace {

// A restarting reader is back within this time; until then another reader or the store is used.
constexpr core::Duration kReaderBackoff = std::chrono::seconds(5);

}  // namespace

std::size_t FeedSource::ReaderCount(std::size_t instances) noexcept {
  const double root = std::sqrt(static_cast<double>(instances));
  return std::max(kReadersPerInstance, static_cast<std::size_t>(std::lround(root / 2)));
}

void FeedSource::SetPeers(std::vector<FeedPeer> peers) {
  if (peers.size() <= kMaxRegionWithoutReaders) {
    is_reader_ = true;
    readers_.clear();
    return;
  }
  std::sort(peers.begin(), peers.end(), [](const FeedPeer& a, const FeedPeer& b) {
    // A reader sends each change to many instances.
    if (a.link_mbps != b.link_mbps) return a.link_mbps > b.link_mbps;
    return core::Hash64(a.name) < core::Hash64(b.name);
  });
  peers.resize(ReaderCount(peers.size()));
  is_reader_ = std::any_of(peers.begin(), peers.end(),
                           [this](const FeedPeer& it) { return it.name == own_name_; });
  // Spreads the other instances over the readers; each gets two, so that fail-over is quick.
  const std::uint64_t own = core::Hash64(own_name_);
  std::sort(peers.begin(), peers.end(), [own](const FeedPeer& a, const FeedPeer& b) {
    return core::Hash64(a.name, own) < core::Hash64(b.name, own);
  });
  peers.resize(kReadersPerInstance);
  readers_ = std::move(peers);
}

const FeedPeer* FeedSource::Choose(core::TimePoint now) const {
  if (is_reader_) return nullptr;
  for (const FeedPeer& it : readers_) {
    const auto failed = failed_at_.find(it.name);
    if (failed == failed_at_.end() || now - failed->second >= kReaderBackoff) return &it;
  }
  return nullptr;
}

const FeedPeer* FeedSource::ChooseWithoutStore(const std::vector<FeedPeer>& others) const {
  const std::uint64_t own = core::Hash64(own_name_);
  const FeedPeer* chosen = nullptr;
  std::pair<core::TimePoint, std::uint64_t> least;
  for (const FeedPeer& it : others) {
    const auto failed = failed_at_.find(it.name);
    const std::pair rank(failed != failed_at_.end() ? failed->second : core::TimePoint::min(),
                         core::Hash64(it.name, own));
    if (it.name == own_name_ || (chosen != nullptr && rank >= least)) continue;
    chosen = &it;
    least = rank;
  }
  return chosen;
}

bool FeedSource::IsOwnStateCurrent(core::Duration age, core::Duration interval,
                                   core::TimePoint now) const {
  if (Choose(now) != nullptr) age -= kPollInterval + kAnswerTimeout + kPollDelay;
  return IsCurrent(age, interval);
}

void FeedSource::OnFailure(const std::string& name, core::TimePoint now) { failed_at_[name] = now; }

}  // namespace vanilladeck::membership

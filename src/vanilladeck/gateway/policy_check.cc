#include "vanilladeck/gateway/policy_check.h"

#include <algorithm>

namespace vanilladeck::gateway {

void PolicyCheck::Begin(core::TimePoint now) noexcept {
  began_at_ = now;
  asking_ = true;
  holding_ = holding_ || known_ == 0;
  failed_ = 0;
  asked_.clear();
  synced_at_.reset();
}

std::optional<membership::FeedPeer> PolicyCheck::NextToAsk(
    const std::vector<membership::FeedPeer>& candidates, bool synced, core::TimePoint now) {
  if (!asking_) return std::nullopt;
  if (synced && !synced_at_) synced_at_ = now;
  // Failures of an earlier round may come late.
  const std::size_t answering = asked_.size() - std::min(failed_, asked_.size());
  if (answering >= kMaxAsked || failed_ >= kMaxFailed) {
    if (in_flight_ == 0) {
      asking_ = false;
      holding_ = holding_ && newer_;
    }
    return std::nullopt;
  }
  for (const membership::FeedPeer& it : candidates) {
    if (!asked_.insert(it.address).second) continue;
    ++in_flight_;
    return it;
  }
  if (synced && in_flight_ == 0) {
    asking_ = false;
    holding_ = holding_ && newer_;
  }
  return std::nullopt;
}

void PolicyCheck::OnAnswer() noexcept { --in_flight_; }

void PolicyCheck::OnNoAnswer() noexcept {
  --in_flight_;
  ++failed_;
}

void PolicyCheck::OnStated(const membership::FeedPeer& peer, std::uint64_t version,
                           core::TimePoint now) {
  if (version <= known_) return;
  if (!newer_ || version > newer_->version) {
    newer_ = Newer{version, {peer}, 0, now, asking_ || holding_ ? now : now + kPropagationTime};
  } else if (version == newer_->version) {
    const bool known_holder =
        std::any_of(newer_->holders.begin(), newer_->holders.end(),
                    [&peer](const auto& it) { return it.address == peer.address; });
    if (!known_holder && newer_->holders.size() < kMaxAsked) newer_->holders.push_back(peer);
  }
}

void PolicyCheck::OnKnown(std::uint64_t version) noexcept {
  known_ = std::max(known_, version);
  if (!newer_ || newer_->version > known_) return;
  newer_.reset();
  holding_ = false;
}

std::optional<membership::FeedPeer> PolicyCheck::NextToRead(bool synced, core::TimePoint now) {
  if (!newer_ || reading_ || !synced || now < newer_->read_at) return std::nullopt;
  if (now - newer_->since >= kMaxReadTime) {
    // A later statement of the version begins anew.
    newer_.reset();
    holding_ = false;
    return std::nullopt;
  }
  reading_ = true;
  return newer_->holders[newer_->reads++ % newer_->holders.size()];
}

void PolicyCheck::OnRead(core::TimePoint now) noexcept {
  reading_ = false;
  if (newer_) newer_->read_at = now + kReadRetryPause;
}

bool PolicyCheck::CountsStatements(core::TimePoint now) const noexcept {
  return active() || (began_at_ && now - *began_at_ < kStatementTime);
}

bool PolicyCheck::Holds(core::TimePoint now) const noexcept {
  if (!holding_) return false;
  if (newer_) return now - newer_->since < kMaxReadTime;
  return !synced_at_ || now - *synced_at_ < kMaxHold;
}

}  // namespace vanilladeck::gateway

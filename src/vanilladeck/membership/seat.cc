#include "vanilladeck/membership/seat.h"

#include <algorithm>
#include <utility>

namespace vanilladeck::membership {
namespace {

constexpr core::Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr core::Duration kAskInterval = std::chrono::milliseconds(500);
// Polls by an instance that does not hold the seat, as a multiple of the renewal interval.
constexpr int kIdlePollFactor = 5;
constexpr int kMaxBackOffSteps = 4;

bool Contains(const std::vector<core::InstanceId>& ids, const core::InstanceId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// True when the process `holder` has ended as far as membership can tell.
bool Gone(const core::InstanceId& holder, const core::InstanceId& self, const SeatView& view) {
  if (holder == self || Contains(view.live_peers, holder)) return false;
  if (holder.address == self.address) return true;
  const bool replaced =
      std::any_of(view.live_peers.begin(), view.live_peers.end(),
                  [&holder](const core::InstanceId& id) { return id.address == holder.address; });
  const bool listed = std::find(view.listed_addresses.begin(), view.listed_addresses.end(),
                                holder.address) != view.listed_addresses.end();
  return replaced || !listed;
}

}  // namespace

std::vector<SeatOutput> Seat::TakeOutputs() { return std::exchange(outputs_, {}); }

bool Seat::release_done() const noexcept {
  return state_ == SeatState::kReleased && call_ == 0 && fresh_ && !NamesSelf();
}

core::TimePoint Seat::NextWake() const noexcept {
  constexpr auto kNever = core::TimePoint::max();
  if (release_done()) return kNever;
  auto wake = call_ == 0 ? next_store_ : kNever;
  if (state_ == SeatState::kHeld) wake = std::min(wake, std::max(next_ask_, PeersDueAt()));
  if (state_ == SeatState::kWaiting) wake = std::min(wake, known_at_ + options_.hold_time);
  if (state_ == SeatState::kHeld || state_ == SeatState::kWaiting) {
    wake = std::min(wake, next_announce_);
  }
  return wake;
}

/// From when on peers are asked instead of, or besides, the store.
core::TimePoint Seat::PeersDueAt() const noexcept {
  if (options_.prefer_peers || failures_ > 0) return {};
  return call_ != 0 ? call_sent_ + options_.renewal_interval : core::TimePoint::max();
}

void Seat::Tick(const SeatView& view, core::TimePoint now) {
  if (state_ == SeatState::kWaiting || state_ == SeatState::kHeld) Announce(view, now);
  if (state_ == SeatState::kWaiting) FinishWait(view, now);
  if (state_ == SeatState::kHeld) AskPeer(view, now);
  if (call_ != 0 || now < next_store_ || release_done()) return;
  if (fresh_ && release_asked_ && NamesSelf()) {
    SeatRecord record = *record_;
    record.released = true;
    Write(record, now);
  } else if (fresh_ && !release_asked_ && state_ == SeatState::kIdle && wanted_ && MayClaim(view)) {
    skip_wait_ = record_ && record_->released;
    skip_wait_term_ = (record_ ? record_->term : 0) + 1;
    Write({options_.self, skip_wait_term_, options_.home, false}, now);
  } else {
    Read(now);
  }
}

bool Seat::MayClaim(const SeatView& view) const {
  if (!record_ || record_->released) return true;
  // An adopted seat goes back to the instance whose settings name it, even from a live holder.
  if (options_.home && !record_->home) return true;
  return Gone(record_->holder, options_.self, view);
}

void Seat::Read(core::TimePoint now) {
  call_ = next_call_++;
  call_sent_ = now;
  call_writes_ = false;
  outputs_.emplace_back(
      store::Call{call_, store::Get{SeatKey(options_.failure_domain, options_.seat)}});
}

void Seat::Write(const SeatRecord& record, core::TimePoint now) {
  call_ = next_call_++;
  call_sent_ = now;
  call_writes_ = true;
  fresh_ = false;  // Whatever the answer, the record is read back before the next step.
  outputs_.emplace_back(
      store::Call{call_, store::CompareAndSwap{SeatKey(options_.failure_domain, options_.seat),
                                               Encode(record), record_index_}});
}

void Seat::OnStoreResult(std::uint64_t call_id, const store::StoreResult& result,
                         core::TimePoint now) {
  if (call_id != call_) return;
  call_ = 0;
  if (result.has_error()) {
    failures_ = std::min(failures_ + 1, kMaxBackOffSteps);
    next_store_ = now + options_.renewal_interval * failures_ / kMaxBackOffSteps;
    return;
  }
  failures_ = 0;
  next_store_ = now;
  if (const auto* get = std::get_if<store::GetReply>(&result.value())) OnRead(*get, now);
}

void Seat::OnRead(const store::GetReply& reply, core::TimePoint now) {
  record_ = reply.entry ? DecodeSeatRecord(reply.entry->value) : std::nullopt;
  record_index_ = reply.entry ? reply.entry->modify_index : 0;
  fresh_ = true;
  if (NamesSelf()) {
    if (!release_asked_) OnOwnRecord(now);
    return;
  }
  Drop();
  next_store_ = now + options_.renewal_interval * (wanted_ ? 1 : kIdlePollFactor);
}

void Seat::OnOwnRecord(core::TimePoint now) {
  if (state_ == SeatState::kIdle) {
    state_ = SeatState::kWaiting;
    known_at_ = now;
    acks_.clear();
    next_announce_ = now;
  }
  until_ = std::max(until_, call_sent_ + options_.hold_time);
  next_store_ = std::max(now, call_sent_ + (options_.prefer_peers ? options_.store_interval
                                                                  : options_.renewal_interval));
}

void Seat::Drop() {
  if (state_ == SeatState::kReleased) return;
  const bool held = state_ == SeatState::kHeld;
  state_ = SeatState::kIdle;
  until_ = {};
  ask_ = 0;
  if (held) outputs_.emplace_back(SeatChanged{});
}

void Seat::Announce(const SeatView& view, core::TimePoint now) {
  if (now < next_announce_) return;
  next_announce_ = now + kAnnounceInterval;
  std::erase_if(acks_, [&view](const auto& row) { return !Contains(view.live_peers, row); });
  for (const auto& peer : view.live_peers) {
    if (Contains(acks_, peer)) continue;
    outputs_.emplace_back(ClaimAnnouncement{peer, options_.seat, options_.self, record_->term});
  }
}

void Seat::OnClaimAcked(const core::InstanceId& peer, std::uint64_t term, core::TimePoint now) {
  if (!NamesSelf() || term != record_->term) return;
  if (!Contains(acks_, peer)) acks_.push_back(peer);
  known_at_ = std::max(known_at_, now);
}

void Seat::FinishWait(const SeatView& view, core::TimePoint now) {
  // A peer that has not acknowledged may confirm the former holder for as long as it is heard.
  const bool all_acked = std::all_of(view.live_peers.begin(), view.live_peers.end(),
                                     [this](const auto& peer) { return Contains(acks_, peer); });
  if (!all_acked) known_at_ = std::max(known_at_, now);
  const bool nobody_before = skip_wait_ && record_->term == skip_wait_term_;
  if (!nobody_before && now < known_at_ + options_.hold_time) return;
  state_ = SeatState::kHeld;
  next_ask_ = now;
  outputs_.emplace_back(SeatChanged{});
}

void Seat::OnClaimAnnounced(const core::InstanceId& holder, std::uint64_t term) {
  if (holder == options_.self || !record_ || term <= record_->term) return;
  if (state_ != SeatState::kWaiting && state_ != SeatState::kHeld) return;
  fresh_ = false;
  record_->holder = holder;
  record_->term = term;
  Drop();
}

void Seat::AskPeer(const SeatView& view, core::TimePoint now) {
  if (now < next_ask_ || now < PeersDueAt()) return;
  next_ask_ = now + kAskInterval;
  if (view.live_peers.empty() && failures_ == 0 && call_ == 0) {
    // With the store in reach its record decides; being one's own witness is for cut-off domains.
    next_store_ = now;
    return;
  }
  ask_ = next_call_++;
  ask_sent_ = now;
  // With no peer in sight this instance is its own witness.
  const auto& peer = view.live_peers.empty()
                         ? options_.self
                         : view.live_peers[peer_turn_++ % view.live_peers.size()];
  outputs_.emplace_back(
      ConfirmationRequest{ask_, peer, options_.seat, options_.self, record_->term});
}

void Seat::OnConfirmed(std::uint64_t request_id, bool confirmed, core::TimePoint now) {
  if (request_id != ask_ || state_ != SeatState::kHeld) return;
  ask_ = 0;
  if (!confirmed) return;
  until_ = std::max(until_, ask_sent_ + options_.hold_time);
  if (options_.prefer_peers) next_ask_ = std::max(now, ask_sent_ + options_.renewal_interval);
}

void Seat::Release() {
  release_asked_ = true;
  Drop();
  state_ = SeatState::kReleased;
  next_store_ = {};
}

}  // namespace vanilladeck::membership

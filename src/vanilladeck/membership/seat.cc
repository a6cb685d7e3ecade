#include "vanilladeck/membership/seat.h"

#include <algorithm>
#include <utility>

namespace vanilladeck::membership {
namespace {

constexpr core::Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr core::Duration kConfirmationInterval = std::chrono::milliseconds(500);
// Poll interval for a seat that this instance does not want, in renewal intervals.
constexpr int kIdlePollFactor = 5;
constexpr int kMaxBackoffSteps = 4;

bool Contains(const std::vector<core::InstanceId>& ids, const core::InstanceId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// True if, according to membership, the process `holder` has ended.
bool HasEnded(const core::InstanceId& holder, const core::InstanceId& self, const SeatView& view) {
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
  return state_ == SeatState::kReleased && pending_call_ == 0 && record_current_ &&
         !RecordNamesSelf();
}

core::TimePoint Seat::NextWake() const noexcept {
  constexpr auto kNever = core::TimePoint::max();
  if (release_done()) return kNever;
  auto wake = pending_call_ == 0 ? next_store_call_ : kNever;
  if (state_ == SeatState::kHeld) wake = std::min(wake, std::max(next_confirm_, ConfirmDueAt()));
  if (state_ == SeatState::kWaiting) wake = std::min(wake, claim_known_at_ + options_.hold_time);
  if (state_ == SeatState::kHeld || state_ == SeatState::kWaiting) {
    wake = std::min(wake, next_announce_);
  }
  return wake;
}

/// Time from which peers are asked for confirmation instead of, or in addition to, the store.
core::TimePoint Seat::ConfirmDueAt() const noexcept {
  if (options_.prefer_peers || failures_ > 0) return {};
  return pending_call_ != 0 ? call_sent_ + options_.renew_interval : core::TimePoint::max();
}

void Seat::Tick(const SeatView& view, core::TimePoint now) {
  if (state_ == SeatState::kWaiting || state_ == SeatState::kHeld) Announce(view, now);
  if (state_ == SeatState::kWaiting) TryEndWait(view, now);
  if (state_ == SeatState::kHeld) RequestConfirmation(view, now);
  if (pending_call_ != 0 || now < next_store_call_ || release_done()) return;
  if (record_current_ && release_requested_ && RecordNamesSelf()) {
    SeatRecord record = *record_;
    record.released = true;
    Write(record, now);
  } else if (record_current_ && !release_requested_ && state_ == SeatState::kIdle && wanted_ &&
             MayClaim(view)) {
    claimed_released_ = record_ && record_->released;
    claimed_term_ = (record_ ? record_->term : 0) + 1;
    Write({options_.self, claimed_term_, options_.home, false}, now);
  } else {
    Read(now);
  }
}

bool Seat::MayClaim(const SeatView& view) const {
  if (!record_ || record_->released) return true;
  // The instance that the seat is assigned to takes an adopted seat back even from a live holder.
  if (options_.home && !record_->home) return true;
  return HasEnded(record_->holder, options_.self, view);
}

void Seat::Read(core::TimePoint now) {
  pending_call_ = next_call_id_++;
  call_sent_ = now;
  pending_call_writes_ = false;
  outputs_.emplace_back(
      store::Call{pending_call_, store::Get{SeatKey(options_.failure_domain, options_.seat)}});
}

void Seat::Write(const SeatRecord& record, core::TimePoint now) {
  pending_call_ = next_call_id_++;
  call_sent_ = now;
  pending_call_writes_ = true;
  record_current_ = false;  // Whatever the result, the record is read back before the next step.
  outputs_.emplace_back(store::Call{
      pending_call_, store::CompareAndSwap{SeatKey(options_.failure_domain, options_.seat),
                                           Encode(record), record_index_}});
}

void Seat::OnStoreResult(std::uint64_t call_id, const store::StoreResult& result,
                         core::TimePoint now) {
  if (call_id != pending_call_) return;
  pending_call_ = 0;
  if (result.has_error()) {
    failures_ = std::min(failures_ + 1, kMaxBackoffSteps);
    next_store_call_ = now + options_.renew_interval * failures_ / kMaxBackoffSteps;
    return;
  }
  failures_ = 0;
  next_store_call_ = now;
  if (const auto* get = std::get_if<store::GetReply>(&result.value())) OnRead(*get, now);
}

void Seat::OnRead(const store::GetReply& reply, core::TimePoint now) {
  record_ = reply.entry ? DecodeSeatRecord(reply.entry->value) : std::nullopt;
  record_index_ = reply.entry ? reply.entry->modify_index : 0;
  record_current_ = true;
  if (RecordNamesSelf()) {
    if (!release_requested_) OnOwnRecord(now);
    return;
  }
  Relinquish();
  next_store_call_ = now + options_.renew_interval * (wanted_ ? 1 : kIdlePollFactor);
}

void Seat::OnOwnRecord(core::TimePoint now) {
  if (state_ == SeatState::kIdle) {
    state_ = SeatState::kWaiting;
    claim_known_at_ = now;
    acked_peers_.clear();
    next_announce_ = now;
  }
  usable_until_ = std::max(usable_until_, call_sent_ + options_.hold_time);
  next_store_call_ = std::max(now, call_sent_ + (options_.prefer_peers ? options_.store_interval
                                                                       : options_.renew_interval));
}

void Seat::Relinquish() {
  if (state_ == SeatState::kReleased) return;
  const bool held = state_ == SeatState::kHeld;
  state_ = SeatState::kIdle;
  usable_until_ = {};
  pending_confirm_ = 0;
  if (held) outputs_.emplace_back(SeatChanged{});
}

void Seat::Announce(const SeatView& view, core::TimePoint now) {
  if (now < next_announce_) return;
  next_announce_ = now + kAnnounceInterval;
  std::erase_if(acked_peers_, [&view](const auto& row) { return !Contains(view.live_peers, row); });
  for (const auto& peer : view.live_peers) {
    if (Contains(acked_peers_, peer)) continue;
    outputs_.emplace_back(ClaimAnnouncement{peer, options_.seat, options_.self, record_->term});
  }
}

void Seat::OnClaimAcked(const core::InstanceId& peer, std::uint64_t term, core::TimePoint now) {
  if (!RecordNamesSelf() || term != record_->term) return;
  if (!Contains(acked_peers_, peer)) acked_peers_.push_back(peer);
  claim_known_at_ = std::max(claim_known_at_, now);
}

void Seat::TryEndWait(const SeatView& view, core::TimePoint now) {
  // A live peer that has not acknowledged the claim may still confirm the previous holder.
  const bool all_acked =
      std::all_of(view.live_peers.begin(), view.live_peers.end(),
                  [this](const auto& peer) { return Contains(acked_peers_, peer); });
  if (!all_acked) claim_known_at_ = std::max(claim_known_at_, now);
  const bool no_previous_user = claimed_released_ && record_->term == claimed_term_;
  if (!no_previous_user && now < claim_known_at_ + options_.hold_time) return;
  state_ = SeatState::kHeld;
  next_confirm_ = now;
  outputs_.emplace_back(SeatChanged{});
}

void Seat::OnClaimAnnounced(const core::InstanceId& holder, std::uint64_t term) {
  if (holder == options_.self || !record_ || term <= record_->term) return;
  if (state_ != SeatState::kWaiting && state_ != SeatState::kHeld) return;
  record_current_ = false;
  record_->holder = holder;
  record_->term = term;
  Relinquish();
}

void Seat::RequestConfirmation(const SeatView& view, core::TimePoint now) {
  if (now < next_confirm_ || now < ConfirmDueAt()) return;
  next_confirm_ = now + kConfirmationInterval;
  if (view.live_peers.empty() && failures_ == 0 && pending_call_ == 0) {
    // The record decides while the store is reachable; an instance acts as its own witness only in
    // an isolated domain.
    next_store_call_ = now;
    return;
  }
  pending_confirm_ = next_call_id_++;
  confirm_sent_ = now;
  // Without a live peer this instance is its own witness.
  const auto& peer = view.live_peers.empty()
                         ? options_.self
                         : view.live_peers[peer_cursor_++ % view.live_peers.size()];
  outputs_.emplace_back(
      ConfirmationRequest{pending_confirm_, peer, options_.seat, options_.self, record_->term});
}

void Seat::OnConfirmed(std::uint64_t request_id, bool confirmed, core::TimePoint now) {
  if (request_id != pending_confirm_ || state_ != SeatState::kHeld) return;
  pending_confirm_ = 0;
  if (!confirmed) return;
  usable_until_ = std::max(usable_until_, confirm_sent_ + options_.hold_time);
  if (options_.prefer_peers) next_confirm_ = std::max(now, confirm_sent_ + options_.renew_interval);
}

void Seat::Release() {
  release_requested_ = true;
  Relinquish();
  state_ = SeatState::kReleased;
  next_store_call_ = {};
}

}  // namespace vanilladeck::membership

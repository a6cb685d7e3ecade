#include "vanilladeck/daemon/seat_manager.h"

#include <algorithm>
#include <utility>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::daemon {
namespace {

using core::RuntimeClock;

/// Shorter than the renewal interval of a seat, so that one lost reply does not let it expire.
constexpr core::Duration kPeerTimeout = std::chrono::milliseconds(800);
constexpr core::Duration kHoldTime = std::chrono::seconds(3);
/// A restarted instance reacquires its seat within this time. If another instance adopted the seat
/// earlier, the restarted one would have to wait for its release.
constexpr core::Duration kAdoptionDelay = std::chrono::seconds(10);

}  // namespace

SeatManager::SeatManager(Options options, StoreGateway& store, PeerCalls& peers,
                         const membership::View& view, std::function<void()> on_change)
    : options_(std::move(options)),
      store_(store),
      peers_(peers),
      view_(view),
      on_change_(std::move(on_change)),
      witness_(kHoldTime, RuntimeClock::now()) {}

void SeatManager::SetSeatCount(std::uint32_t seats) {
  for (std::uint32_t number = 0; number < seats; ++number) {
    if (seats_.contains(number)) continue;
    membership::SeatOptions options;
    options.failure_domain = options_.failure_domain;
    options.seat = number;
    options.self = options_.self;
    options.home = number == options_.home_seat;
    options.hold_time = kHoldTime;
    auto& seat = seats_.emplace(number, membership::Seat(std::move(options))).first->second;
    seat.SetWanted(number == options_.home_seat);
  }
}

membership::SeatView SeatManager::MakeSeatView(core::TimePoint now) const {
  membership::SeatView seat_view;
  for (const membership::Member* it : view_.Live(now)) {
    if (it->failure_domain == options_.failure_domain) seat_view.live_peers.push_back(it->id);
  }
  seat_view.listed_addresses = view_.ListedIn(options_.failure_domain);
  return seat_view;
}

bool SeatManager::IsHeldByPeer(const membership::Seat& seat,
                               const membership::SeatView& seat_view) const {
  const auto& record = seat.record();
  if (!record || record->released) return false;
  const bool holder_is_live = std::find(seat_view.live_peers.begin(), seat_view.live_peers.end(),
                                        record->holder) != seat_view.live_peers.end();
  return holder_is_live && record->holder != options_.self;
}

void SeatManager::Tick(core::TimePoint now) {
  witness_.Tick(now);
  const auto seat_view = MakeSeatView(now);
  for (auto& [number, seat] : seats_) {
    if (number != options_.home_seat) {
      // A free seat is adopted by the live instance that is first in the seat's rendezvous order.
      const auto weight = [number = number](const core::InstanceId& id) {
        return core::Hash64(id.address, number);
      };
      const bool first =
          std::all_of(seat_view.live_peers.begin(), seat_view.live_peers.end(),
                      [&](const auto& id) { return weight(options_.self) < weight(id); });
      const bool held_by_peer = IsHeldByPeer(seat, seat_view);
      auto& free_since = free_since_.try_emplace(number, now).first->second;
      if (held_by_peer) free_since = now;
      const bool delay_passed = now - free_since >= kAdoptionDelay;
      seat.SetWanted(first && delay_passed && !view_.self().leaving);
    }
    seat.Tick(seat_view, now);
    ProcessOutputs(number);
  }
}

void SeatManager::ProcessOutputs(std::uint32_t number) {
  for (auto& output : seats_.at(number).TakeOutputs()) Execute(number, std::move(output));
}

void SeatManager::Execute(std::uint32_t number, membership::SeatOutput output) {
  if (std::holds_alternative<membership::SeatChanged>(output)) return on_change_();
  if (const auto* call = std::get_if<store::Call>(&output)) return Send(number, *call);
  if (const auto* confirmation = std::get_if<membership::ConfirmationRequest>(&output)) {
    return Send(number, *confirmation);
  }
  Send(number, std::get<membership::ClaimAnnouncement>(output));
}

void SeatManager::Send(std::uint32_t number, const store::Call& call) {
  store_.Call(store::CallClass::kControl, call.request,
              [this, number, id = call.id](const store::StoreResult& result) {
                auto& seat = seats_.at(number);
                seat.OnStoreResult(id, result, RuntimeClock::now());
                if (const auto& record = seat.record()) {
                  witness_.Note(number, record->holder, record->term);
                }
                ProcessOutputs(number);
              });
}

void SeatManager::Send(std::uint32_t number, const membership::ConfirmationRequest& confirmation) {
  const peer::SeatClaim claim{options_.failure_domain, confirmation.seat, confirmation.holder,
                              confirmation.term};
  if (confirmation.peer == options_.self) {
    const auto now = RuntimeClock::now();
    seats_.at(number).OnConfirmed(confirmation.request_id, Confirm(claim, now).confirmed, now);
    return ProcessOutputs(number);
  }
  peers_.Call(confirmation.peer.address, peer::ConfirmSeat{claim}, kPeerTimeout,
              [this, number, request_id = confirmation.request_id](const peer::CallResult& result) {
                const bool confirmed =
                    result.has_value() && std::get<peer::SeatConfirmed>(result.value()).confirmed;
                seats_.at(number).OnConfirmed(request_id, confirmed, RuntimeClock::now());
                ProcessOutputs(number);
              });
}

void SeatManager::Send(std::uint32_t number, const membership::ClaimAnnouncement& announcement) {
  const peer::SeatClaim claim{options_.failure_domain, announcement.seat, announcement.holder,
                              announcement.term};
  peers_.Call(announcement.peer.address, peer::AnnounceSeat{claim}, kPeerTimeout,
              [this, number, announcement](const peer::CallResult& result) {
                if (!result.has_value()) return;
                seats_.at(number).OnClaimAcked(announcement.peer, announcement.term,
                                               RuntimeClock::now());
                ProcessOutputs(number);
              });
}

peer::SeatConfirmed SeatManager::Confirm(const peer::SeatClaim& claim, core::TimePoint now) {
  if (claim.failure_domain != options_.failure_domain) return {false};
  return {witness_.Confirm(claim.seat, claim.holder, claim.term, now)};
}

void SeatManager::RecordClaim(const peer::SeatClaim& claim) {
  if (claim.failure_domain != options_.failure_domain) return;
  witness_.Note(claim.seat, claim.holder, claim.term);
  auto it = seats_.find(claim.seat);
  if (it == seats_.end()) return;
  it->second.OnClaimAnnounced(claim.holder, claim.term);
  ProcessOutputs(claim.seat);
}

std::vector<std::uint32_t> SeatManager::UsableSeats(core::TimePoint now) const {
  std::vector<std::uint32_t> usable;
  for (const auto& [number, seat] : seats_) {
    if (seat.Usable(now)) usable.push_back(number);
  }
  return usable;
}

core::TimePoint SeatManager::UsableUntil(core::TimePoint now) const {
  core::TimePoint until = core::TimePoint::max();
  for (const auto& [number, seat] : seats_) {
    if (seat.Usable(now)) until = std::min(until, seat.usable_until());
  }
  return until == core::TimePoint::max() ? core::TimePoint{} : until;
}

void SeatManager::Release(core::TimePoint now) {
  for (auto& [number, seat] : seats_) {
    seat.SetWanted(false);
    seat.Release();
    seat.Tick(MakeSeatView(now), now);
    ProcessOutputs(number);
  }
}

bool SeatManager::released() const {
  return std::all_of(seats_.begin(), seats_.end(),
                     [](const auto& it) { return it.second.release_done(); });
}

}  // namespace vanilladeck::daemon

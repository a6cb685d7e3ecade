#include "vanilladeck/daemon/seat_duty.h"

#include <algorithm>
#include <utility>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::daemon {
namespace {

using core::RuntimeClock;

/// Shorter than the renewal interval of a seat, so that one lost answer does not lapse it.
constexpr core::Duration kPeerTimeout = std::chrono::milliseconds(800);
constexpr core::Duration kHold = std::chrono::seconds(3);
/// A restarted instance is back on its seat within this time. Adopting the seat meanwhile would
/// make it wait for the seat to be given back.
constexpr core::Duration kAdoptionDelay = std::chrono::seconds(10);

}  // namespace

SeatDuty::SeatDuty(Options options, StoreGateway& store, PeerCalls& peers,
                   const membership::View& view, std::function<void()> on_change)
    : options_(std::move(options)),
      store_(store),
      peers_(peers),
      view_(view),
      on_change_(std::move(on_change)),
      witness_(kHold, RuntimeClock::now()) {}

void SeatDuty::SetSeatCount(std::uint32_t seats) {
  for (std::uint32_t number = 0; number < seats; ++number) {
    if (seats_.contains(number)) continue;
    membership::SeatOptions options;
    options.failure_domain = options_.failure_domain;
    options.seat = number;
    options.self = options_.self;
    options.home = number == options_.home_seat;
    options.hold_time = kHold;
    auto& seat = seats_.emplace(number, membership::Seat(std::move(options))).first->second;
    seat.SetWanted(number == options_.home_seat);
  }
}

membership::SeatView SeatDuty::MakeView(core::TimePoint now) const {
  membership::SeatView seen;
  for (const membership::Member* it : view_.Live(now)) {
    if (it->failure_domain == options_.failure_domain) seen.live_peers.push_back(it->id);
  }
  seen.listed_addresses = view_.ListedIn(options_.failure_domain);
  return seen;
}

bool SeatDuty::IsTaken(const membership::Seat& seat, const membership::SeatView& seen) const {
  const auto& record = seat.record();
  if (!record || record->released) return false;
  const bool heard = std::find(seen.live_peers.begin(), seen.live_peers.end(), record->holder) !=
                     seen.live_peers.end();
  return heard && record->holder != options_.self;
}

void SeatDuty::Tick(core::TimePoint now) {
  witness_.Tick(now);
  const auto seen = MakeView(now);
  for (auto& [number, seat] : seats_) {
    if (number != options_.home_seat) {
      // The domain's first live instance in the seat's rendezvous order adopts a free seat.
      const auto weight = [number = number](const core::InstanceId& id) {
        return core::Hash64(id.address, number);
      };
      const bool first =
          std::all_of(seen.live_peers.begin(), seen.live_peers.end(),
                      [&](const auto& id) { return weight(options_.self) < weight(id); });
      const bool taken = IsTaken(seat, seen);
      auto& free_since = free_since_.try_emplace(number, now).first->second;
      if (taken) free_since = now;
      const bool waited = now - free_since >= kAdoptionDelay;
      seat.SetWanted(first && waited && !view_.self().leaving);
    }
    seat.Tick(seen, now);
    Pump(number);
  }
}

void SeatDuty::Pump(std::uint32_t number) {
  for (auto& output : seats_.at(number).TakeOutputs()) Execute(number, std::move(output));
}

void SeatDuty::Execute(std::uint32_t number, membership::SeatOutput output) {
  if (std::holds_alternative<membership::SeatChanged>(output)) return on_change_();
  if (const auto* call = std::get_if<store::Call>(&output)) return Send(number, *call);
  if (const auto* asked = std::get_if<membership::ConfirmationRequest>(&output)) {
    return Send(number, *asked);
  }
  Send(number, std::get<membership::ClaimAnnouncement>(output));
}

void SeatDuty::Send(std::uint32_t number, const store::Call& call) {
  store_.Call(store::CallClass::kControl, call.request,
              [this, number, id = call.id](const store::StoreResult& result) {
                auto& seat = seats_.at(number);
                seat.OnStoreResult(id, result, RuntimeClock::now());
                if (const auto& seen = seat.record()) {
                  witness_.Note(number, seen->holder, seen->term);
                }
                Pump(number);
              });
}

void SeatDuty::Send(std::uint32_t number, const membership::ConfirmationRequest& asked) {
  const peer::SeatClaim claim{options_.failure_domain, asked.seat, asked.holder, asked.term};
  if (asked.peer == options_.self) {
    const auto now = RuntimeClock::now();
    seats_.at(number).OnConfirmed(asked.request_id, Confirm(claim, now).confirmed, now);
    return Pump(number);
  }
  peers_.Call(asked.peer.address, peer::ConfirmSeat{claim}, kPeerTimeout,
              [this, number, ask = asked.request_id](const peer::CallResult& result) {
                const bool confirmed =
                    result.has_value() && std::get<peer::SeatConfirmed>(result.value()).confirmed;
                seats_.at(number).OnConfirmed(ask, confirmed, RuntimeClock::now());
                Pump(number);
              });
}

void SeatDuty::Send(std::uint32_t number, const membership::ClaimAnnouncement& announced) {
  const peer::SeatClaim claim{options_.failure_domain, announced.seat, announced.holder,
                              announced.term};
  peers_.Call(announced.peer.address, peer::AnnounceSeat{claim}, kPeerTimeout,
              [this, number, announced](const peer::CallResult& result) {
                if (!result.has_value()) return;
                seats_.at(number).OnClaimAcked(announced.peer, announced.term, RuntimeClock::now());
                Pump(number);
              });
}

peer::SeatConfirmed SeatDuty::Confirm(const peer::SeatClaim& claim, core::TimePoint now) {
  if (claim.failure_domain != options_.failure_domain) return {false};
  return {witness_.Confirm(claim.seat, claim.holder, claim.term, now)};
}

void SeatDuty::Note(const peer::SeatClaim& claim) {
  if (claim.failure_domain != options_.failure_domain) return;
  witness_.Note(claim.seat, claim.holder, claim.term);
  auto it = seats_.find(claim.seat);
  if (it == seats_.end()) return;
  it->second.OnClaimAnnounced(claim.holder, claim.term);
  Pump(claim.seat);
}

std::vector<std::uint32_t> SeatDuty::Usable(core::TimePoint now) const {
  std::vector<std::uint32_t> usable;
  for (const auto& [number, seat] : seats_) {
    if (seat.Usable(now)) usable.push_back(number);
  }
  return usable;
}

core::TimePoint SeatDuty::ValidUntil(core::TimePoint now) const {
  core::TimePoint until = core::TimePoint::max();
  for (const auto& [number, seat] : seats_) {
    if (seat.Usable(now)) until = std::min(until, seat.usable_until());
  }
  return until == core::TimePoint::max() ? core::TimePoint{} : until;
}

void SeatDuty::Release(core::TimePoint now) {
  for (auto& [number, seat] : seats_) {
    seat.SetWanted(false);
    seat.Release();
    seat.Tick(MakeView(now), now);
    Pump(number);
  }
}

bool SeatDuty::released() const {
  return std::all_of(seats_.begin(), seats_.end(),
                     [](const auto& it) { return it.second.release_done(); });
}

}  // namespace vanilladeck::daemon

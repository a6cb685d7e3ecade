#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/daemon/peer_calls.h"
#include "vanilladeck/daemon/store_gateway.h"
#include "vanilladeck/membership/seat.h"
#include "vanilladeck/membership/seat_witness.h"
#include "vanilladeck/membership/view.h"
#include "vanilladeck/peer/call.h"

namespace vanilladeck::daemon {

/// Acquires and renews this instance's seats, and confirms the claims of peers in the same failure
/// domain.
class SeatManager {
 public:
  struct Options {
    std::string failure_domain;
    std::uint32_t home_seat = 0;
    core::InstanceId self;
  };

  SeatManager(Options options, StoreGateway& store, PeerCalls& peers, const membership::View& view,
              std::function<void()> on_change);

  /// Creates the state machines of the failure domain's seats once their number is known.
  void SetSeatCount(std::uint32_t seats);

  /// Call about every 100 ms.
  void Tick(core::TimePoint now);

  [[nodiscard]] peer::SeatConfirmed Confirm(const peer::SeatClaim& claim, core::TimePoint now);
  void RecordClaim(const peer::SeatClaim& claim);

  /// Seats that this instance may use, and the earliest time at which one of them expires.
  [[nodiscard]] std::vector<std::uint32_t> UsableSeats(core::TimePoint now) const;
  [[nodiscard]] core::TimePoint UsableUntil(core::TimePoint now) const;

  /// Releases all seats; call when no request is in flight.
  void Release(core::TimePoint now);
  [[nodiscard]] bool released() const;

 private:
  [[nodiscard]] membership::SeatView MakeSeatView(core::TimePoint now) const;
  [[nodiscard]] bool IsHeldByPeer(const membership::Seat& seat,
                                  const membership::SeatView& seat_view) const;
  void ProcessOutputs(std::uint32_t number);
  void Execute(std::uint32_t number, membership::SeatOutput output);
  void Send(std::uint32_t number, const store::Call& call);
  void Send(std::uint32_t number, const membership::ConfirmationRequest& confirmation);
  void Send(std::uint32_t number, const membership::ClaimAnnouncement& announcement);

  Options options_;
  StoreGateway& store_;
  PeerCalls& peers_;
  const membership::View& view_;
  std::function<void()> on_change_;
  membership::SeatWitness witness_;
  std::map<std::uint32_t, membership::Seat> seats_;
  /// Time since which no live peer has held the seat, for seats other than the home seat.
  std::map<std::uint32_t, core::TimePoint> free_since_;
};

}  // namespace vanilladeck::daemon

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/membership/seat_record.h"
#include "vanilladeck/store/call.h"

namespace vanilladeck::membership {

struct SeatOptions {
  std::string failure_domain;
  std::uint32_t seat = 0;
  core::InstanceId self;
  bool home = false;  ///< This instance's settings name the seat.
  core::Duration hold_time = std::chrono::seconds(3);
  core::Duration renewal_interval = std::chrono::seconds(1);
  /// Ask a peer before the store; the store is then read every `store_interval`. For fleets whose
  /// renewals would exceed the store's reads.
  bool prefer_peers = false;
  core::Duration store_interval = std::chrono::seconds(10);
};

/// What membership knows about the seat's failure domain.
struct SeatView {
  /// Other instances of the domain whose heartbeats arrived within the hold time.
  std::vector<core::InstanceId> live_peers;
  std::vector<std::string> listed_addresses;  ///< Addresses that the platform lists for the domain.
};

/// Ask `peer` whether it knows no newer holder, see `SeatWitness`; `peer` may be this instance.
struct ConfirmationRequest {
  std::uint64_t request_id = 0;
  core::InstanceId peer;
  std::uint32_t seat = 0;
  core::InstanceId holder;
  std::uint64_t term = 0;
};
/// Tell `peer` about the claim; pass its acknowledgement to `OnClaimAcked`.
struct ClaimAnnouncement {
  core::InstanceId peer;
  std::uint32_t seat = 0;
  core::InstanceId holder;
  std::uint64_t term = 0;
};
/// `Usable` may have changed at once (gained, lost or released) rather than by lapse of time.
struct SeatChanged {};

using SeatOutput = std::variant<store::Call, ConfirmationRequest, ClaimAnnouncement, SeatChanged>;

enum class SeatState : std::uint8_t {
  kIdle,      ///< Somebody else holds the seat, or nothing has been read yet.
  kWaiting,   ///< The record names this instance; earlier holders may still use the seat.
  kHeld,      ///< This instance may use the seat until `usable_until`.
  kReleased,  ///< Given up for good.
};
inline constexpr std::array<std::string_view, 4> kSeatStateNames{"idle", "waiting", "held",
                                                                 "released"};

/// One instance's relation to one seat: a state machine without I/O.
///
/// The holder is whom the record in the store names. Being read there, or being confirmed by a peer
/// while the store is out of reach, allows use for a hold time from the moment the question was
/// sent. A claimant that replaces a holder which has not released the seat waits a hold time after
/// its claim is known to be in the store and to every domain peer it hears. All times are the
/// instance's own steady clock, so a pause makes the hold lapse.
class Seat {
 public:
  explicit Seat(SeatOptions options) : options_(std::move(options)) {}

  /// Whether to claim the seat when its holder allows it. Set for the home seat; for another seat
  /// set it on the one instance that would adopt it.
  void SetWanted(bool wanted) noexcept { wanted_ = wanted; }

  /// Call at `NextWake` and after each of the inputs below.
  void Tick(const SeatView& view, core::TimePoint now);
  void OnStoreResult(std::uint64_t call_id, const store::StoreResult& result, core::TimePoint now);
  void OnConfirmed(std::uint64_t request_id, bool confirmed, core::TimePoint now);
  void OnClaimAcked(const core::InstanceId& peer, std::uint64_t term, core::TimePoint now);

  /// A peer announced a claim: a newer holder ends this one's use. Acknowledge after this call.
  void OnClaimAnnounced(const core::InstanceId& holder, std::uint64_t term);

  /// Stops the use and tells the store, so that the next holder need not wait. Call when no request
  /// of this instance is in flight on the seat's share.
  void Release();

  /// Steady time until which the seat may be used; the epoch of the clock when not at all.
  [[nodiscard]] core::TimePoint usable_until() const noexcept {
    return state_ == SeatState::kHeld ? until_ : core::TimePoint{};
  }
  [[nodiscard]] bool Usable(core::TimePoint now) const noexcept { return now < usable_until(); }
  [[nodiscard]] SeatState state() const noexcept { return state_; }
  /// The record as last read. Note it in the `SeatWitness` after each input, so that this instance
  /// confirms nobody else for a seat that it holds itself.
  [[nodiscard]] const std::optional<SeatRecord>& record() const noexcept { return record_; }
  /// The release is in the store, or there was nothing to release.
  [[nodiscard]] bool release_done() const noexcept;
  [[nodiscard]] core::TimePoint NextWake() const noexcept;
  [[nodiscard]] std::vector<SeatOutput> TakeOutputs();

 private:
  void Read(core::TimePoint now);
  void Write(const SeatRecord& record, core::TimePoint now);
  void OnRead(const store::GetReply& reply, core::TimePoint now);
  void OnOwnRecord(core::TimePoint now);
  void Drop();
  void AskPeer(const SeatView& view, core::TimePoint now);
  void Announce(const SeatView& view, core::TimePoint now);
  void FinishWait(const SeatView& view, core::TimePoint now);
  [[nodiscard]] core::TimePoint PeersDueAt() const noexcept;
  [[nodiscard]] bool MayClaim(const SeatView& view) const;
  [[nodiscard]] bool NamesSelf() const {
    return record_ && !record_->released && record_->holder == options_.self;
  }

  SeatOptions options_;
  SeatState state_ = SeatState::kIdle;
  bool wanted_ = false;
  bool release_asked_ = false;
  std::optional<SeatRecord> record_;
  std::uint64_t record_index_ = 0;
  bool fresh_ = false;  ///< `record_index_` was read after the last write.
  core::TimePoint until_;

  bool skip_wait_ = false;  ///< The previous holder had released the seat when it was claimed.
  std::uint64_t skip_wait_term_ = 0;
  /// When the claim was known to the store and to every domain peer in sight.
  core::TimePoint known_at_;
  std::vector<core::InstanceId> acks_;
  core::TimePoint next_announce_;

  std::uint64_t next_call_ = 1;
  std::uint64_t call_ = 0;
  core::TimePoint call_sent_;
  bool call_writes_ = false;
  core::TimePoint next_store_;
  int failures_ = 0;
  std::uint64_t ask_ = 0;
  core::TimePoint ask_sent_;
  core::TimePoint next_ask_;
  std::size_t peer_turn_ = 0;
  std::vector<SeatOutput> outputs_;
};

}  // namespace vanilladeck::membership

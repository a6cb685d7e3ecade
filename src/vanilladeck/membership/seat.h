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
  bool home = false;  ///< The seat is assigned to this instance in its settings.
  core::Duration hold_time = std::chrono::seconds(3);
  core::Duration renew_interval = std::chrono::seconds(1);
  /// Renew through a peer's confirmation and read the store only every `store_interval`. For fleets
  /// whose renewals would exceed the store's read rate.
  bool prefer_peers = false;
  core::Duration store_interval = std::chrono::seconds(10);
};

/// Membership of the seat's failure domain.
struct SeatView {
  /// Other instances of the domain whose heartbeats arrived within the hold time.
  std::vector<core::InstanceId> live_peers;
  std::vector<std::string> listed_addresses;  ///< Addresses that the platform lists for the domain.
};

/// Request to `peer` to confirm that it knows no newer holder, see `SeatWitness`; `peer` may be
/// this instance.
struct ConfirmationRequest {
  std::uint64_t request_id = 0;
  core::InstanceId peer;
  std::uint32_t seat = 0;
  core::InstanceId holder;
  std::uint64_t term = 0;
};
/// Announcement of the claim to `peer`; pass its acknowledgement to `OnClaimAcked`.
struct ClaimAnnouncement {
  core::InstanceId peer;
  std::uint32_t seat = 0;
  core::InstanceId holder;
  std::uint64_t term = 0;
};
/// `Usable` may have changed other than by expiry: the seat was gained, lost or released.
struct SeatChanged {};

using SeatOutput = std::variant<store::Call, ConfirmationRequest, ClaimAnnouncement, SeatChanged>;

enum class SeatState : std::uint8_t {
  kIdle,      ///< Another instance holds the seat, or the record has not been read yet.
  kWaiting,   ///< The record names this instance; earlier holders may still use the seat.
  kHeld,      ///< This instance may use the seat until `usable_until`.
  kReleased,  ///< Released by this instance; final.
};
inline constexpr std::array<std::string_view, 4> kSeatStateNames{"idle", "waiting", "held",
                                                                 "released"};

/// Claims, renews and releases one seat for one instance: a state machine without I/O.
///
/// A seat is one of the numbered shares into which the server capacity of a failure domain is
/// divided. Its holder is the instance named in the store's record. A read of the record, or the
/// confirmation of a peer while the store is unreachable, extends the holder's use to one hold time
/// after the request was sent. A claimant that replaces a holder which has not released the seat
/// waits one hold time after the claim is in the store and acknowledged by every live peer of the
/// domain. All times are from the instance's own steady clock, so that the hold expires during a
/// process pause.
class Seat {
 public:
  explicit Seat(SeatOptions options) : options_(std::move(options)) {}

  /// Sets whether to claim the seat once that is permitted: always for the home seat, and for any
  /// other seat on the one instance that would adopt it.
  void SetWanted(bool wanted) noexcept { wanted_ = wanted; }

  /// Call at `NextWake` and after each of the inputs below.
  void Tick(const SeatView& view, core::TimePoint now);
  void OnStoreResult(std::uint64_t call_id, const store::StoreResult& result, core::TimePoint now);
  void OnConfirmed(std::uint64_t request_id, bool confirmed, core::TimePoint now);
  void OnClaimAcked(const core::InstanceId& peer, std::uint64_t term, core::TimePoint now);

  /// Handles a claim announced by a peer: a newer holder ends the use by this instance. Acknowledge
  /// the announcement only after this call.
  void OnClaimAnnounced(const core::InstanceId& holder, std::uint64_t term);

  /// Stops using the seat and marks it released in the store, so that the next holder need not
  /// wait. Call when no request of this instance is in flight on the seat's share.
  void Release();

  /// Steady-clock time until which the seat may be used; the clock's epoch if it may not.
  [[nodiscard]] core::TimePoint usable_until() const noexcept {
    return state_ == SeatState::kHeld ? usable_until_ : core::TimePoint{};
  }
  [[nodiscard]] bool Usable(core::TimePoint now) const noexcept { return now < usable_until(); }
  [[nodiscard]] SeatState state() const noexcept { return state_; }
  /// The record as last read. Pass it to `SeatWitness::Note` after each input, so that this
  /// instance does not confirm another holder for a seat that it holds itself.
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
  void Relinquish();
  void RequestConfirmation(const SeatView& view, core::TimePoint now);
  void Announce(const SeatView& view, core::TimePoint now);
  void TryEndWait(const SeatView& view, core::TimePoint now);
  [[nodiscard]] core::TimePoint ConfirmDueAt() const noexcept;
  [[nodiscard]] bool MayClaim(const SeatView& view) const;
  [[nodiscard]] bool RecordNamesSelf() const {
    return record_ && !record_->released && record_->holder == options_.self;
  }

  SeatOptions options_;
  SeatState state_ = SeatState::kIdle;
  bool wanted_ = false;
  bool release_requested_ = false;
  std::optional<SeatRecord> record_;
  std::uint64_t record_index_ = 0;
  bool record_current_ = false;  ///< `record_index_` was read after the last write.
  core::TimePoint usable_until_;

  /// The previous holder had released the seat when it was claimed.
  bool claimed_released_ = false;
  std::uint64_t claimed_term_ = 0;
  /// When the claim was in the store and acknowledged by every live peer of the domain.
  core::TimePoint claim_known_at_;
  std::vector<core::InstanceId> acked_peers_;
  core::TimePoint next_announce_;

  std::uint64_t next_call_id_ = 1;
  std::uint64_t pending_call_ = 0;
  core::TimePoint call_sent_;
  bool pending_call_writes_ = false;
  core::TimePoint next_store_call_;
  int failures_ = 0;
  std::uint64_t pending_confirm_ = 0;
  core::TimePoint confirm_sent_;
  core::TimePoint next_confirm_;
  std::size_t peer_cursor_ = 0;
  std::vector<SeatOutput> outputs_;
};

}  // namespace vanilladeck::membership

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::membership {

/// Record that an instance publishes for lookups and for dividing fleet-wide limits.
struct InstanceRecord {
  std::string name;
  std::string address;  ///< Clients connect here, "IP:port".
  std::string failure_domain;
  std::string region;
  bool ready = false;
  std::string
      peer_address;  ///< Listener for requests of other instances, "IP:port"; empty if disabled.
  double link_mbps = 0;  ///< Bandwidth of the instance's link in Mbit/s; 0 if unknown.
  double cpu_share = 0;  ///< Processors that the instance may use, such as 0.5; 0 if unknown.
  std::uint32_t memory_mb = 0;  ///< Memory that the instance may use in MiB; 0 if unknown.
  /// Limits in requests per second that backend servers stated to this instance, by id.
  std::map<std::string, double> server_limits = {};
  /// Share of its capacity that the instance uses, in steps (`LoadMeter`); none if not measured.
  std::optional<double> load = std::nullopt;
  /// Measured share of the stated processors that the instance gets; 1 unless it is slowed down.
  double speed = 1;

  [[nodiscard]] bool operator==(const InstanceRecord& other) const = default;
};

inline constexpr std::string_view kInstancePrefix = "vanilladeck/instances/";

[[nodiscard]] std::string EncodeInstance(const InstanceRecord& record);
/// Returns nullopt if `value` is malformed; `name` is taken from the key.
[[nodiscard]] std::optional<InstanceRecord> DecodeInstance(const std::string& key,
                                                           const std::string& value);

struct RegistrationSettings {
  /// Time for which a killed instance stays listed. Short, since renewals cost only cheap reads.
  std::chrono::milliseconds ttl{3000};
  core::Duration renew_interval = std::chrono::milliseconds(1000);
  core::Duration retry_pause = std::chrono::milliseconds(300);
  /// Shortest time between two changes of the stated limits of servers, since each costs a write.
  core::Duration limits_interval = std::chrono::milliseconds(1000);
  /// Shortest time between two changes of the stated load, which rises in several steps.
  core::Duration load_interval = std::chrono::milliseconds(2000);
};

/// Why the lease of an instance's record was given up.
enum class LeaseLoss : std::uint8_t {
  kEnded,          ///< The store no longer has it, although it has not returned from a copy.
  kStoreReturned,  ///< The store has returned from an older copy, with or without the lease.
  kOtherEra,       ///< A response was of another era than the known one.
  kRecordMissing,  ///< The store has the lease, but not the record.
};

inline constexpr std::array<std::string_view, 4> kLeaseLossNames{"ended", "store-returned",
                                                                 "other-era", "record-missing"};

/// Keeps this instance's record in the store under a lease. State machine without I/O.
class Registration {
 public:
  Registration(RegistrationSettings settings, InstanceRecord record);

  void SetReady(bool ready);
  void SetServerLimits(std::map<std::string, double> limits, core::TimePoint now);
  /// Sets the measured values of the record.
  void SetLoad(double load, double speed, core::TimePoint now);
  /// Starts the removal of the record; the next call deletes it.
  void Withdraw();
  /// Call when the store no longer has the record although the lease is still valid.
  void OnRecordMissing();
  /// The store has returned from an older copy: the lease may be gone, or be another instance's, as
  /// its number may have been given out again. The record is written again under a new lease, after
  /// a pause of up to `kReturnSpread`, and a withdrawal is made again. Answers to calls in flight
  /// do not count.
  void OnEra(store::Era era, core::TimePoint now);

  [[nodiscard]] std::optional<store::VersionedCall> Next(core::TimePoint now);
  void OnAnswer(const store::VersionedResult& result, core::TimePoint now);

  [[nodiscard]] const InstanceRecord& record() const noexcept { return record_; }
  /// Sending time of the last call that granted or renewed the lease; the clock's epoch before.
  [[nodiscard]] core::TimePoint renewed() const noexcept { return renewed_; }
  [[nodiscard]] bool withdrawn() const noexcept { return state_ == State::kWithdrawn; }
  [[nodiscard]] std::string Key() const;

  using LeaseLossCounts = std::array<std::uint64_t, kLeaseLossNames.size()>;
  [[nodiscard]] const LeaseLossCounts& lease_losses() const noexcept { return lease_losses_; }

  /// All instances learn of the store's return within a second and write twice each. Of 295, this
  /// leaves about 1,200 writes a second; the store refuses more than 3,200. Records are to be back
  /// within 2 s of the return.
  static constexpr core::Duration kReturnSpread = std::chrono::milliseconds(500);

 private:
  enum class State : std::uint8_t { kNoLease, kLeased, kRegistered, kWithdrawing, kWithdrawn };

  /// Gives up the lease, if there is one.
  void LoseLease(LeaseLoss loss) noexcept;

  RegistrationSettings settings_;
  InstanceRecord record_;
  State state_ = State::kNoLease;
  bool in_flight_ = false;
  bool deleting_ = false;       ///< The call in flight deletes the record.
  bool call_outdated_ = false;  ///< The call in flight was sent before the store's return.
  bool record_changed_ = false;
  std::int64_t lease_ = 0;
  core::TimePoint due_;
  core::TimePoint renewal_sent_;  ///< Last call that granted or renewed the lease.
  core::TimePoint renewed_;       ///< Sending time of the last one that succeeded.
  core::TimePoint limits_due_;
  core::TimePoint load_due_;
  LeaseLossCounts lease_losses_{};
};

}  // namespace vanilladeck::membership

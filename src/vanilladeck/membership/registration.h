#pragma once

#include <optional>
#include <string>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::membership {

/// What an instance publishes of itself for lookups and for shares of fleet-wide limits.
struct InstanceRecord {
  std::string name;
  std::string address;  ///< Clients connect here, "IP:port".
  std::string failure_domain;
  std::string region;
  bool ready = false;
  std::string peer_address;  ///< Other instances ask here, "IP:port"; empty: nobody may.

  [[nodiscard]] bool operator==(const InstanceRecord& other) const = default;
};

inline constexpr std::string_view kInstancePrefix = "vanilladeck/instances/";

[[nodiscard]] std::string EncodeInstance(const InstanceRecord& record);
/// None when `value` is not such a record; `name` comes from the key.
[[nodiscard]] std::optional<InstanceRecord> DecodeInstance(const std::string& key,
                                                           const std::string& value);

struct RegistrationSettings {
  /// A killed instance stays listed this long; renewals are cheap reads.
  std::chrono::milliseconds ttl{3000};
  core::Duration renew_interval = std::chrono::milliseconds(1000);
  core::Duration retry_pause = std::chrono::milliseconds(300);
};

/// Keeps the own record in the store under a lease. Pure state machine like `StoreFollower`.
class Registration {
 public:
  Registration(RegistrationSettings settings, InstanceRecord record);

  void SetReady(bool ready);
  /// The record is to vanish; the next call deletes it.
  void Withdraw();
  /// The feed shows that the store lost the record although the lease holds.
  void OnRecordMissing();

  [[nodiscard]] std::optional<store::VersionedCall> Next(core::TimePoint now);
  void OnAnswer(const store::VersionedResult& result, core::TimePoint now);

  [[nodiscard]] const InstanceRecord& record() const noexcept { return record_; }
  [[nodiscard]] bool withdrawn() const noexcept { return state_ == State::kWithdrawn; }
  [[nodiscard]] std::string Key() const;

 private:
  enum class State : std::uint8_t { kNoLease, kLeased, kRegistered, kWithdrawing, kWithdrawn };

  RegistrationSettings settings_;
  InstanceRecord record_;
  State state_ = State::kNoLease;
  bool in_flight_ = false;
  bool deleting_ = false;  ///< The call in flight is the withdrawal's.
  bool record_changed_ = false;
  std::int64_t lease_ = 0;
  core::TimePoint due_;
  core::TimePoint renewed_;
};

}  // namespace vanilladeck::membership

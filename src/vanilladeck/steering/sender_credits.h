#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/peer/credit.h"

namespace vanilladeck::steering {

enum class SenderCreditsErrorCode : std::uint8_t {
  kNoCredit,  ///< None in hand; the request must not be sent.
  kExpired    ///< The grant took longer to arrive than it lives.
};

inline constexpr std::array<std::string_view, 2> kSenderCreditsErrorNames{"no-credit", "expired"};

struct SenderCreditsError {
  SenderCreditsErrorCode code = SenderCreditsErrorCode::kNoCredit;
};

/// Permission to send one request now, to this incarnation of the receiver only.
struct CreditUse {
  core::InstanceId receiver;
  /// Life left; the request reaches the receiver within it or is refused there as not run.
  core::Duration remaining{0};
};

/// Sender's side of forwarded traffic: the credits in hand, per receiver and service.
class SenderCredits {
 public:
  /// Adds granted credits. Their life counts from `asked_at`, when the request left: that is
  /// before the receiver's clock for them started, so they end here first.
  [[nodiscard]] core::Result<void, SenderCreditsError> Add(const peer::CreditGrant& grant,
                                                           const std::string& service,
                                                           core::TimePoint asked_at,
                                                           core::TimePoint now);

  /// Takes one credit; call immediately before the request is sent, after any wait or pause.
  [[nodiscard]] core::Result<CreditUse, SenderCreditsError> Take(const core::InstanceId& receiver,
                                                                 const std::string& service,
                                                                 core::TimePoint now);

  /// Drops the credits of a receiver that refused one or that is gone.
  void Drop(const core::InstanceId& receiver);

  [[nodiscard]] std::uint32_t Available(const core::InstanceId& receiver,
                                        const std::string& service, core::TimePoint now) const;

 private:
  struct Credits {
    std::uint32_t count = 0;
    core::TimePoint expiry;
  };
  using Key = std::pair<core::InstanceId, std::string>;

  std::map<Key, std::vector<Credits>> credits_;
};

}  // namespace vanilladeck::steering

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
  kNoCredit,  ///< No unexpired credit; the request must not be sent.
  kExpired    ///< The grant arrived after its lifetime.
};

inline constexpr std::array<std::string_view, 2> kSenderCreditsErrorNames{"no-credit", "expired"};

struct SenderCreditsError {
  SenderCreditsErrorCode code = SenderCreditsErrorCode::kNoCredit;
};

/// Permission to send one request to this incarnation of the receiver.
struct CreditUse {
  core::InstanceId receiver;
  /// Remaining lifetime; a request that arrives later is refused by the receiver as not run.
  core::Duration remaining{0};
};

/// Sender side of credit-based flow control: unexpired credits per receiver and service.
class SenderCredits {
 public:
  /// Adds granted credits. Their lifetime starts at `asked_at`, when the credit request was sent:
  /// that is before the receiver granted them, so they expire here first.
  [[nodiscard]] core::Result<void, SenderCreditsError> Add(const peer::CreditGrant& grant,
                                                           const std::string& service,
                                                           core::TimePoint asked_at,
                                                           core::TimePoint now);

  /// Takes one credit; call immediately before sending the request, after any wait.
  [[nodiscard]] core::Result<CreditUse, SenderCreditsError> Take(const core::InstanceId& receiver,
                                                                 const std::string& service,
                                                                 core::TimePoint now);

  /// Discards the credits of a receiver that refused one or has stopped.
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

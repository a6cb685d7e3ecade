#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/membership/member.h"
#include "vanilladeck/operations/claim.h"
#include "vanilladeck/peer/credit.h"
#include "vanilladeck/peer/forward.h"
#include "vanilladeck/store/request.h"

/// Remote procedure calls between daemons, independent of their encoding.
namespace vanilladeck::peer {

/// Requests the configuration records that follow version `after`.
struct FetchVersions {
  std::string deployment;
  std::uint64_t after = 0;
};

/// Requests the peer's last known list of backend servers, for a start while the platform is
/// unavailable.
struct FetchServers {};

/// An instance's claim to a seat of a failure domain; the claim with the highest term is the
/// newest.
struct SeatClaim {
  std::string failure_domain;
  std::uint32_t seat = 0;
  core::InstanceId holder;
  std::uint64_t term = 0;
};

/// Asks the peer to confirm that it knows of no newer claim to the seat.
struct ConfirmSeat {
  SeatClaim claim;
};

/// Informs the peer of a claim; answered by `SeatAcknowledged`.
struct AnnounceSeat {
  SeatClaim claim;
};

using Call = std::variant<membership::Heartbeat, ForwardRequest, operations::ClaimRequest,
                          operations::CompleteRequest, CreditRequest, FetchVersions, FetchServers,
                          ConfirmSeat, AnnounceSeat>;

struct Versions {
  std::vector<std::string> records;
};

struct Servers {
  std::vector<store::ListedInstance> servers;
};

struct SeatConfirmed {
  bool confirmed = false;
};

struct SeatAcknowledged {};

/// The answer types, in the order of the alternatives of `Call`.
using Answer = std::variant<membership::Heartbeat, ForwardReply, operations::ClaimReply,
                            operations::CompleteReply, CreditGrant, Versions, Servers,
                            SeatConfirmed, SeatAcknowledged>;

enum class CallErrorCode : std::uint8_t {
  kUnreachable,     ///< The connection could not be opened; the call was not sent.
  kRejected,        ///< The peer was overloaded and did not process the call.
  kOutcomeUnknown,  ///< The call was sent, but no answer was received in time.
};

inline constexpr std::array<std::string_view, 3> kCallErrorNames{"unreachable", "rejected",
                                                                 "outcome-unknown"};

struct CallError {
  CallErrorCode code = CallErrorCode::kUnreachable;
  std::string address;
};

using CallResult = core::Result<Answer, CallError>;

}  // namespace vanilladeck::peer

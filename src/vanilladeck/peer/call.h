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

/// Calls between daemons, independent of their encoding.
namespace vanilladeck::peer {

/// Asks for the configuration records after a version.
struct FetchVersions {
  std::string deployment;
  std::uint64_t after = 0;
};

/// Asks for the list of backend servers as the peer read it last, for a start without the platform.
struct FetchServers {};

/// A claim to a seat of a failure domain; a higher term is a newer claim.
struct SeatClaim {
  std::string failure_domain;
  std::uint32_t seat = 0;
  core::InstanceId holder;
  std::uint64_t term = 0;
};

/// Asks whether the peer knows no newer holder of the seat.
struct ConfirmSeat {
  SeatClaim claim;
};

/// Tells the peer of a claim; the answer is its acknowledgement.
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

/// Answers, in the order of the alternatives of `Call`.
using Answer = std::variant<membership::Heartbeat, ForwardReply, operations::ClaimReply,
                            operations::CompleteReply, CreditGrant, Versions, Servers,
                            SeatConfirmed, SeatAcknowledged>;

enum class CallErrorCode : std::uint8_t {
  kUnreachable,     ///< No connection; the call was not sent.
  kRejected,        ///< The peer was overloaded and did nothing.
  kOutcomeUnknown,  ///< The call was sent, no answer came in time.
};

inline constexpr std::array<std::string_view, 3> kCallErrorNames{"unreachable", "rejected",
                                                                 "outcome-unknown"};

struct CallError {
  CallErrorCode code = CallErrorCode::kUnreachable;
  std::string address;
};

using CallResult = core::Result<Answer, CallError>;

}  // namespace vanilladeck::peer

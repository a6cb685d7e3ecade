#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/operations/claim.h"
#include "vanilladeck/peer/credit.h"
#include "vanilladeck/peer/forward.h"
#include "vanilladeck/store/request.h"

/// Messages between the control thread and the serving thread; each is passed through a
/// `core::Mailbox`.
namespace vanilladeck::daemon {

/// An entry instance that callers or other instances can use.
struct EntryInstance {
  core::InstanceId id;         ///< Address of the peers' listener and incarnation.
  std::string caller_address;  ///< "IP:port" of the callers' listener.
  std::string failure_domain;
  std::string region;
  bool leaving = false;
};

/// Latency from this instance to a region, measured by the round trips of heartbeats.
struct RegionLatency {
  std::string region;
  core::Duration one_way{0};
};

/// Configuration and membership as the serving thread uses them to route requests; immutable,
/// replaced as a whole.
struct Snapshot {
  std::uint64_t config_version = 0;  ///< 0: no configuration in force, requests are refused.
  std::shared_ptr<const config::Deployment> deployment;
  std::vector<store::ListedInstance> backend_servers;
  std::vector<EntryInstance> entry_instances;  ///< Includes this instance.
  std::vector<RegionLatency> latencies;        ///< Measured regions, this instance's own included.
  /// Seats of this instance's failure domain whose share of the slots this instance may use.
  std::vector<std::uint32_t> seats;
  /// Steady-clock time in nanoseconds until which `seats` is valid; checked before each dispatch.
  std::int64_t seats_valid_until_ns = 0;
  /// Shard of operation records named in the keys that lookup responses hand out, and the salt of
  /// their client digests; see `operations::OperationKey::Issue`.
  std::string operations_shard;
  std::string operations_salt;
};

// Serving thread to control thread. `id` correlates a reply with its request.
struct ClaimAsked {
  std::uint64_t id = 0;
  operations::ClaimRequest request;
};
struct CompleteAsked {
  std::uint64_t id = 0;
  operations::CompleteRequest request;
};
struct ForwardAsked {
  std::uint64_t id = 0;
  core::InstanceId target;
  peer::ForwardRequest request;
};
/// Reply to `ForwardArrived`.
struct ForwardServed {
  std::uint64_t id = 0;
  peer::ForwardReply reply;
};
/// Requests credits for forwarding from `target`.
struct CreditsAsked {
  std::uint64_t id = 0;
  core::InstanceId target;
  peer::CreditRequest request;
};
/// Reply to `CreditsArrived`.
struct CreditsServed {
  std::uint64_t id = 0;
  peer::CreditGrant grant;
};
/// The serving thread has finished its last request during a graceful shutdown.
struct Drained {};
using ToControl = std::variant<ClaimAsked, CompleteAsked, ForwardAsked, ForwardServed, CreditsAsked,
                               CreditsServed, Drained>;

// Control thread to serving thread.
struct SnapshotChanged {
  std::shared_ptr<const Snapshot> snapshot;
};
struct ClaimAnswered {
  std::uint64_t id = 0;
  operations::ClaimReply reply;
};
struct CompleteAnswered {
  std::uint64_t id = 0;
  operations::CompleteReply reply;
};
struct ForwardAnswered {
  std::uint64_t id = 0;
  peer::ForwardReply reply;
};
/// A peer forwarded a request to this instance.
struct ForwardArrived {
  std::uint64_t id = 0;
  peer::ForwardRequest request;
};
/// The peer cancelled a forwarded request.
struct ForwardCancelled {
  std::uint64_t id = 0;
};
/// Reply to `CreditsAsked`; the count is zero when the peer refused or could not be reached.
struct CreditsAnswered {
  std::uint64_t id = 0;
  peer::CreditGrant grant;
};
/// A peer requests credits from this instance.
struct CreditsArrived {
  std::uint64_t id = 0;
  peer::CreditRequest request;
};
/// Starts the graceful shutdown of the serving thread.
struct DrainRequested {};
using ToServing =
    std::variant<SnapshotChanged, ClaimAnswered, CompleteAnswered, ForwardAnswered, ForwardArrived,
                 ForwardCancelled, CreditsAnswered, CreditsArrived, DrainRequested>;

}  // namespace vanilladeck::daemon

#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/outcome.h"
#include "vanilladeck/core/rank.h"

/// Messages between an entry instance and the owner of a shard of operation records.
namespace vanilladeck::operations {

/// Requests permission to run a non-idempotent operation once.
struct ClaimRequest {
  std::string key;  ///< The client's `Idempotency-Key`.
  std::string client;
  std::string service;
  std::string fingerprint;  ///< SHA-256 of method, path and body.
  core::Rank rank = core::Rank::kNormal;
  core::InstanceId holder;  ///< Entry instance that would run the operation.
  /// Non-zero and unique within the holder's incarnation. A claim that is sent again with the same
  /// `claim_id` gets the same attempt; the holder runs it on the first `Granted` only.
  std::uint64_t claim_id = 0;
};

/// The complete response of a backend server, replayed to later requests with the same key.
struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Only the holder may run the operation, once, under this attempt number.
struct Granted {
  std::uint64_t attempt = 0;
};
struct InProgress {};
struct OutcomeUnknown {};
/// The key belongs to another client, service or request body, or is malformed.
struct Mismatch {};
/// The issue time of the key is outside the retention period; the operation was not run.
struct Expired {};
/// The claim could not be recorded; this request did not run the operation. Retry later.
struct Unavailable {
  std::uint32_t retry_after_ms = 1000;
};

using ClaimReply = std::variant<Granted, RecordedAnswer, InProgress, OutcomeUnknown, Mismatch,
                                Expired, Unavailable>;

/// Reports the outcome of a granted attempt, or releases a claim.
///
/// A requester that stops waiting for the reply to a claim sends `attempt` 0 with its `claim_id`
/// and the outcome kNotRun. The claim is then released even if it has been granted.
struct CompleteRequest {
  std::string key;
  std::uint64_t attempt = 0;
  std::uint64_t claim_id = 0;
  core::InstanceId holder;
  core::Outcome outcome = core::Outcome::kUnknown;  ///< kNotRun releases the claim.
  RecordedAnswer answer;                            ///< Set when outcome is kRan.
};

struct CompleteReply {
  bool recorded = false;  ///< The outcome is durable in the store.
};

}  // namespace vanilladeck::operations

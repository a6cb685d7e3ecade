#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/outcome.h"
#include "vanilladeck/core/rank.h"

/// Messages between an entry instance and the owner of a shard of operation records.
namespace vanilladeck::operations {

/// Asks for the right to run a non-idempotent operation once.
struct ClaimRequest {
  std::string key;          ///< The client's `Idempotency-Key`.
  std::string client;       ///< Identity of the client.
  std::string service;      ///< Name of the service.
  std::string fingerprint;  ///< SHA-256 of method, path and body.
  core::Rank rank = core::Rank::kNormal;
  core::InstanceId holder;  ///< Entry instance that would run the operation.
  /// Non-zero number of this claim, unique within the holder's incarnation. A repeat of the claim
  /// with the same number gets the same attempt; the holder runs it on the first `Granted` only.
  std::uint64_t claim_id = 0;
};

/// The complete answer of a backend server, recorded for repeats of the key.
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
/// The key is older than the retention of records allows; the operation was not run.
struct Expired {};
/// No claim could be recorded now; the operation was not run by this request.
struct Unavailable {
  std::uint32_t retry_after_ms = 1000;
};

using ClaimReply = std::variant<Granted, RecordedAnswer, InProgress, OutcomeUnknown, Mismatch,
                                Expired, Unavailable>;

/// Reports the end of a granted attempt, or gives up a claim.
///
/// A requester that stops waiting for the reply to a claim sends `attempt` 0 with its `claim_id`
/// and the outcome kNotRun: the claim is released whether or not it was granted meanwhile.
struct CompleteRequest {
  std::string key;
  std::uint64_t attempt = 0;
  std::uint64_t claim_id = 0;
  core::InstanceId holder;
  core::Outcome outcome = core::Outcome::kUnknown;  ///< kNotRun releases the claim.
  RecordedAnswer answer;                            ///< Set when outcome is kRan.
};

/// True once the outcome is durable in the store.
struct CompleteReply {
  bool recorded = false;
};

}  // namespace vanilladeck::operations

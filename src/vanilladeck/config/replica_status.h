#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace vanilladeck::config {

/// Interval in which a version was in force at an instance; `to_ms` is 0 while it still is.
struct InForceInterval {
  std::uint64_t version = 0;
  std::string hash;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// Configuration version that a peer reported in its heartbeat.
struct PeerVersion {
  std::string peer;
  std::uint64_t version = 0;
  std::string hash;
  std::int64_t heard_ms = 0;
};

/// Configuration state of one instance, for operators.
struct ReplicaStatus {
  std::uint64_t version = 0;  ///< Version in force; 0: nothing is served.
  std::string hash;
  std::int64_t in_force_since_ms = 0;
  std::int64_t confirmed_ms = 0;  ///< Last time the store or a peer confirmed the newest version.
  std::int64_t age_ms = 0;        ///< Time since `confirmed_ms`.
  bool reader = false;            ///< Holds the blocking read for its failure domain.
  std::string reason;             ///< Why nothing is served; empty otherwise.
  std::string problem;            ///< Last rejected chain, text or store state; empty if none.
  std::vector<PeerVersion> lagging;  ///< Peers on a lower version.
};

}  // namespace vanilladeck::config

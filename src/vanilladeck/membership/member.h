#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "vanilladeck/core/instance_id.h"

namespace vanilladeck::membership {

/// State that an entry instance publishes about itself in its heartbeats.
struct Member {
  core::InstanceId id;
  std::int64_t started_ms = 0;  ///< Wall-clock start time; orders incarnations of one address.
  std::string failure_domain;
  std::string caller_address;  ///< "IP:port" of the callers' listener.
  std::uint64_t sequence = 0;  ///< Incremented with each heartbeat of the incarnation.
  bool leaving = false;
  std::uint64_t config_version = 0;
  std::string config_hash;
  bool gone = false;  ///< Relayed only: its failure domain declared it dead at `sequence`.
  std::vector<std::uint32_t> seats;  ///< Seats of its failure domain that it holds.
  std::vector<std::string> shards;   ///< Shards of operation records that it owns.
};

/// The sender's own state and a subset of the members it knows.
struct Heartbeat {
  std::string deployment;
  Member self;
  std::vector<Member> relayed;
};

}  // namespace vanilladeck::membership

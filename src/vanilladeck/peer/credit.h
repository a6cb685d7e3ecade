#pragma once

#include <cstdint>
#include <string>

#include "vanilladeck/core/instance_id.h"

namespace vanilladeck::peer {

/// Asks an instance of another failure domain for credits: permission to forward requests to it.
struct CreditRequest {
  core::InstanceId sender;
  std::string from_region;
  std::string service;
  std::uint32_t wanted = 0;
};

/// Permission to forward `count` requests within `ttl_ms` after the `CreditRequest` was sent.
struct CreditGrant {
  std::uint32_t count = 0;
  std::uint32_t ttl_ms = 0;
  core::InstanceId granter;
};

}  // namespace vanilladeck::peer

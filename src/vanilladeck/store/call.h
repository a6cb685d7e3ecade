#pragma once

#include <cstdint>

#include "vanilladeck/core/rank.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::store {

/// A store request emitted by a state machine; its result is passed back with the same `id`.
struct Call {
  std::uint64_t id = 0;
  Request request;
  core::Rank rank = core::Rank::kUrgent;  ///< Selects the share of the call budget to charge.
};

}  // namespace vanilladeck::store

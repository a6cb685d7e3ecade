#pragma once

#include <cstdint>

#include "vanilladeck/core/rank.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::store {

/// A request of a state machine; the result is fed back under the same `id`.
struct Call {
  std::uint64_t id = 0;
  Request request;
  core::Rank rank = core::Rank::kUrgent;  ///< Share of the call budget to charge.
};

}  // namespace vanilladeck::store

#pragma once

#include "vanilladeck/store/position.h"

namespace vanilladeck::store::testing {

/// A position in an era; by default of a store that states none.
constexpr Position Rev(std::int64_t revision, Era era = 0) { return {era, revision}; }

}  // namespace vanilladeck::store::testing

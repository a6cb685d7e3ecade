#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "vanilladeck/membership/change_log.h"

namespace vanilladeck::gateway {

/// The HTTP request text that asks a peer for its changes.
[[nodiscard]] std::string EncodePeerRequest(const membership::PeerPosition& known);

/// None when `target` is another resource.
[[nodiscard]] std::optional<membership::PeerPosition> DecodePeerRequest(std::string_view target);

}  // namespace vanilladeck::gateway

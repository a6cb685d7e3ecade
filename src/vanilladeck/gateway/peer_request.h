#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "vanilladeck/membership/change_log.h"

namespace vanilladeck::gateway {

/// Builds the HTTP request for the changes of a peer since `known`.
[[nodiscard]] std::string EncodePeerRequest(const membership::PeerPosition& known);

/// Returns none if `target` is another resource or malformed.
[[nodiscard]] std::optional<membership::PeerPosition> DecodePeerRequest(std::string_view target);

}  // namespace vanilladeck::gateway

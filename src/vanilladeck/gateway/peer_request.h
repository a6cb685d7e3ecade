#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vanilladeck::gateway {

/// Where an instance stands in another one's change log.
struct PeerPosition {
  std::string epoch;  ///< Empty: nothing read yet.
  std::uint64_t position = 0;
};

/// The HTTP request text that asks a peer for its changes.
[[nodiscard]] std::string EncodePeerRequest(const std::string& epoch, std::uint64_t position);

/// None when `target` is another resource.
[[nodiscard]] std::optional<PeerPosition> DecodePeerRequest(std::string_view target);

}  // namespace vanilladeck::gateway

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace vanilladeck::core {

/// Identifies one run of a process: its listening address and a random incarnation number.
///
/// Leases, credits and heartbeats are tied to the pair, so that a restarted process does not
/// inherit them.
struct InstanceId {
  std::string address;  ///< "IP:port" of the listener for peers.
  std::uint64_t incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
  [[nodiscard]] auto operator<=>(const InstanceId&) const = default;
};

/// Returns a random non-zero incarnation number.
[[nodiscard]] std::uint64_t NewIncarnation();

}  // namespace vanilladeck::core

template <>
struct std::hash<vanilladeck::core::InstanceId> {
  [[nodiscard]] std::size_t operator()(const vanilladeck::core::InstanceId& id) const noexcept {
    return std::hash<std::string>{}(id.address) ^ static_cast<std::size_t>(id.incarnation);
  }
};

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace vanilladeck::core {

/// Identity of one run of a process: the address it listens on and a random incarnation.
///
/// Holds, credits and heartbeats belong to the pair, never to the address alone.
struct InstanceId {
  std::string address;  ///< "IP:port" of the peers' listener.
  std::uint64_t incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons.
  [[nodiscard]] auto operator<=>(const InstanceId&) const = default;
};

/// Returns a random non-zero incarnation.
[[nodiscard]] std::uint64_t NewIncarnation();

}  // namespace vanilladeck::core

template <>
struct std::hash<vanilladeck::core::InstanceId> {
  [[nodiscard]] std::size_t operator()(const vanilladeck::core::InstanceId& id) const noexcept {
    return std::hash<std::string>{}(id.address) ^ static_cast<std::size_t>(id.incarnation);
  }
};

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "vanilladeck/steering/departed_servers.h"

namespace vanilladeck::gateway {

/// Servers that an instance states in one message, at most.
inline constexpr std::size_t kMaxStatedDepartures = 256;

/// What an instance states about servers that have left or leave.
struct StatedDepartures {
  std::vector<steering::DepartedServers::Departure> departures;
  std::size_t malformed = 0;  ///< Entries that could not be read; 1 if none can.
};

/// Builds the body of a response, compressed; empty if there are none.
[[nodiscard]] std::string EncodeDepartures(
    const std::vector<steering::DepartedServers::Departure>& departures, core::TimePoint now);

/// An empty body, as instances of an earlier version send it, states none.
[[nodiscard]] StatedDepartures DecodeDepartures(std::string_view body, core::TimePoint now);

}  // namespace vanilladeck::gateway

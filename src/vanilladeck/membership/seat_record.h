#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "vanilladeck/core/instance_id.h"

namespace vanilladeck::membership {

/// Content of `seats/DOMAIN/K`.
struct SeatRecord {
  core::InstanceId holder;
  std::uint64_t term = 0;  ///< Incremented by each claim; orders the holders.
  bool home = false;       ///< Assigned to the holder in its settings; otherwise adopted.
  bool released = false;   ///< The holder has stopped using the seat.

  [[nodiscard]] bool operator==(const SeatRecord&) const = default;
};

[[nodiscard]] std::string Encode(const SeatRecord& record);
[[nodiscard]] std::optional<SeatRecord> DecodeSeatRecord(std::string_view value);
[[nodiscard]] std::string SeatKey(std::string_view domain, std::uint32_t seat);

}  // namespace vanilladeck::membership

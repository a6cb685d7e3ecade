#pragma once

#include <cstddef>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::gateway {

/// Remembers when the bytes that wait to be parsed arrived, so that the clock of a request that was
/// sent ahead runs from its arrival and not from its turn.
class ArrivalTimes {
 public:
  /// Bytes that arrive within this time of each other count as one arrival, which bounds the number
  /// of entries. Deadlines are stated in milliseconds and observed within tenths of a second.
  static constexpr core::Duration kResolution = std::chrono::milliseconds(10);

  void OnArrived(std::size_t bytes, core::TimePoint now);
  /// The first `bytes` bytes have been parsed.
  void OnTaken(std::size_t bytes);
  void Clear() { parts_.clear(); }

  /// When the first byte that has not been taken arrived; the clock's epoch if there is none.
  [[nodiscard]] core::TimePoint first() const {
    return parts_.empty() ? core::TimePoint{} : parts_.front().at;
  }

 private:
  struct Part {
    std::size_t bytes;
    core::TimePoint at;
  };
  std::vector<Part> parts_;
};

}  // namespace vanilladeck::gateway

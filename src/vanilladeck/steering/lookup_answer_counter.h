#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/steering/lookup_table.h"

namespace vanilladeck::steering {

/// Counts the answers handed out by this instance that callers may still hold, per entry instance
/// that they name.
///
/// Answers are counted in slices of an eighth of their lifetime, so that an answer is counted for
/// its whole lifetime and at most one slice longer.
class LookupAnswerCounter {
 public:
  explicit LookupAnswerCounter(std::chrono::seconds ttl);

  void Record(const LookupAnswer& answer, core::TimePoint now);

  /// Answers naming the instance that are not certainly expired.
  [[nodiscard]] std::uint64_t Outstanding(std::string_view caller_address,
                                          core::TimePoint now) const;

  /// Forgets instances that no caller can still hold.
  void Prune(core::TimePoint now);

 private:
  static constexpr std::size_t kSlices = 8;
  struct Counts {
    std::array<std::uint32_t, kSlices + 1> per_slice{};
    std::int64_t newest = 0;  ///< Number of the slice of the last record.
  };

  [[nodiscard]] std::int64_t SliceOf(core::TimePoint now) const noexcept;
  static std::uint64_t Sum(const Counts& counts, std::int64_t slice) noexcept;

  core::Duration slice_length_;
  std::unordered_map<std::uint64_t, Counts> counts_;  ///< By hash of the caller address.
};

}  // namespace vanilladeck::steering

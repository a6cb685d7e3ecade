#pragma once

#include <compare>
#include <cstdint>

#include "vanilladeck/store/era.h"

namespace vanilladeck::store {

/// Number of a change within an era, for calls, messages and log lines. It has no order: after the
/// store has returned from an older copy, numbers are given out again.
struct Revision {
  std::int64_t number = 0;
};

/// Point in the history of the store: all of an era comes after all of earlier ones.
class Position {
 public:
  /// Before every change.
  constexpr Position() noexcept = default;
  constexpr Position(Era era, std::int64_t revision) noexcept : era_(era), number_(revision) {}

  [[nodiscard]] constexpr Era era() const noexcept { return era_; }
  [[nodiscard]] constexpr Revision revision() const noexcept { return {number_}; }
  /// The position before the change at this one.
  [[nodiscard]] constexpr Position Previous() const noexcept { return {era_, number_ - 1}; }

  // The linter takes the 0 to which the compiler compares the result for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  [[nodiscard]] friend constexpr auto operator<=>(const Position&,
                                                  const Position&) noexcept = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  Era era_ = 0;
  std::int64_t number_ = 0;
};

}  // namespace vanilladeck::store

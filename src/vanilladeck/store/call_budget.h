#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "vanilladeck/core/rank.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::store {

enum class CallKind : std::uint8_t { kRead, kWrite };
inline constexpr std::size_t kCallKinds = 2;

/// Purpose of a call. Control calls (leases, seats, configuration) have a share of their own, so
/// that a flood of operations cannot make this instance lose its leases.
enum class CallClass : std::uint8_t { kControl, kUrgent, kNormal, kBulk };
inline constexpr std::size_t kCallClasses = 4;

[[nodiscard]] constexpr CallClass ClassOf(core::Rank rank) noexcept {
  return static_cast<CallClass>(core::Index(rank) + 1);
}

struct BudgetOptions {
  double reads_per_s = 2'000;  ///< Capacity of the store for the whole fleet.
  double writes_per_s = 300;
  std::uint32_t readers = 1;  ///< Instances that share the reads.
  /// Instances that share the writes. If only the owners of shards write in volume, this is the
  /// number of shards.
  std::uint32_t writers = 1;
  std::array<double, kCallClasses> shares{0.25, 0.35, 0.25, 0.15};  ///< By class, sum at most 1.
};

enum class BudgetErrorCode : std::uint8_t { kRate, kInstances, kShares };
inline constexpr std::array<std::string_view, 3> kBudgetErrorNames{
    "rate is not positive", "number of instances is zero", "shares are negative or exceed 1"};

struct BudgetError {
  BudgetErrorCode code = BudgetErrorCode::kRate;
};

/// Limits this instance to its part of the store's call rates; one token bucket per kind and class.
///
/// A class takes tokens from its own bucket first, then from a shared pool that receives only the
/// overflow of full buckets. Unused shares are therefore available to all classes, and no class can
/// use up the guaranteed share of another. Buckets start empty, so that a restarting fleet does not
/// begin with a burst.
class CallBudget {
 public:
  [[nodiscard]] static core::Result<CallBudget, BudgetError> Make(const BudgetOptions& options,
                                                                  core::TimePoint now);

  /// Takes a token for one call; returns false if none is available to the class.
  [[nodiscard]] bool TryTake(CallKind kind, CallClass call_class, core::TimePoint now);

  /// Returns the time at which a call refused at `now` can be retried.
  [[nodiscard]] core::TimePoint AvailableAt(CallKind kind, CallClass call_class,
                                            core::TimePoint now) const;

 private:
  struct Bucket {
    double rate = 0;  ///< Tokens per second.
    double capacity = 1;
    double tokens = 0;
  };
  struct Kind {
    std::array<Bucket, kCallClasses> classes;
    Bucket pool;
  };

  CallBudget() = default;
  void Refill(core::TimePoint now);

  std::array<Kind, kCallKinds> kinds_;
  core::TimePoint refilled_;
};

}  // namespace vanilladeck::store

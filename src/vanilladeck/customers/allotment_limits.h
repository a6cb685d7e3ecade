#pragma once

#include <algorithm>
#include <chrono>

#include "vanilladeck/config/customer.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::customers {

/// How far the requests of a customer may exceed its rate and burst, in any window.
struct AllotmentBounds {
  core::Duration window = std::chrono::seconds(5);
  double overage = 0;  ///< Fraction of rate x window + burst that is tolerated in addition.
  double slack = 0;    ///< Requests per window that are tolerated in addition.
};

// The rest of what is tolerated is left for requests that are sent to a second server.
inline constexpr double kOverageForTokens = 0.5;
inline constexpr double kSlackForTokens = 0.8;

/// Largest number of unused tokens of `customer` at all instances together. A window in which all
/// of them are used sees this many requests and those of the rate. A burst below one request counts
/// as one, since no request could be admitted otherwise.
[[nodiscard]] inline double TokenLimit(const config::Customer& customer,
                                       const AllotmentBounds& bounds) noexcept {
  const double window_s = std::chrono::duration<double>(bounds.window).count();
  const double tolerated =
      kOverageForTokens * bounds.overage * (customer.rate * window_s + customer.burst) +
      kSlackForTokens * bounds.slack;
  return std::max(customer.burst + tolerated, 1.0);
}

/// Time for which an instance lends its share to a granter, renewed with each exchange. An
/// exchange that times out and one more fit; a share lent to a granter that fails is lost for at
/// most this time.
inline constexpr core::Duration kLendTerm = std::chrono::milliseconds(800);

}  // namespace vanilladeck::customers

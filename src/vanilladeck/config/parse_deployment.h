#pragma once

#include <string_view>
#include <vector>

#include "vanilladeck/config/config_error.h"
#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/result.h"

namespace vanilladeck::config {

/// Bytes that a shifted request is assumed to transfer over a link in one direction, used to
/// compare `shift_cap_rps` with `capacity_mbps`. Not a measured value: the deployment text does not
/// state the size of responses.
inline constexpr double kAssumedBytesPerShiftedRequest = 65'536;

/// Link capacity in Mbit/s that `requests_per_second` shifted requests require.
[[nodiscard]] constexpr double MbpsForShift(double requests_per_second) noexcept {
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMegabit = 1e6;
  return requests_per_second * kAssumedBytesPerShiftedRequest * kBitsPerByte / kBitsPerMegabit;
}

/// Parses and validates a deployment text.
///
/// Fails with all violated rules, ordered by position; `file_name` is used in the errors only.
/// Malformed TOML gives a single error, because parsing stops there.
[[nodiscard]] core::Result<Deployment, std::vector<ConfigError>> ParseDeployment(
    std::string_view text, std::string_view file_name);

}  // namespace vanilladeck::config

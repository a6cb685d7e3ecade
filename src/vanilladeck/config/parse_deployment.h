#pragma once

#include <string_view>
#include <vector>

#include "vanilladeck/config/config_error.h"
#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/result.h"

namespace vanilladeck::config {

/// Bytes that a shifted request is assumed to move over a link in one direction, used to compare
/// `shift_cap_rps` with `capacity_mbps`. An assumption, not a measurement: the deployment text does
/// not state the size of answers.
inline constexpr double kAssumedBytesPerShiftedRequest = 65'536;

/// Link capacity in Mbit/s that `requests_per_second` shifted requests need.
[[nodiscard]] constexpr double MbpsForShift(double requests_per_second) noexcept {
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMegabit = 1e6;
  return requests_per_second * kAssumedBytesPerShiftedRequest * kBitsPerByte / kBitsPerMegabit;
}

/// Parses and checks a deployment text.
///
/// Fails with every broken rule, ordered by position; `file_name` appears in the errors only.
/// A text that is not TOML gives one error, because parsing stops there.
[[nodiscard]] core::Result<Deployment, std::vector<ConfigError>> ParseDeployment(
    std::string_view text, std::string_view file_name);

}  // namespace vanilladeck::config

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "vanilladeck/customers/allotment_messages.h"

namespace vanilladeck::gateway {

/// Path of the requests between instances about the allotments of customers.
inline constexpr std::string_view kAllotmentPath = "/peer/allotments";

/// Builds the HTTP request to a granter.
[[nodiscard]] std::string EncodeAllotmentRequest(const customers::AllotmentRequest& request);
/// Returns none if `body` is malformed.
[[nodiscard]] std::optional<customers::AllotmentRequest> DecodeAllotmentRequest(
    std::string_view body);

/// Builds the body of a granter's response.
[[nodiscard]] std::string EncodeAllotmentAnswer(const customers::AllotmentAnswer& answer);
/// Returns none if `body` is malformed.
[[nodiscard]] std::optional<customers::AllotmentAnswer> DecodeAllotmentAnswer(
    std::string_view body);

}  // namespace vanilladeck::gateway

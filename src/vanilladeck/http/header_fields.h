#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "vanilladeck/core/rank.h"
#include "vanilladeck/http/message.h"

namespace vanilladeck::http {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// End-to-end header fields of `fields`: without hop-by-hop fields (RFC 9110, section 7.6.1),
/// fields named in `Connection`, the message length and the fields named in `without`.
[[nodiscard]] HeaderList EndToEndFields(const Fields& fields,
                                        std::initializer_list<std::string_view> without = {});

/// Urgency of an RFC 9218 `Priority` value; none when it carries no valid `u` parameter.
[[nodiscard]] std::optional<int> ParseUrgency(std::string_view priority);

/// Whole number without sign or spaces; none for anything else.
[[nodiscard]] std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Value of `name` in a query string "a=1&b=2", percent-decoded; none when absent or malformed.
[[nodiscard]] std::optional<std::string> QueryValue(std::string_view query, std::string_view name);

}  // namespace vanilladeck::http

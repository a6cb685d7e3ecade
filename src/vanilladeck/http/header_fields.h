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

/// Returns the end-to-end fields of `fields`: without hop-by-hop fields (RFC 9110, section 7.6.1),
/// fields named in `Connection`, `Content-Length`, `Expect` and the fields named in `without`.
[[nodiscard]] HeaderList EndToEndFields(const Fields& fields,
                                        std::initializer_list<std::string_view> without = {});

/// True if a line after the first one begins with a blank, and so continues the field before it.
/// A proxy may reject such a response (RFC 9112, section 5.2); a parser joins the lines, which
/// hides the field that a server in trouble may have meant.
[[nodiscard]] bool HasFoldedLine(std::string_view header_lines);

/// True if a transfer coding other than `chunked` alone is stated. Such a body can't be decoded
/// here and must not be forwarded without the field that names its coding.
[[nodiscard]] bool HasUnsupportedTransferCoding(const Fields& fields);

/// Returns the urgency of an RFC 9218 `Priority` value; nullopt without a valid `u` parameter.
[[nodiscard]] std::optional<int> ParseUrgency(std::string_view priority);

/// Parses an unsigned decimal integer without sign or spaces; nullopt when malformed or out of
/// range.
[[nodiscard]] std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Returns the percent-decoded value of `name` in a query string such as "a=1&b=2"; nullopt when it
/// is absent or malformed.
[[nodiscard]] std::optional<std::string> QueryValue(std::string_view query, std::string_view name);

}  // namespace vanilladeck::http

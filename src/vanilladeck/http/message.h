#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace vanilladeck::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Fields = boost::beast::http::fields;

/// True for the values that a status code can have (RFC 9110, section 15). Parsers accept any three
/// digits.
[[nodiscard]] constexpr bool IsValidStatusCode(unsigned value) noexcept {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return value >= kFirst && value <= kLast;
}

/// Size of a read buffer beyond the header limit. The parser limits only header and body sizes;
/// chunk extensions and trailers accumulate in the read buffer and are bounded by its size.
inline constexpr std::size_t kMaxUnparsedBytes = 65536;

}  // namespace vanilladeck::http

#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace vanilladeck::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Fields = boost::beast::http::fields;

/// Bytes that a reader holds beyond a head's limit until they can be parsed. The parser bounds
/// heads and bodies only; chunk extensions and trailers wait in the reader's buffer.
inline constexpr std::size_t kMaxUnparsedBytes = 65536;

}  // namespace vanilladeck::http

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace vanilladeck::http {

/// Parses "IP:port" of the platform's list; none when malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

/// "IP:port", the inverse of `ParseEndpoint`.
[[nodiscard]] std::string EndpointText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace vanilladeck::http

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace vanilladeck::http {

/// Parses "IP:port" or "[IPv6]:port"; nullopt when malformed or when the port is 0.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

/// Formats an endpoint as "IP:port".
[[nodiscard]] std::string EndpointText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace vanilladeck::http

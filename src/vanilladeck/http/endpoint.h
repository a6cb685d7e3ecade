#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace vanilladeck::http {

/// Parses "IP:port" of the platform's list; none when malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

}  // namespace vanilladeck::http

#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace vanilladeck::gateway {

/// Options of every connection: no delay for small writes, and detection of silent peers by the
/// kernel (unacknowledged data and keep-alive probes).
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace vanilladeck::gateway

#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace vanilladeck::gateway {

/// Sets the options of every connection: no delay for small writes, and detection of unresponsive
/// peers by the kernel (TCP user timeout and keep-alive probes).
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace vanilladeck::gateway

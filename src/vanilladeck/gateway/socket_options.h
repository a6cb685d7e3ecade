#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::gateway {

/// Sets the options of every connection: no delay for small writes, and detection of unresponsive
/// peers by the kernel (TCP user timeout and keep-alive probes).
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

/// Sets the time after which the kernel ends the connection because sent bytes are not acknowledged
/// or the peer's receive buffer stays full; at least that of `SetConnectionOptions`.
void SetUserTimeout(boost::asio::ip::tcp::socket& socket, core::Duration timeout);

/// Bytes that were written to the socket and that the peer has not acknowledged; 0 if the system
/// does not tell.
[[nodiscard]] std::size_t UndeliveredBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace vanilladeck::gateway

#include "vanilladeck/gateway/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <climits>
#include <cstdint>

namespace vanilladeck::gateway {
namespace {

// Instances and servers in other regions respond within 0.2 s; 1.5 s without an acknowledgement is
// longer than the loss of one packet explains.
constexpr int kUserTimeoutMs = 1500;
constexpr int kKeepAliveIdleS = 2;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

void SetUserTimeout(boost::asio::ip::tcp::socket& socket, core::Duration timeout) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  const int value = static_cast<int>(std::clamp<std::int64_t>(ms, kUserTimeoutMs, INT_MAX));
  // Errors are ignored, as below.
  (void)setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  // Errors are ignored: the connection also works with the system's defaults.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int fd = socket.native_handle();
  (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof(kUserTimeoutMs));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS, sizeof(kKeepAliveIdleS));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalS,
                   sizeof(kKeepAliveIntervalS));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(kKeepAliveProbes));
}

std::size_t UndeliveredBytes(boost::asio::ip::tcp::socket& socket) {
  int n = 0;
  if (!socket.is_open() || ioctl(socket.native_handle(), SIOCOUTQ, &n) != 0) return 0;
  return static_cast<std::size_t>(std::max(0, n));
}

}  // namespace vanilladeck::gateway

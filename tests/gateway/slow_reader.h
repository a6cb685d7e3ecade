#pragma once

#include <sys/socket.h>

#include <array>
#include <string>

#include "gateway/proxy_fixture.h"

namespace vanilladeck::gateway::testing {

/// A client that reads only when the test does, with a receive buffer that holds a part of a
/// response.
class SlowReader {
 public:
  explicit SlowReader(ProxyFixture& fixture) : fixture_(fixture), socket_(fixture.io) {
    socket_.open(tcp::v4());
    const int size = 32768;
    (void)setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    socket_.connect(fixture.endpoint());
    socket_.non_blocking(true);
  }
  void Send(const std::string& text) {
    boost::system::error_code ec;
    (void)socket_.write_some(boost::asio::buffer(text), ec);
    CHECK_FALSE(ec);
  }
  /// Reads until `size` bytes have arrived or the connection ends.
  void ReadUntil(std::size_t size) {
    const auto end = core::RuntimeClock::now() + std::chrono::seconds(5);
    boost::system::error_code ec;
    while (input.size() < size && !closed && core::RuntimeClock::now() < end) {
      const std::size_t n = socket_.read_some(boost::asio::buffer(buf_), ec);
      input.append(buf_.data(), n);
      closed = ec && ec != boost::asio::error::would_block;
      fixture_.io.run_one_for(std::chrono::milliseconds(1));
    }
  }
  std::string input;
  bool closed = false;

 private:
  ProxyFixture& fixture_;
  tcp::socket socket_;
  std::array<char, 8192> buf_{};
};

inline constexpr std::size_t kLargeBody = 540'000;

/// An instance with a server that sends a large response to reads of "/read/large".
struct LargeResponseFixture : ProxyFixture {
  LargeResponseFixture() {
    (void)AddServer("i-1", [](const auto& connection, const std::string& request) {
      const bool large = request.rfind("GET /read/large", 0) == 0;
      connection->Write(FullResponse(request, large ? std::string(kLargeBody, 'a') : "small"));
    });
  }
  /// True once the system holds the rest of the response.
  bool RunUntilHandedOver() {
    return RunUntil([this] {
      return group().sessions.size() == 1 && !(*group().sessions.begin())->busy() &&
             context.metrics.server_latency.count == 1;
    });
  }
};

}  // namespace vanilladeck::gateway::testing

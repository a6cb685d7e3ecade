#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace vanilladeck::test {

/// How a connection ends.
enum class ConnectionEnd : std::uint8_t { kReset, kGraceful };

/// Accepts one connection and sends a response as soon as the header section of a request has
/// arrived, then ends the connection. The rest of the request is read only before a graceful close.
class EarlyServer {
 public:
  EarlyServer(boost::asio::io_context& io, std::string response, ConnectionEnd end,
              std::chrono::milliseconds delay = {})
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        timer_(io),
        socket_(io),
        response_(std::move(response)),
        end_(end),
        delay_(delay) {
    acceptor_.async_accept(socket_, [this](boost::system::error_code ec) {
      if (ec) return;
      boost::asio::async_read_until(socket_, boost::asio::dynamic_buffer(request_), "\r\n\r\n",
                                    [this](auto, std::size_t) { Respond(); });
    });
  }

  [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(endpoint().port());
  }

 private:
  void Respond() {
    boost::asio::write(socket_, boost::asio::buffer(response_));
    timer_.expires_after(delay_);
    timer_.async_wait([this](boost::system::error_code) {
      if (end_ == ConnectionEnd::kReset) {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
        return;
      }
      socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
      ReadRest();
    });
  }
  void ReadRest() {
    socket_.async_read_some(boost::asio::buffer(buf_),
                            [this](boost::system::error_code ec, std::size_t) {
                              if (!ec) ReadRest();
                            });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::tcp::socket socket_;
  std::string response_;
  ConnectionEnd end_;
  std::chrono::milliseconds delay_;
  std::string request_;
  std::array<char, 65536> buf_{};
};

}  // namespace vanilladeck::test

#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "vanilladeck/http/message.h"

namespace vanilladeck::test {

/// Response of the fake server to one request.
struct Reply {
  std::string bytes;  ///< Raw response; empty sends nothing.
  std::chrono::milliseconds delay{0};
  bool reset = false;  ///< Resets the connection after `bytes`.
  bool close = false;  ///< Closes the connection after `bytes`.
};

inline Reply Ok(const std::string& body, const std::string& fields = {}) {
  return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
          "\r\n" + body};
}

/// Scripted backend server on a loopback port, with default responses to /health and /load.
class FakeBackend {
 public:
  /// An empty reply without `reset` or `close` to /health or /load selects the default response.
  using Script = std::function<Reply(const http::Request&)>;

  explicit FakeBackend(Script script)
      : script_(std::move(script)), acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}) {
    address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    boost::asio::co_spawn(io_, Accept(), boost::asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;
  ~FakeBackend() {
    io_.stop();
    thread_.join();
  }

  [[nodiscard]] const std::string& address() const { return address_; }

  /// Requests other than /health and /load, in order of arrival.
  [[nodiscard]] std::vector<http::Request> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      Socket socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(io_, Session(std::move(socket)), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Session(Socket socket) {
    boost::beast::flat_buffer buffer;
    boost::asio::steady_timer timer(io_);
    for (;;) {
      http::Request request;
      auto [ec, n] = co_await boost::beast::http::async_read(
          socket, buffer, request, boost::asio::as_tuple(boost::asio::use_awaitable));
      if (ec) co_return;
      const Reply reply = Decide(request);
      if (reply.delay.count() > 0) {
        timer.expires_after(reply.delay);
        co_await timer.async_wait(boost::asio::use_awaitable);
      }
      const boost::asio::const_buffer bytes = boost::asio::buffer(reply.bytes);
      co_await boost::asio::async_write(socket, bytes,
                                        boost::asio::as_tuple(boost::asio::use_awaitable));
      if (reply.reset) socket.set_option(boost::asio::socket_base::linger(true, 0));
      if (reply.reset || reply.close) co_return;
    }
  }

  Reply Decide(const http::Request& request) {
    const bool probe = request.target() == "/health" || request.target() == "/load";
    if (!probe) {
      const std::lock_guard lock(mutex_);
      requests_.push_back(request);
    }
    Reply reply = script_(request);
    if (!probe || !reply.bytes.empty() || reply.reset || reply.close) return reply;
    return Ok(request.target() == "/load" ? R"({"slots":10,"busy":0})" : "ok");
  }

  Script script_;
  boost::asio::io_context io_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  mutable std::mutex mutex_;
  std::vector<http::Request> requests_;
  std::thread thread_;
};

}  // namespace vanilladeck::test

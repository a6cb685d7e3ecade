#pragma once

#include <array>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "standins/common/http_server.h"

namespace vanilladeck::standins {

// NOLINTNEXTLINE(bugprone-exception-escape): the move assignment of Beast's message may throw.
struct FetchResult {
  std::optional<HttpResponse> response;  ///< Empty unless the whole response arrived.
  bool sent = false;                     ///< At least one byte of the request was sent.

  [[nodiscard]] int status() const {
    return response ? static_cast<int>(response->result_int()) : 0;
  }
  [[nodiscard]] std::string body() const { return response ? response->body() : std::string(); }
};

[[nodiscard]] inline HttpRequest MakeRequest(http::verb verb, std::string_view target,
                                             std::string body = "") {
  HttpRequest request{verb, std::string(target), 11};
  request.body() = std::move(body);
  return request;
}

/// HTTP/1.1 client with keep-alive connections; only for the thread that runs the context.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& context) : context_(context) {}

  [[nodiscard]] std::uint64_t connections_opened() const { return connections_opened_; }

  asio::awaitable<FetchResult> Fetch(tcp::endpoint server, HttpRequest request,
                                     std::chrono::milliseconds timeout) {
    request.set(http::field::host, server.address().to_string());
    request.prepare_payload();
    auto socket = AcquireSocket(server);
    auto active = std::make_shared<SocketPtr>(socket);
    asio::steady_timer timer(context_, timeout);
    timer.async_wait([active = std::weak_ptr(active)](boost::system::error_code ec) {
      const auto active_socket = active.lock();
      if (!ec && active_socket) (*active_socket)->close(ec);
    });
    FetchResult result = co_await Exchange(server, socket, &request);
    active.reset();
    timer.cancel();
    if (result.response && result.response->keep_alive()) idle_[server].push_back(socket);
    co_return result;
  }

 private:
  using SocketPtr = std::shared_ptr<tcp::socket>;

  asio::awaitable<FetchResult> Exchange(tcp::endpoint server, SocketPtr socket,
                                        HttpRequest* request) {
    constexpr std::uint64_t kMaxBodyBytes = 64'000'000;
    FetchResult result;
    if (!socket->is_open()) {
      auto [ec] = co_await socket->async_connect(server, asio::as_tuple(asio::use_awaitable));
      if (ec) co_return result;
      ++connections_opened_;
      socket->set_option(tcp::no_delay(true), ec);
    }
    auto [write_error, bytes_written] =
        co_await http::async_write(*socket, *request, asio::as_tuple(asio::use_awaitable));
    result.sent = bytes_written > 0;
    if (write_error) co_return result;
    boost::beast::flat_buffer read_buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    auto [ec, bytes_read] = co_await http::async_read(*socket, read_buffer, parser,
                                                      asio::as_tuple(asio::use_awaitable));
    if (!ec) result.response = parser.release();
    co_return result;
  }

  /// Returns an idle connection that the server has not closed, or a new unconnected socket.
  SocketPtr AcquireSocket(const tcp::endpoint& server) {
    auto& sockets = idle_[server];
    while (!sockets.empty()) {
      SocketPtr idle_socket = std::move(sockets.back());
      sockets.pop_back();
      boost::system::error_code ec;
      std::array<char, 1> byte{};
      idle_socket->non_blocking(true, ec);
      idle_socket->receive(asio::buffer(byte), tcp::socket::message_peek, ec);
      if (ec == asio::error::would_block) return idle_socket;
    }
    return std::make_shared<tcp::socket>(context_);
  }

  asio::io_context& context_;
  std::map<tcp::endpoint, std::vector<SocketPtr>> idle_;
  std::uint64_t connections_opened_ = 0;
};

/// Sends one request on a new connection and blocks until the response or the timeout.
[[nodiscard]] inline FetchResult FetchBlocking(const tcp::endpoint& server, HttpRequest request,
                                               std::chrono::milliseconds timeout) {
  asio::io_context context;
  HttpClient client(context);
  FetchResult result;
  asio::co_spawn(context, client.Fetch(server, std::move(request), timeout),
                 [&result](const std::exception_ptr& error, FetchResult fetch_result) {
                   if (error) std::rethrow_exception(error);
                   result = std::move(fetch_result);
                 });
  context.run();
  return result;
}

}  // namespace vanilladeck::standins

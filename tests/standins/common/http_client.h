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
struct Fetched {
  std::optional<HttpResponse> response;  ///< The complete answer, or nothing.
  bool sent = false;                     ///< At least one byte left for the server.

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

/// HTTP/1.1 client with keep-alive connections; use it on the context's thread.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& context) : context_(context) {}

  [[nodiscard]] std::uint64_t opened() const { return opened_; }

  asio::awaitable<Fetched> Fetch(tcp::endpoint server, HttpRequest request,
                                 std::chrono::milliseconds timeout) {
    request.set(http::field::host, server.address().to_string());
    request.prepare_payload();
    auto socket = Take(server);
    auto lease = std::make_shared<SocketPtr>(socket);
    asio::steady_timer timer(context_, timeout);
    timer.async_wait([lease = std::weak_ptr(lease)](boost::system::error_code ec) {
      const auto held = lease.lock();
      if (!ec && held) (*held)->close(ec);
    });
    Fetched out = co_await Exchange(server, socket, &request);
    lease.reset();
    timer.cancel();
    if (out.response && out.response->keep_alive()) idle_[server].push_back(socket);
    co_return out;
  }

 private:
  using SocketPtr = std::shared_ptr<tcp::socket>;

  asio::awaitable<Fetched> Exchange(tcp::endpoint server, SocketPtr socket, HttpRequest* request) {
    constexpr std::uint64_t kMaxBodyBytes = 64'000'000;
    Fetched out;
    if (!socket->is_open()) {
      auto [ec] = co_await socket->async_connect(server, asio::as_tuple(asio::use_awaitable));
      if (ec) co_return out;
      ++opened_;
      socket->set_option(tcp::no_delay(true), ec);
    }
    auto [write_error, n] =
        co_await http::async_write(*socket, *request, asio::as_tuple(asio::use_awaitable));
    out.sent = n > 0;
    if (write_error) co_return out;
    boost::beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    auto [ec, m] =
        co_await http::async_read(*socket, buf, parser, asio::as_tuple(asio::use_awaitable));
    if (!ec) out.response = parser.release();
    co_return out;
  }

  /// An idle connection that the server has not closed, or a new one.
  SocketPtr Take(const tcp::endpoint& server) {
    auto& sockets = idle_[server];
    while (!sockets.empty()) {
      SocketPtr it = std::move(sockets.back());
      sockets.pop_back();
      boost::system::error_code ec;
      std::array<char, 1> byte{};
      it->non_blocking(true, ec);
      it->receive(asio::buffer(byte), tcp::socket::message_peek, ec);
      if (ec == asio::error::would_block) return it;
    }
    return std::make_shared<tcp::socket>(context_);
  }

  asio::io_context& context_;
  std::map<tcp::endpoint, std::vector<SocketPtr>> idle_;
  std::uint64_t opened_ = 0;
};

/// One blocking call on a connection of its own.
[[nodiscard]] inline Fetched FetchNow(const tcp::endpoint& server, HttpRequest request,
                                      std::chrono::milliseconds timeout) {
  asio::io_context context;
  HttpClient client(context);
  Fetched out;
  asio::co_spawn(context, client.Fetch(server, std::move(request), timeout),
                 [&out](const std::exception_ptr& error, Fetched fetched) {
                   if (error) std::rethrow_exception(error);
                   out = std::move(fetched);
                 });
  context.run();
  return out;
}

}  // namespace vanilladeck::standins

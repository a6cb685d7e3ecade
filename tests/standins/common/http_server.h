#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

/// Small HTTP/1.1 server shared by the stand-ins; runs on one thread.
namespace vanilladeck::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// How an answer reaches the client.
enum class Delivery : std::uint8_t {
  kWhole,
  kClose,     ///< Closes the connection without an answer.
  kSilent,    ///< Keeps the connection open and never answers on it again.
  kReset,     ///< Sends half of the answer, then a TCP reset.
  kTruncate,  ///< Sends half of the answer, then closes in order.
};

// NOLINTNEXTLINE(bugprone-exception-escape): the move assignment of Beast's message may throw.
struct Answer {
  HttpResponse response;
  Delivery delivery = Delivery::kWhole;
};

struct Connection {
  std::uint64_t id = 0;  ///< Grows with every accepted connection.
  std::string client_ip;
};

[[nodiscard]] inline Answer MakeAnswer(http::status status, std::string body,
                                       std::string_view type = "application/json") {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return {std::move(response), Delivery::kWhole};
}

[[nodiscard]] inline Answer Dropped(Delivery delivery) { return {HttpResponse{}, delivery}; }

/// Parses "IP:port"; throws on bad input, which ends the stand-in with a message.
[[nodiscard]] inline tcp::endpoint ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("address without port: " + text);
  const int port = std::stoi(text.substr(colon + 1));
  return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

/// Waits on the calling coroutine; returns early when `timer` is cancelled.
inline asio::awaitable<void> Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  using Handler = std::function<asio::awaitable<Answer>(HttpRequest, Connection)>;

  [[nodiscard]] static std::shared_ptr<HttpServer> Start(asio::io_context& context,
                                                         const tcp::endpoint& endpoint,
                                                         Handler handler) {
    auto server = std::make_shared<HttpServer>(context, std::move(handler));
    server->Listen(endpoint);
    return server;
  }

  HttpServer(asio::io_context& context, Handler handler)
      : context_(context), acceptor_(context), handler_(std::move(handler)) {}

  [[nodiscard]] const tcp::endpoint& endpoint() const { return endpoint_; }
  [[nodiscard]] asio::io_context::executor_type executor() const { return context_.get_executor(); }
  [[nodiscard]] std::size_t connections() const { return sockets_.size(); }
  [[nodiscard]] std::uint64_t last_connection_id() const { return next_id_; }
  void set_connection_limit(std::size_t limit) { connection_limit_ = limit; }

  /// While not listening, the kernel refuses new connections.
  void SetListening(bool on) {
    if (on == acceptor_.is_open()) return;
    if (on) {
      Listen(endpoint_);
    } else {
      acceptor_.close();
    }
  }

  void CloseConnections() {
    for (auto& [id, socket] : sockets_) {
      boost::system::error_code ec;
      socket->close(ec);
    }
  }

 private:
  void Listen(const tcp::endpoint& endpoint) {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    endpoint_ = acceptor_.local_endpoint();
    asio::co_spawn(acceptor_.get_executor(), Accept(shared_from_this()), asio::detached);
  }

  static asio::awaitable<void> Accept(std::shared_ptr<HttpServer> self) {
    while (self->acceptor_.is_open()) {
      auto [ec, socket] =
          co_await self->acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
      if (ec == asio::error::operation_aborted) break;
      if (ec || self->sockets_.size() >= self->connection_limit_) continue;
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      asio::co_spawn(shared->get_executor(), Serve(self, shared), asio::detached);
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<HttpServer> self,
                                     std::shared_ptr<tcp::socket> socket) {
    boost::system::error_code ec;
    const Connection connection{++self->next_id_,
                                socket->remote_endpoint(ec).address().to_string()};
    self->sockets_[connection.id] = socket;
    boost::beast::flat_buffer buf;
    while (!ec && co_await ServeOne(self, *socket, buf, connection)) {
    }
    self->sockets_.erase(connection.id);
  }

  static asio::awaitable<bool> ServeOne(std::shared_ptr<HttpServer> self, tcp::socket& socket,
                                        boost::beast::flat_buffer& buf,
                                        const Connection& connection) {
    constexpr std::uint64_t kMaxBodyBytes = 16'000'000;
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    auto [ec, n] =
        co_await http::async_read(socket, buf, parser, asio::as_tuple(asio::use_awaitable));
    if (ec) co_return false;
    const unsigned version = parser.get().version();
    const bool keep_alive = parser.get().keep_alive();
    Answer answer = co_await self->handler_(parser.release(), connection);
    answer.response.version(version);
    answer.response.keep_alive(keep_alive);
    answer.response.prepare_payload();
    co_return co_await Deliver(socket, answer);
  }

  static asio::awaitable<bool> Deliver(tcp::socket& socket, Answer& answer) {
    if (answer.delivery == Delivery::kWhole) {
      auto [ec, n] =
          co_await http::async_write(socket, answer.response, asio::as_tuple(asio::use_awaitable));
      co_return !ec && answer.response.keep_alive();
    }
    if (answer.delivery == Delivery::kSilent) {
      std::array<char, 4096> discarded{};
      boost::system::error_code ec;
      while (!ec) {
        std::tie(ec, std::ignore) = co_await socket.async_read_some(
            asio::buffer(discarded), asio::as_tuple(asio::use_awaitable));
      }
      co_return false;
    }
    if (answer.delivery != Delivery::kClose) {
      co_await WriteHalf(socket, answer.response);
    }
    boost::system::error_code ec;
    if (answer.delivery == Delivery::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    socket.close(ec);
    co_return false;
  }

  static asio::awaitable<void> WriteHalf(tcp::socket& socket, const HttpResponse& response) {
    std::ostringstream out;
    out << response;
    const std::string text = out.str();
    const std::size_t length = text.size() - (response.body().size() + 1) / 2;
    co_await asio::async_write(socket, asio::buffer(text.data(), length),
                               asio::as_tuple(asio::use_awaitable));
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  Handler handler_;
  tcp::endpoint endpoint_;
  std::map<std::uint64_t, std::shared_ptr<tcp::socket>> sockets_;
  std::size_t connection_limit_ = 100'000;
  std::uint64_t next_id_ = 0;
};

}  // namespace vanilladeck::standins

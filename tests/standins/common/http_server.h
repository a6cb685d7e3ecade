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

/// Minimal HTTP/1.1 server shared by the stand-ins; single-threaded.
namespace vanilladeck::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// How a response is delivered to the client; all values but kComplete are injected faults.
enum class Delivery : std::uint8_t {
  kComplete,
  kClose,     ///< Closes the connection without a response.
  kSilent,    ///< Keeps the connection open but sends nothing more on it.
  kReset,     ///< Sends half of the body, then a TCP reset.
  kTruncate,  ///< Sends half of the body, then closes normally.
};

// NOLINTNEXTLINE(bugprone-exception-escape): the move assignment of Beast's message may throw.
struct Reply {
  HttpResponse response;
  Delivery delivery = Delivery::kComplete;
};

struct Connection {
  std::uint64_t id = 0;  ///< Increases with every accepted connection.
  std::string client_ip;
};

[[nodiscard]] inline Reply MakeReply(http::status status, std::string body,
                                     std::string_view type = "application/json") {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return {std::move(response), Delivery::kComplete};
}

[[nodiscard]] inline Reply NoResponse(Delivery delivery) { return {HttpResponse{}, delivery}; }

/// Parses "IP:port"; throws on invalid input, which makes the stand-in exit with an error.
[[nodiscard]] inline tcp::endpoint ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("address has no port: " + text);
  const int port = std::stoi(text.substr(colon + 1));
  return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

inline asio::awaitable<void> Sleep(std::chrono::milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  using Handler = std::function<asio::awaitable<Reply>(HttpRequest, Connection)>;

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
  [[nodiscard]] std::uint64_t last_connection_id() const { return last_connection_id_; }
  void set_connection_limit(std::size_t limit) { connection_limit_ = limit; }

  /// While off, the kernel refuses new connections; open connections are kept.
  void SetListening(bool listening) {
    if (listening == acceptor_.is_open()) return;
    if (listening) {
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
    asio::co_spawn(acceptor_.get_executor(), AcceptConnections(shared_from_this()), asio::detached);
  }

  static asio::awaitable<void> AcceptConnections(std::shared_ptr<HttpServer> self) {
    while (self->acceptor_.is_open()) {
      auto [ec, socket] =
          co_await self->acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
      if (ec == asio::error::operation_aborted) break;
      if (ec || self->sockets_.size() >= self->connection_limit_) continue;
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto shared_socket = std::make_shared<tcp::socket>(std::move(socket));
      asio::co_spawn(shared_socket->get_executor(), ServeConnection(self, shared_socket),
                     asio::detached);
    }
  }

  static asio::awaitable<void> ServeConnection(std::shared_ptr<HttpServer> self,
                                               std::shared_ptr<tcp::socket> socket) {
    boost::system::error_code ec;
    const Connection connection{++self->last_connection_id_,
                                socket->remote_endpoint(ec).address().to_string()};
    self->sockets_[connection.id] = socket;
    boost::beast::flat_buffer buf;
    while (!ec && co_await ServeRequest(self, *socket, buf, connection)) {
    }
    self->sockets_.erase(connection.id);
  }

  static asio::awaitable<bool> ServeRequest(std::shared_ptr<HttpServer> self, tcp::socket& socket,
                                            boost::beast::flat_buffer& buf,
                                            const Connection& connection) {
    constexpr std::uint64_t kMaxBodyBytes = 16'000'000;
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    auto [ec, bytes] =
        co_await http::async_read(socket, buf, parser, asio::as_tuple(asio::use_awaitable));
    if (ec) co_return false;
    const unsigned version = parser.get().version();
    const bool keep_alive = parser.get().keep_alive();
    Reply reply = co_await self->handler_(parser.release(), connection);
    reply.response.version(version);
    reply.response.keep_alive(keep_alive);
    reply.response.prepare_payload();
    co_return co_await WriteReply(socket, reply);
  }

  static asio::awaitable<bool> WriteReply(tcp::socket& socket, Reply& reply) {
    if (reply.delivery == Delivery::kComplete) {
      auto [ec, bytes] =
          co_await http::async_write(socket, reply.response, asio::as_tuple(asio::use_awaitable));
      co_return !ec && reply.response.keep_alive();
    }
    if (reply.delivery == Delivery::kSilent) {
      std::array<char, 4096> discarded{};
      boost::system::error_code ec;
      while (!ec) {
        std::tie(ec, std::ignore) = co_await socket.async_read_some(
            asio::buffer(discarded), asio::as_tuple(asio::use_awaitable));
      }
      co_return false;
    }
    if (reply.delivery != Delivery::kClose) {
      co_await WriteTruncated(socket, reply.response);
    }
    boost::system::error_code ec;
    if (reply.delivery == Delivery::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    socket.close(ec);
    co_return false;
  }

  static asio::awaitable<void> WriteTruncated(tcp::socket& socket, const HttpResponse& response) {
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
  std::uint64_t last_connection_id_ = 0;
};

}  // namespace vanilladeck::standins

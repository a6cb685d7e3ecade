#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "vanilladeck/http/caller_listener.h"

namespace vanilladeck::http::impl {

class CallerSession;

/// State shared by the sessions of one listener.
struct Sessions {
  ListenerLimits limits;
  CallerHandler& handler;
  bool closing = false;  ///< Responses carry `Connection: close`.
  std::size_t active_requests = 0;
  std::unordered_set<CallerSession*> open;

  Sessions(const ListenerLimits& session_limits, CallerHandler& caller_handler)
      : limits(session_limits), handler(caller_handler) {}

  /// Closes the sessions without a request in progress.
  void CloseIdle();
};

/// A connection from a caller: reads requests, passes them to the handler and writes the responses.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /// `owner` keeps `sessions` alive.
  CallerSession(boost::asio::ip::tcp::socket socket, Sessions& sessions,
                std::shared_ptr<void> owner);
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;
  ~CallerSession();

  /// Runs until the connection ends.
  [[nodiscard]] boost::asio::awaitable<void> Run();

  void CloseIfIdle();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Returns false when the connection must be closed.
  [[nodiscard]] boost::asio::awaitable<bool> ServeOne();
  [[nodiscard]] boost::asio::awaitable<boost::system::error_code> ReadRequest(Parser& parser);
  [[nodiscard]] boost::asio::awaitable<Response> ServeRequest(Request request);
  [[nodiscard]] boost::asio::awaitable<void> Refuse(boost::system::error_code reason);
  [[nodiscard]] boost::asio::awaitable<bool> Write(Response& response);
  /// Shuts down the sending side and discards input for a while: closing a socket with unread input
  /// resets the connection, and the caller could lose the response.
  [[nodiscard]] boost::asio::awaitable<void> Linger();
  void WatchDisconnect(const std::shared_ptr<CallerExchange>& exchange);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  Sessions& sessions_;
  std::shared_ptr<void> owner_;
  std::string peer_ip_;
  bool in_request_ = false;
  bool over_limit_ = false;
};

}  // namespace vanilladeck::http::impl

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/http/message.h"
#include "vanilladeck/http/problem.h"

namespace vanilladeck::http {

struct BackendLimits {
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
};

/// Failure of one exchange with a backend server.
struct ExchangeError {
  Problem problem;
  bool sent = false;  ///< A byte of the request may have reached the server.
};

using ExchangeResult = core::Result<Response, ExchangeError>;

/// Last check before the first byte is written; a problem cancels the dispatch as not run.
using SendCheck = std::function<std::optional<Problem>()>;

/// One HTTP/1.1 connection to a backend server, for one exchange at a time.
///
/// The connection can be reused only after a complete response with an explicit end. Any failure,
/// timeout or cancellation closes it, so that a late response reaches nobody.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(const boost::asio::any_io_executor& executor, const BackendLimits& limits);

  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// Opens the connection; a failure means that nothing was sent.
  [[nodiscard]] boost::asio::awaitable<std::optional<Problem>> Connect(
      boost::asio::ip::tcp::endpoint endpoint, core::TimePoint deadline);

  /// Sends `request` and reads the whole response. `check` runs just before the first byte.
  [[nodiscard]] boost::asio::awaitable<ExchangeResult> Exchange(const Request& request,
                                                                core::TimePoint deadline,
                                                                const SendCheck& check);

  /// Ends the exchange in progress with `kCancelled` and closes the connection.
  void Cancel();

  /// Ends the exchange in progress with `kResponseTimeout` before its deadline.
  void AbortWithTimeout();

  /// Closes the connection without marking its exchange as cancelled.
  void Close();

  /// True when a further exchange may use the connection: open, idle, no unread bytes.
  [[nodiscard]] bool Reusable();

 private:
  enum class End : std::uint8_t { kNone, kTimeout, kCancelled };
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void ArmDeadline(core::TimePoint deadline);
  void DisarmDeadline();
  [[nodiscard]] boost::asio::awaitable<ExchangeResult> ReadResponse(bool is_head);
  /// Reads one message into `parser`; returns the error of the read.
  [[nodiscard]] boost::asio::awaitable<boost::system::error_code> ReadMessage(Parser& parser);
  [[nodiscard]] ExchangeError Fail(ProblemCode code, const std::string& detail, bool sent);
  [[nodiscard]] ExchangeError FailRead(boost::system::error_code ec, bool any_byte);

  boost::asio::ip::tcp::socket socket_;
  core::Timer deadline_;
  boost::beast::flat_buffer buffer_;
  BackendLimits limits_;
  std::uint64_t exchange_number_ = 0;  ///< Tells a late timer of an earlier exchange.
  End end_ = End::kNone;
  bool reusable_ = false;
};

}  // namespace vanilladeck::http

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

/// Why an exchange with a backend server failed.
struct ExchangeError {
  Problem problem;
  bool sent = false;  ///< A byte of the request may have reached the server.
};

using ExchangeResult = core::Result<Response, ExchangeError>;

/// Called just before the first byte of a request is written. If it returns a problem, the exchange
/// ends with that problem and nothing is sent.
using SendCheck = std::function<std::optional<Problem>()>;

/// An HTTP/1.1 connection to a backend server; carries one exchange at a time.
///
/// The connection is reused only after a complete response whose end is given by its length or by
/// chunked coding. Any failure, timeout or cancellation closes the connection, so that a late
/// response cannot be taken for the response to a later request.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(const boost::asio::any_io_executor& executor, const BackendLimits& limits);

  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// Opens the connection; on failure nothing has been sent.
  [[nodiscard]] boost::asio::awaitable<std::optional<Problem>> Connect(
      boost::asio::ip::tcp::endpoint endpoint, core::TimePoint deadline);

  /// Sends `request` and reads the complete response. `check` runs before the first byte is sent.
  [[nodiscard]] boost::asio::awaitable<ExchangeResult> Exchange(const Request& request,
                                                                core::TimePoint deadline,
                                                                const SendCheck& check);

  /// Aborts the exchange in progress with `kCancelled` and closes the connection.
  void Cancel();

  /// Aborts the exchange in progress with `kResponseTimeout` before its deadline and closes the
  /// connection.
  void AbortWithTimeout();

  /// Closes the connection without marking its exchange as cancelled.
  void Close();

  /// True if another exchange may use the connection: it is open, idle and has no unread bytes.
  /// Closes it if the server has closed it or sent unsolicited bytes.
  [[nodiscard]] bool Reusable();

 private:
  /// Why the connection was closed before its response was complete.
  enum class End : std::uint8_t { kNone, kTimeout, kCancelled };
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void ArmDeadline(core::TimePoint deadline);
  void DisarmDeadline();
  [[nodiscard]] boost::asio::awaitable<ExchangeResult> ReadResponse(bool is_head);
  /// Reads one response, which may be an interim one, into `parser`.
  [[nodiscard]] boost::asio::awaitable<boost::system::error_code> ReadMessage(Parser& parser);
  [[nodiscard]] boost::asio::awaitable<boost::system::error_code> ReadHeader(Parser& parser);
  /// Closes the connection and returns the error of its exchange.
  [[nodiscard]] ExchangeError Fail(ProblemCode code, const std::string& detail, bool sent);
  [[nodiscard]] ExchangeError FailRead(boost::system::error_code ec, bool received_any);

  boost::asio::ip::tcp::socket socket_;
  core::Timer deadline_;
  boost::beast::flat_buffer buffer_;
  BackendLimits limits_;
  std::uint64_t exchange_number_ = 0;  ///< Identifies late timers of earlier exchanges.
  End end_ = End::kNone;
  bool reusable_ = false;
};

}  // namespace vanilladeck::http

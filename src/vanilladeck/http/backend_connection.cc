#include "vanilladeck/http/backend_connection.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <tuple>

#include "vanilladeck/http/header_fields.h"

namespace vanilladeck::http {
namespace {

namespace beast = boost::beast;
using beast::http::error;

constexpr auto kAsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
// A server that sends more interim (1xx) responses than this to one request is faulty.
constexpr int kMaxInterimResponses = 8;
constexpr std::size_t kReadBytes = 65536;

bool IsHttpError(boost::system::error_code ec) {
  return ec.category() == make_error_code(error::end_of_stream).category();
}

}  // namespace

BackendConnection::BackendConnection(const boost::asio::any_io_executor& executor,
                                     const BackendLimits& limits)
    : socket_(executor),
      deadline_(executor),
      buffer_(limits.max_header_bytes + kMaxUnparsedBytes),
      limits_(limits) {}

boost::asio::awaitable<std::optional<Problem>> BackendConnection::Connect(
    boost::asio::ip::tcp::endpoint endpoint, core::TimePoint deadline) {
  const auto self = shared_from_this();
  ArmDeadline(deadline);
  auto [ec] = co_await socket_.async_connect(endpoint, kAsTuple);
  DisarmDeadline();
  if (!ec && end_ == End::kNone) {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    reusable_ = true;
    co_return std::nullopt;
  }
  const ProblemCode code =
      end_ == End::kTimeout ? ProblemCode::kConnectionTimeout : ProblemCode::kConnectionRefused;
  co_return Fail(code, ec.message(), false).problem;
}

boost::asio::awaitable<ExchangeResult> BackendConnection::Exchange(const Request& request,
                                                                   core::TimePoint deadline,
                                                                   const SendCheck& check) {
  const auto self = shared_from_this();
  reusable_ = false;
  if (end_ == End::kCancelled) {
    co_return Fail(ProblemCode::kCancelled, "cancelled before dispatch", false);
  }
  if (check) {
    if (std::optional<Problem> problem = check()) {
      reusable_ = true;
      ExchangeError refused{std::move(*problem), false};
      co_return refused;
    }
  }
  ArmDeadline(deadline);
  auto [ec, n] = co_await beast::http::async_write(socket_, request, kAsTuple);
  if (ec) {
    DisarmDeadline();
    const bool sent = n > 0;
    if (end_ == End::kTimeout) co_return Fail(ProblemCode::kResponseTimeout, "in sending", sent);
    if (end_ == End::kCancelled) co_return Fail(ProblemCode::kCancelled, "in sending", sent);
    co_return Fail(ProblemCode::kConnectionTerminated, ec.message(), sent);
  }
  const bool is_head = request.method() == beast::http::verb::head;
  ExchangeResult result = co_await ReadResponse(is_head);
  DisarmDeadline();
  co_return result;
}

boost::asio::awaitable<ExchangeResult> BackendConnection::ReadResponse(bool is_head) {
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser.body_limit(limits_.max_body_bytes);
    parser.skip(is_head);
    const boost::system::error_code ec = co_await ReadMessage(parser);
    if (ec) co_return FailRead(ec, parser.got_some());
    const unsigned status = parser.get().result_int();
    if (!IsValidStatusCode(status)) {
      co_return Fail(ProblemCode::kResponseMalformed, "status code " + std::to_string(status),
                     true);
    }
    if (status / 100 == 1) continue;
    if (parser.get().count(beast::http::field::content_length) > 1) {
      co_return Fail(ProblemCode::kResponseMalformed, "more than one Content-Length", true);
    }
    if (HasUnsupportedTransferCoding(parser.get())) {
      co_return Fail(ProblemCode::kResponseMalformed, "unsupported transfer coding", true);
    }
    const bool has_body = !is_head && status != 204 && status != 304;
    if (has_body && !parser.content_length() && !parser.chunked()) {
      // Without a length or chunked coding, a truncated body cannot be detected.
      co_return Fail(ProblemCode::kResponseMalformed, "the response states no length", true);
    }
    reusable_ = end_ == End::kNone && parser.keep_alive() && buffer_.size() == 0;
    if (!reusable_) Close();
    co_return parser.release();
  }
  co_return Fail(ProblemCode::kResponseMalformed, "too many interim responses", true);
}

boost::asio::awaitable<boost::system::error_code> BackendConnection::ReadMessage(Parser& parser) {
  boost::system::error_code ec = co_await ReadHeader(parser);
  if (ec) co_return ec;
  // `ReadResponse` rejects a body that ends only with the connection, so it is not read.
  if (!parser.is_done() && parser.need_eof()) co_return boost::system::error_code{};
  if (!parser.is_done()) {
    std::tie(ec, std::ignore) =
        co_await beast::http::async_read(socket_, buffer_, parser, kAsTuple);
  }
  co_return ec;
}

boost::asio::awaitable<boost::system::error_code> BackendConnection::ReadHeader(Parser& parser) {
  // Not `async_read_header`, because a folded line is visible only before it has been parsed.
  parser.eager(false);
  bool needs_more = buffer_.size() == 0;
  while (!parser.is_header_done()) {
    boost::system::error_code ec;
    if (needs_more) {
      const std::size_t room = beast::read_size(buffer_, kReadBytes);
      if (room == 0) co_return error::buffer_overflow;
      std::size_t n = 0;
      std::tie(ec, n) = co_await socket_.async_read_some(buffer_.prepare(room), kAsTuple);
      buffer_.commit(n);
      if (ec == boost::asio::error::eof) {
        co_return parser.got_some() ? error::partial_message : error::end_of_stream;
      }
      if (ec) co_return ec;
    }
    const auto bytes = buffer_.data();
    const std::size_t used = parser.put(bytes, ec);
    const bool folded = HasFoldedLine({static_cast<const char*>(bytes.data()), used});
    buffer_.consume(used);
    needs_more = ec == error::need_more;
    if (ec && !needs_more) co_return ec;
    if (folded) co_return error::bad_field;
  }
  co_return boost::system::error_code{};
}

ExchangeError BackendConnection::FailRead(boost::system::error_code ec, bool received_any) {
  if (end_ == End::kTimeout) return Fail(ProblemCode::kResponseTimeout, "no whole response", true);
  if (end_ == End::kCancelled) return Fail(ProblemCode::kCancelled, "after dispatch", true);
  if (ec == error::partial_message || (received_any && !IsHttpError(ec))) {
    return Fail(ProblemCode::kResponseIncomplete, ec.message(), true);
  }
  if (ec == error::end_of_stream || !IsHttpError(ec)) {
    return Fail(ProblemCode::kConnectionTerminated, ec.message(), true);
  }
  if (ec == error::body_limit || ec == error::header_limit || ec == error::buffer_overflow) {
    return Fail(ProblemCode::kResponseTooLarge, ec.message(), true);
  }
  return Fail(ProblemCode::kResponseMalformed, ec.message(), true);
}

ExchangeError BackendConnection::Fail(ProblemCode code, const std::string& detail, bool sent) {
  Close();
  const core::Outcome outcome = sent ? core::Outcome::kUnknown : core::Outcome::kNotRun;
  return ExchangeError{Problem{code, outcome, detail, core::Duration::zero()}, sent};
}

void BackendConnection::ArmDeadline(core::TimePoint deadline) {
  ++exchange_number_;
  deadline_.expires_at(deadline);
  deadline_.async_wait(
      [weak = weak_from_this(), number = exchange_number_](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (ec || !self || self->exchange_number_ != number) return;
        if (self->end_ == End::kNone) self->end_ = End::kTimeout;
        self->Close();
      });
}

void BackendConnection::DisarmDeadline() {
  ++exchange_number_;
  deadline_.cancel();
}

void BackendConnection::Cancel() {
  if (end_ == End::kNone) end_ = End::kCancelled;
  Close();
}

void BackendConnection::AbortWithTimeout() {
  if (end_ == End::kNone) end_ = End::kTimeout;
  Close();
}

void BackendConnection::Close() {
  reusable_ = false;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

bool BackendConnection::Reusable() {
  if (!reusable_ || !socket_.is_open()) return false;
  std::array<char, 1> byte{};
  boost::system::error_code ec;
  socket_.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, ec);
  // Any other result means that the server has closed the connection or sent unsolicited bytes.
  if (ec != boost::asio::error::would_block) Close();
  return reusable_;
}

}  // namespace vanilladeck::http

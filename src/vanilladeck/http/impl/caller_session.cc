#include "vanilladeck/http/impl/caller_session.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <vector>

#include "vanilladeck/http/message.h"

namespace vanilladeck::http::impl {
namespace {

namespace beast = boost::beast;
using beast::http::error;

constexpr auto kAsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr auto kIdleTimeout = std::chrono::seconds(75);
// Bounds how long a slowly sent request can hold a connection.
constexpr auto kReadTimeout = std::chrono::seconds(20);
constexpr auto kWriteTimeout = std::chrono::seconds(20);
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLingerBytes = 4'194'304;

Problem ProblemFor(boost::system::error_code ec, const ListenerLimits& limits) {
  Problem problem;
  if (ec == error::header_limit || ec == error::buffer_overflow) {
    problem.code = ProblemCode::kHeadTooLarge;
    problem.detail = "the limit is " + std::to_string(limits.max_header_bytes) + " bytes";
  } else if (ec == error::body_limit) {
    problem.code = ProblemCode::kBodyTooLarge;
    problem.detail = "the limit is " + std::to_string(limits.max_body_bytes) + " bytes";
  } else {
    problem.code = ProblemCode::kMalformedRequest;
    problem.detail = ec.message();
  }
  return problem;
}

/// True for closed connections, timeouts and socket errors, as opposed to HTTP parse errors.
bool IsDisconnect(boost::system::error_code ec) {
  const bool is_http = ec.category() == make_error_code(error::end_of_stream).category();
  return !is_http || ec == error::end_of_stream;
}

}  // namespace

void Sessions::CloseIdle() {
  const std::vector<CallerSession*> sessions(open.begin(), open.end());
  for (CallerSession* session : sessions) session->CloseIfIdle();
}

CallerSession::CallerSession(boost::asio::ip::tcp::socket socket, Sessions& sessions,
                             std::shared_ptr<void> owner)
    : stream_(std::move(socket)),
      buffer_(sessions.limits.max_header_bytes + kMaxUnparsedBytes),
      sessions_(sessions),
      owner_(std::move(owner)) {
  over_limit_ = sessions_.open.size() >= sessions_.limits.max_connections;
  sessions_.open.insert(this);
  boost::system::error_code ec;
  stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
  const auto peer = stream_.socket().remote_endpoint(ec);
  if (!ec) peer_ip_ = peer.address().to_string();
}

CallerSession::~CallerSession() { sessions_.open.erase(this); }

void CallerSession::CloseIfIdle() {
  boost::system::error_code ec;
  // A request that has arrived but has not been read yet is still served.
  if (!in_request_ && stream_.socket().available(ec) == 0) stream_.close();
}

boost::asio::awaitable<void> CallerSession::Run() {
  if (over_limit_) {
    const Problem problem{ProblemCode::kTooManyConnections, core::Outcome::kNotRun,
                          "this instance serves no further connections", std::chrono::seconds(1)};
    sessions_.handler.OnRefused(problem);
    Response response = MakeProblemResponse(problem);
    response.keep_alive(false);
    co_await Write(response);
    co_await Linger();
    co_return;
  }
  bool keep_open = true;
  while (keep_open) {
    keep_open = co_await ServeOne();
    if (in_request_) --sessions_.active_requests;
    in_request_ = false;
  }
  stream_.close();
}

boost::asio::awaitable<boost::system::error_code> CallerSession::ReadRequest(Parser& parser) {
  parser.header_limit(static_cast<std::uint32_t>(sessions_.limits.max_header_bytes));
  parser.body_limit(sessions_.limits.max_body_bytes);
  boost::system::error_code ec;
  std::size_t n = 0;
  if (buffer_.size() == 0) {
    // The connection is idle until the first byte arrives; from then on a request is in progress.
    stream_.expires_after(kIdleTimeout);
    constexpr std::size_t kReadBytes = 4096;
    std::tie(ec, n) = co_await stream_.async_read_some(buffer_.prepare(kReadBytes), kAsTuple);
    if (ec) co_return ec == boost::asio::error::eof ? make_error_code(error::end_of_stream) : ec;
    buffer_.commit(n);
  }
  in_request_ = true;
  ++sessions_.active_requests;
  stream_.expires_after(kReadTimeout);
  std::tie(ec, n) = co_await beast::http::async_read_header(stream_, buffer_, parser, kAsTuple);
  if (ec) co_return ec;
  const auto expect = parser.get()[beast::http::field::expect];
  if (!parser.is_done() && beast::iequals(expect, "100-continue")) {
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    const boost::asio::const_buffer line(kContinue.data(), kContinue.size());
    std::tie(ec, n) = co_await boost::asio::async_write(stream_, line, kAsTuple);
    if (ec) co_return ec;
  }
  std::tie(ec, n) = co_await beast::http::async_read(stream_, buffer_, parser, kAsTuple);
  co_return ec;
}

boost::asio::awaitable<bool> CallerSession::ServeOne() {
  Parser parser;
  const boost::system::error_code ec = co_await ReadRequest(parser);
  if (ec) {
    if (!IsDisconnect(ec)) {
      co_await Refuse(ec);
    }
    co_return false;
  }
  if (parser.get().count(beast::http::field::content_length) > 1) {
    co_await Refuse(make_error_code(error::multiple_content_length));
    co_return false;
  }
  const unsigned version = parser.get().version();
  const bool keep_alive = parser.get().keep_alive();
  const bool is_head = parser.get().method() == beast::http::verb::head;
  Response response;
  std::optional<Response> immediate = sessions_.handler.ServeNow(parser.get(), peer_ip_);
  if (immediate) {
    response = std::move(*immediate);
  } else {
    response = co_await ServeRequest(parser.release());
  }
  if (is_head) response.body().clear();
  response.version(version);
  response.keep_alive(keep_alive && !sessions_.closing);
  const bool written = co_await Write(response);
  co_return written&& response.keep_alive();
}

boost::asio::awaitable<Response> CallerSession::ServeRequest(Request request) {
  auto exchange = std::make_shared<CallerExchange>();
  exchange->request = std::move(request);
  exchange->peer_ip = peer_ip_;
  exchange->arrived = core::RuntimeClock::now();
  stream_.expires_never();
  WatchDisconnect(exchange);
  Response response = co_await sessions_.handler.Serve(*exchange);
  exchange->on_disconnect = nullptr;
  boost::system::error_code ignored;
  stream_.socket().cancel(ignored);
  co_return response;
}

void CallerSession::WatchDisconnect(const std::shared_ptr<CallerExchange>& exchange) {
  // Disconnects are not detected while pipelined requests are buffered: their bytes would end the
  // wait immediately.
  if (buffer_.size() != 0) return;
  stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this(), exchange](boost::system::error_code ec) {
                                if (ec || !exchange->on_disconnect) return;
                                auto& socket = self->stream_.socket();
                                std::array<char, 1> byte{};
                                socket.non_blocking(true, ec);
                                socket.receive(boost::asio::buffer(byte),
                                               boost::asio::socket_base::message_peek, ec);
                                if (!ec || ec == boost::asio::error::would_block) return;
                                exchange->disconnected = true;
                                std::exchange(exchange->on_disconnect, nullptr)();
                              });
}

boost::asio::awaitable<void> CallerSession::Refuse(boost::system::error_code reason) {
  const Problem problem = ProblemFor(reason, sessions_.limits);
  sessions_.handler.OnRefused(problem);
  Response response = MakeProblemResponse(problem);
  response.keep_alive(false);
  const bool written = co_await Write(response);
  if (written) {
    co_await Linger();
  }
}

boost::asio::awaitable<bool> CallerSession::Write(Response& response) {
  stream_.expires_after(kWriteTimeout);
  auto [ec, n] = co_await beast::http::async_write(stream_, response, kAsTuple);
  co_return !ec;
}

boost::asio::awaitable<void> CallerSession::Linger() {
  boost::system::error_code ec;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
  std::vector<char> discarded(16'384);
  std::size_t total = 0;
  stream_.expires_after(kLingerTimeout);
  while (!ec && total < kMaxLingerBytes) {
    std::size_t n = 0;
    std::tie(ec, n) = co_await stream_.async_read_some(boost::asio::buffer(discarded), kAsTuple);
    total += n;
  }
  stream_.close();
}

}  // namespace vanilladeck::http::impl

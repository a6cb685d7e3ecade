#include "vanilladeck/gateway/upstream_connection.h"

#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>

#include "vanilladeck/gateway/socket_options.h"

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kInformational = 100;
constexpr unsigned kSuccess = 200;

/// Reads "timeout=N" of a Keep-Alive header.
std::optional<core::Duration> KeepAliveOf(const Response& response) {
  const auto it = response.find(http::field::keep_alive);
  if (it == response.end()) return std::nullopt;
  const std::string_view text(it->value().data(), it->value().size());
  constexpr std::string_view kKey = "timeout=";
  const auto at = text.find(kKey);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(at + kKey.size());
  std::int64_t seconds = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (ec != std::errc{} || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context& context, DeadlinesPtr deadlines,
                                       const ResponseLimits& limits)
    : socket_(context), deadlines_(std::move(deadlines)), limits_(limits) {}

UpstreamConnection::~UpstreamConnection() { deadlines_->Remove(deadline_); }

void UpstreamConnection::Connect(const boost::asio::ip::tcp::endpoint& endpoint,
                                 core::TimePoint deadline, ConnectDone done) {
  connect_done_ = std::move(done);
  deadline_ = deadlines_->Add(deadline, [this] { Close(); });
  socket_.async_connect(endpoint, [self = shared_from_this()](boost::system::error_code ec) {
    self->deadlines_->Remove(self->deadline_);
    if (!ec && !self->socket_.is_open()) ec = boost::asio::error::timed_out;
    if (!ec) {
      SetConnectionOptions(self->socket_);
      self->reusable_ = true;
    } else {
      self->Close();
    }
    const ConnectDone callback = std::move(self->connect_done_);
    self->connect_done_ = nullptr;
    callback(ec);
  });
}

void UpstreamConnection::Exchange(std::string request, bool is_head, core::TimePoint deadline,
                                  Accepts accepts, ExchangeDone done) {
  on_idle_closed_ = nullptr;
  request_ = std::move(request);
  is_head_ = is_head;
  accepts_ = std::move(accepts);
  done_ = std::move(done);
  reusable_ = false;
  dropped_response_ = false;
  any_byte_ = false;
  writing_ = true;
  input_.clear();
  StartParser();
  deadline_ = deadlines_->Add(deadline, [this] { Finish(ExchangeEnd::kTimeout, "deadline"); });
  boost::asio::async_write(socket_, boost::asio::buffer(request_),
                           [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                             self->writing_ = false;
                             // A server may answer before it has read everything; the read decides
                             // about the end.
                             if (ec && self->done_ && !self->reading_) {
                               self->Finish(ExchangeEnd::kClosed, ec.message());
                             }
                           });
  if (!reading_) Read();
}

void UpstreamConnection::StartParser() {
  parser_.emplace();
  parser_->header_limit(limits_.header_bytes);
  parser_->body_limit(limits_.body_bytes);
  parser_->eager(true);
  parser_->skip(is_head_);
}

void UpstreamConnection::Read() {
  reading_ = true;
  socket_.async_read_some(boost::asio::buffer(buf_),
                          [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                            self->reading_ = false;
                            self->OnRead(ec, n);
                          });
}

void UpstreamConnection::OnRead(boost::system::error_code ec, std::size_t n) {
  if (!done_) {
    // Idle: the peer closed, or sent bytes that belong to no request.
    reusable_ = false;
    Close();
    const auto callback = std::move(on_idle_closed_);
    on_idle_closed_ = nullptr;
    if (callback) callback();
    return;
  }
  if (ec) {
    if (ec == boost::asio::error::eof && parser_->got_some() && parser_->is_header_done()) {
      boost::system::error_code parse_error;
      parser_->put_eof(parse_error);
      if (!parse_error && parser_->is_done()) {
        OnResponse();
        return;
      }
    }
    Finish(ExchangeEnd::kClosed, ec.message());
    return;
  }
  any_byte_ = true;
  input_.append(buf_.data(), n);
  Parse();
}

void UpstreamConnection::Parse() {
  while (!input_.empty() && !parser_->is_done()) {
    boost::system::error_code ec;
    const std::size_t used = parser_->put(boost::asio::buffer(input_), ec);
    input_.erase(0, used);
    if (ec == http::error::need_more) break;
    if (ec) {
      Finish(ExchangeEnd::kMalformed, ec.message());
      return;
    }
    if (used == 0) break;
  }
  if (parser_->is_done()) {
    OnResponse();
  } else {
    Read();
  }
}

void UpstreamConnection::OnResponse() {
  const unsigned status = parser_->get().result_int();
  const bool interim = status >= kInformational && status < kSuccess;
  if (interim || (accepts_ && !accepts_(parser_->get()))) {
    // A late response to an earlier request may come first; the connection ends afterwards.
    if (!interim) dropped_response_ = true;
    const bool can_continue = socket_.is_open() && (interim || parser_->keep_alive());
    if (!can_continue) {
      Finish(ExchangeEnd::kMalformed, "response of another request");
      return;
    }
    StartParser();
    if (input_.empty()) {
      Read();
    } else {
      Parse();
    }
    return;
  }
  reusable_ = !writing_ && !dropped_response_ && input_.empty() && parser_->keep_alive();
  keep_alive_ = KeepAliveOf(parser_->get());
  Finish(ExchangeEnd::kResponse, {});
}

void UpstreamConnection::Finish(ExchangeEnd end, std::string detail) {
  if (!done_) return;
  deadlines_->Remove(deadline_);
  ExchangeOutcome outcome;
  outcome.end = end;
  outcome.any_byte = any_byte_;
  outcome.detail = std::move(detail);
  if (end == ExchangeEnd::kResponse) outcome.response = parser_->release();
  parser_.reset();
  if (end != ExchangeEnd::kResponse || !reusable_) {
    reusable_ = false;
    Close();
  }
  idle_since_ = core::RuntimeClock::now();
  const auto callback = std::move(done_);
  done_ = nullptr;
  accepts_ = nullptr;
  callback(std::move(outcome));
}

void UpstreamConnection::Cancel() {
  if (done_) {
    const auto self = shared_from_this();
    Finish(ExchangeEnd::kCancelled, "cancelled");
    return;
  }
  Close();
}

void UpstreamConnection::WatchIdle(std::function<void()> on_closed) {
  on_idle_closed_ = std::move(on_closed);
  if (!reading_) Read();
}

bool UpstreamConnection::QuietNow() {
  char byte = 0;
  const ssize_t n = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void UpstreamConnection::Close() {
  reusable_ = false;
  boost::system::error_code ignored;  // Closing a socket that failed has nothing left to report.
  socket_.close(ignored);
}

}  // namespace vanilladeck::gateway

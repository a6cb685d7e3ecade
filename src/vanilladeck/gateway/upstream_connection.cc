#include "vanilladeck/gateway/upstream_connection.h"

#include <boost/asio/post.hpp>
#include <cerrno>
#include <charconv>

#include "vanilladeck/gateway/socket_options.h"

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kInformational = 100;
constexpr unsigned kSuccess = 200;
// Interim (1xx) responses before the final one. Bounded, so that a server that sends them endlessly
// does not keep the thread busy.
constexpr int kMaxInterimResponses = 8;
// Responses to earlier requests before the expected one; one late response is common.
constexpr int kMaxDroppedResponses = 2;

/// Parses "timeout=N" of the Keep-Alive header.
std::optional<core::Duration> KeepAliveOf(const Response& response) {
  const auto it = response.find(http::field::keep_alive);
  if (it == response.end()) return std::nullopt;
  const std::string_view text(it->value().data(), it->value().size());
  constexpr std::string_view kKey = "timeout=";
  const auto at = text.find(kKey);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(at + kKey.size());
  std::uint16_t seconds = 0;  // Larger values are of no use and may overflow a duration.
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (ec != std::errc{}) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context& context, DeadlinesPtr deadlines,
                                       core::ByteBudgetPtr budget, UpstreamRole role)
    : socket_(context),
      deadlines_(std::move(deadlines)),
      role_(role),
      account_(std::move(budget), [this] { OnEvicted(); }),
      reader_(account_) {
  if (role_ == UpstreamRole::kControl) account_.SetPreferred();
}

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

void UpstreamConnection::Exchange(OutgoingRequest request, bool is_head, core::TimePoint deadline,
                                  ResponseFilter filter, ExchangeDone done) {
  on_idle_closed_ = nullptr;
  request_ = std::move(request);
  is_head_ = is_head;
  response_filter_ = std::move(filter);
  done_ = std::move(done);
  reusable_ = false;
  ++exchanges_;
  interim_responses_ = 0;
  dropped_responses_ = 0;
  bytes_received_ = 0;
  writing_ = true;
  write_error_ = {};
  reader_.Reset();
  reader_.Start(limits_, is_head_);
  account_.SetEvictable(role_ == UpstreamRole::kServer);
  sent_at_ = core::RuntimeClock::now();
  SetDeadline(deadline);
  WriteRequest();
  if (!reading_) Read();
}

void UpstreamConnection::SetDeadline(core::TimePoint deadline) {
  deadlines_->Remove(deadline_);
  deadline_at_ = deadline;
  deadline_ = deadlines_->Add(deadline, [this] { Finish(ExchangeStatus::kTimeout, "deadline"); });
}

void UpstreamConnection::ExtendDeadline() {
  const core::TimePoint extended =
      std::min(core::RuntimeClock::now() + kStallTimeout, sent_at_ + kMaxTransferTime);
  if (extended > deadline_at_) SetDeadline(extended);
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
  account_.CountReceived(n);
  if (!done_) {
    // Idle: the peer closed the connection or sent bytes that belong to no request.
    reusable_ = false;
    Close();
    const auto callback = std::move(on_idle_closed_);
    on_idle_closed_ = nullptr;
    if (callback) callback();
    return;
  }
  if (ec == boost::asio::error::eof && reader_.head_complete()) {
    OnEndOfStream();
    return;
  }
  if (ec) {
    Finish(ExchangeStatus::kClosed, ec.message());
    return;
  }
  if (bytes_received_ == 0) first_byte_at_ = core::RuntimeClock::now();
  bytes_received_ += n;
  if (role_ == UpstreamRole::kControl) ExtendDeadline();
  if (on_progress_) on_progress_();
  reader_.Append({buf_.data(), n});
  OnReadStatus(reader_.Parse());
}

void UpstreamConnection::OnEndOfStream() {
  // A socket reports a reset once. If a write has received it, reads end as after a graceful close,
  // which must not complete a body that is delimited by the close.
  if (writing_) {
    // If a write has failed, its handler is already queued and runs before the posted one.
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->done_) self->CompleteAtEnd();
    });
    return;
  }
  CompleteAtEnd();
}

void UpstreamConnection::CompleteAtEnd() {
  if (write_error_) {
    Finish(ExchangeStatus::kClosed, write_error_.message());
    return;
  }
  const auto status = reader_.ParseEnd();
  if (status == ReadStatus::kComplete) {
    OnReadStatus(status);
  } else {
    Finish(ExchangeStatus::kClosed, reader_.error());
  }
}

void UpstreamConnection::OnReadStatus(ReadStatus status) {
  Match match = Match::kMatching;
  while (status == ReadStatus::kComplete) {
    match = MatchResponse();
    if (match != Match::kSkipped) break;
    reader_.Start(limits_, is_head_);
    status = reader_.Parse();
  }
  switch (status) {
    case ReadStatus::kMore:
      Read();
      break;
    case ReadStatus::kComplete:
      if (match == Match::kUnexpected) {
        Finish(ExchangeStatus::kMalformed, "too many responses to other requests");
        break;
      }
      reusable_ = !writing_ && !write_error_ && dropped_responses_ == 0 &&
                  reader_.input_size() == 0 && reader_.keep_alive();
      keep_alive_ = KeepAliveOf(reader_.message());
      Finish(ExchangeStatus::kResponse, {});
      break;
    case ReadStatus::kNoMemory:
      Finish(ExchangeStatus::kNoMemory, reader_.error());
      break;
    case ReadStatus::kMalformed:
    case ReadStatus::kHeadTooLarge:
    case ReadStatus::kBodyTooLarge:
      Finish(ExchangeStatus::kMalformed, reader_.error());
      break;
  }
}

UpstreamConnection::Match UpstreamConnection::MatchResponse() {
  const unsigned status = reader_.message().result_int();
  bool may_skip = false;
  if (status >= kInformational && status < kSuccess) {
    may_skip = ++interim_responses_ <= kMaxInterimResponses;
  } else if (!response_filter_ || response_filter_(reader_.message())) {
    return Match::kMatching;
  } else {
    // A late response to an earlier request may come first; the connection is not reused then.
    may_skip = ++dropped_responses_ <= kMaxDroppedResponses && reader_.keep_alive();
  }
  return may_skip ? Match::kSkipped : Match::kUnexpected;
}

void UpstreamConnection::OnEvicted() {
  boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->account_.evicted()) {
      self->Finish(ExchangeStatus::kNoMemory, "evicted as the largest message when memory ran out");
    }
  });
}

void UpstreamConnection::Finish(ExchangeStatus status, std::string detail) {
  if (!done_) return;
  const auto self = shared_from_this();
  deadlines_->Remove(deadline_);
  ExchangeOutcome outcome;
  outcome.status = status;
  if (bytes_received_ > 0) {
    outcome.transfer = {bytes_received_, core::RuntimeClock::now() - first_byte_at_};
  }
  outcome.detail = std::move(detail);
  if (status == ExchangeStatus::kResponse) outcome.response = reader_.Release();
  reader_.Reset();
  if (status != ExchangeStatus::kResponse) {
    Abort();
  } else if (!reusable_) {
    Close();
  }
  idle_since_ = core::RuntimeClock::now();
  const auto callback = std::move(done_);
  done_ = nullptr;
  response_filter_ = nullptr;
  if (request_.rest) request_.rest->AwaitBytes(nullptr);
  account_.SetEvictable(false);
  callback(std::move(outcome));
  // The callback may have started the next exchange.
  if (!done_) account_.Clear();
}

void UpstreamConnection::Cancel() {
  if (done_) {
    Finish(ExchangeStatus::kCancelled, "cancelled");
    return;
  }
  Close();
}

void UpstreamConnection::WatchIdle(std::function<void()> on_closed) {
  on_idle_closed_ = std::move(on_closed);
  if (!reading_) Read();
}

bool UpstreamConnection::IsStillIdle() {
  char byte = 0;
  const ssize_t n = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void UpstreamConnection::Abort() {
  boost::system::error_code ignored;  // The connection may be closed already.
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

void UpstreamConnection::Close() {
  reusable_ = false;
  boost::system::error_code ignored;  // An error on close needs no handling.
  socket_.close(ignored);
}

}  // namespace vanilladeck::gateway

#include "vanilladeck/gateway/client_session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "vanilladeck/core/free_memory.h"
#include "vanilladeck/gateway/socket_options.h"

/// A client connection from its start to its end, and the writing of responses.

namespace vanilladeck::gateway {
namespace {

// Time for the client to read the last response before the connection is reset.
constexpr core::Duration kLingerTime = std::chrono::seconds(1);
// The same after a response that came before the client had sent its whole body. Many clients read
// the response only then.
constexpr core::Duration kBodyLingerTime = std::chrono::seconds(5);
constexpr std::string_view kUnavailable = "503 Service Unavailable";
// Another instance can take the request at once.
constexpr std::string_view kRetryAfterField = "Retry-After: 0.05\r\n";

}  // namespace

ClientSession::ClientSession(boost::asio::ip::tcp::socket socket,
                             std::shared_ptr<SessionGroup> group)
    : socket_(std::move(socket)),
      group_(std::move(group)),
      input_account_(group_->budget, [this] { OnInputEvicted(); }),
      answers_account_(group_->budget, [this] { OnAnswersEvicted(); }),
      reader_(input_account_) {
  group_->sessions.insert(this);
}

ClientSession::~ClientSession() {
  group_->sessions.erase(this);
  group_->deadlines->Remove(read_deadline_);
  group_->deadlines->Remove(write_deadline_);
}

void ClientSession::Start() {
  SetConnectionOptions(socket_);
  // The kernel's timeout also runs while the client reads slowly and its receive buffer is full.
  SetUserTimeout(socket_, group_->limits.write_timeout);
  input_account_.SetEvictable(true);
  idle_since_ = core::RuntimeClock::now();
  SetReadDeadline(group_->limits.header_timeout);
  Read();
}

void ClientSession::OnAnswered() {
  ChargeAnswers();
  WriteNext();
}

void ClientSession::OnAnswerLost() {
  const auto self = shared_from_this();
  // The requests behind it count as not read.
  for (const auto& it : answers_.EndAtLost()) it->OnClientGone();
  ChargeAnswers();
  DropInput();
  if (!busy()) Close();
}

void ClientSession::ChargeAnswers() {
  const std::size_t text = output_.head.size() + output_.body.size() + answers_.waiting_bytes();
  answers_account_.Resize(text + answers_.request_bytes());
  // A client that does not read its responses is cut off first; requests being served are not.
  answers_account_.SetEvictable(text > 0);
}

void ClientSession::WriteNext() {
  if (closed_ || writing_) return;
  auto answer = answers_.TakeNext(group_->closing);
  if (!answer) return;
  output_ = std::move(*answer);
  if (output_.closes) DropBody();
  writing_ = true;
  group_->deadlines->Remove(write_deadline_);
  write_deadline_ = group_->deadlines->Add(core::RuntimeClock::now() + group_->limits.write_timeout,
                                           [this] { Close(); });
  ChargeAnswers();
  const std::array<boost::asio::const_buffer, 2> text{boost::asio::buffer(output_.head),
                                                      boost::asio::buffer(output_.body)};
  boost::asio::async_write(
      socket_, text, [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        self->writing_ = false;
        self->answers_account_.CountSent(n);
        if (self->closed_) return;
        if (ec) {
          self->Close();
        } else {
          self->OnWritten(self->output_.closes);
        }
      });
}

void ClientSession::OnWritten(bool close_after) {
  core::FreeMemory(output_.head);
  core::FreeMemory(output_.body);
  group_->deadlines->Remove(write_deadline_);
  ChargeAnswers();
  // The queue can also have ended after this response was taken from it.
  if (close_after || (answers_.ended() && answers_.empty())) {
    Linger();
    return;
  }
  WriteNext();
  if (!busy()) {
    idle_since_ = core::RuntimeClock::now();
    if (stage_ == Stage::kNone) SetReadDeadline(group_->limits.idle_timeout);
  }
  Advance();
}

void ClientSession::OnAnswersEvicted() {
  boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->closed_ && self->answers_account_.evicted()) self->Close();
  });
}

void ClientSession::Linger() {
  // Closing with unread bytes resets the connection, which may discard the response in transit.
  lingering_ = true;
  DropInput();
  boost::system::error_code ignored;  // The peer may already have closed.
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  SetReadDeadline(dropping_body_ ? kBodyLingerTime : kLingerTime);
  Read();
}

bool ClientSession::IsDelivering() {
  const std::size_t n = UndeliveredBytes(socket_);
  const core::TimePoint now = core::RuntimeClock::now();
  if (n != undelivered_bytes_) {
    undelivered_bytes_ = n;
    delivered_at_ = now;
  }
  return n > 0 && now - delivered_at_ < group_->limits.write_timeout;
}

void ClientSession::CloseIfIdle(core::Duration min_idle) {
  if (!idle()) return;
  const core::TimePoint now = core::RuntimeClock::now();
  if (IsDelivering()) {
    idle_since_ = now;
    return;
  }
  if (now - idle_since_ < min_idle) return;
  boost::system::error_code ec;
  if (socket_.available(ec) > 0) return;
  // Without lingering, which would read a request that can no longer be answered.
  Close();
}

void ClientSession::AnswerAll() {
  if (closed_ || lingering_) return;
  for (const auto& it : answers_.Running()) it->OnExit();
  if (closed_ || busy() || idle() || answers_.ended()) return;
  if (writing_continue_) {
    // A response must not get between its parts.
    Close();
  } else {
    RejectAndClose(kUnavailable, kRetryAfterField);
  }
}

void ClientSession::Close() {
  if (closed_) return;
  closed_ = true;
  RemoveReadDeadline();
  group_->deadlines->Remove(write_deadline_);
  boost::system::error_code ignored;  // An error on close needs no handling.
  socket_.close(ignored);
  // The slots that keep this session alive are dropped.
  const auto self = shared_from_this();
  const auto running = answers_.Close();
  DropInput();
  input_account_.SetEvictable(false);
  answers_account_.Clear();
  answers_account_.SetEvictable(false);
  for (const auto& it : running) it->OnClientGone();
}

}  // namespace vanilladeck::gateway

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "vanilladeck/gateway/client_session.h"

/// Reading of requests: what is parsed, what is started, and what waits.

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;

// Requests of one connection that are served or whose responses wait, beyond which reading pauses.
// It is the smallest limit on concurrent streams that HTTP/2 recommends (RFC 9113, 6.5.2).
constexpr std::size_t kMaxRequestsBeside = 100;
// Bytes of responses held for one connection beyond which no further request is started beside
// others. It is the usual limit of a body.
constexpr std::size_t kMaxAnswerBytes = 1U << 20U;
// Bytes buffered while requests that were sent ahead wait; reading pauses beyond this.
constexpr std::size_t kMaxBytesAhead = 65536;
// Bytes that a client may send behind its last request before the connection is reset.
constexpr std::size_t kMaxDiscardedBytes = 262144;
// Interval at which a connection is checked that is kept open for the delivery of its last
// response.
constexpr core::Duration kDeliveryCheckInterval = std::chrono::milliseconds(200);
constexpr std::string_view kUnavailable = "503 Service Unavailable";
// Memory is available again once the largest messages have been cut off or answered.
constexpr std::string_view kRetryAfterField = "Retry-After: 0.2\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

void ClientSession::SetReadDeadline(core::Duration after) {
  RemoveReadDeadline();
  read_deadline_ =
      group_->deadlines->Add(core::RuntimeClock::now() + after, [this] { OnReadTimeout(); });
}

void ClientSession::SetStageDeadline() {
  if (timed_stage_ == stage_) return;
  SetReadDeadline(stage_ == Stage::kHead ? group_->limits.header_timeout
                                         : group_->limits.body_timeout);
  timed_stage_ = stage_;
}

void ClientSession::RemoveReadDeadline() {
  group_->deadlines->Remove(read_deadline_);
  timed_stage_ = Stage::kNone;
}

void ClientSession::OnReadTimeout() {
  read_deadline_ = 0;
  timed_stage_ = Stage::kNone;
  // The last response may still be on its way, to a client that reads slowly.
  if ((lingering_ || idle()) && IsDelivering()) {
    SetReadDeadline(kDeliveryCheckInterval);
    return;
  }
  if (!busy() || body_) {
    Close();
    return;
  }
  // The requests ahead of the incomplete one are still answered.
  answers_.End();
  DropInput();
}

void ClientSession::Read() {
  if (reading_ || closed_) return;
  reading_ = true;
  socket_.async_read_some(boost::asio::buffer(buf_),
                          [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                            self->reading_ = false;
                            self->OnRead(ec, n);
                          });
}

void ClientSession::OnRead(boost::system::error_code ec, std::size_t n) {
  input_account_.CountReceived(n);
  if (closed_) return;
  if (ec) {
    // Of a client that has closed its side, only responses that have been given are written.
    if (!busy() || answers_.open() > 0) Close();
    return;
  }
  if (body_) {
    reader_.Append({buf_.data(), n});
    OnBodyBytes();
    return;
  }
  if (lingering_ || answers_.ended()) {
    discarded_bytes_ += n;
    const std::size_t body_bytes = dropping_body_ ? group_->limits.body_bytes : 0;
    if (discarded_bytes_ <= kMaxDiscardedBytes + body_bytes) {
      Read();
    } else if (lingering_) {
      Close();
    }
    return;
  }
  arrivals_.OnArrived(n, core::RuntimeClock::now());
  reader_.Append({buf_.data(), n});
  Advance();
}

bool ClientSession::MayParse() const {
  if (closed_ || lingering_ || writing_continue_ || answers_.ended()) return false;
  if (reader_.input_size() == 0 && stage_ == Stage::kNone) return false;
  if (!busy()) return true;
  return !group_->closing && answers_.size() + (writing_ ? 1 : 0) < kMaxRequestsBeside &&
         output_.body.size() + answers_.waiting_bytes() < kMaxAnswerBytes &&
         answers_.AllMayRunBeside() && MayStart();
}

bool ClientSession::MayStart() const {
  return !busy() || !reader_.head_complete() ||
         (group_->handler.MayRunBeside(reader_.message()) && !IsBodyToBePassedOn());
}

void ClientSession::Advance() {
  while (MayParse()) {
    const ReadStatus status = ParseNext();
    if (status == ReadStatus::kComplete) {
      if (!MayStart()) break;
      StartRequest();
      continue;
    }
    if (status == ReadStatus::kNoMemory && busy()) {
      // Reading goes on when a response has been written.
      RemoveReadDeadline();
      return;
    }
    if (status != ReadStatus::kMore) {
      Reject(status);
      break;
    }
    if (stage_ == Stage::kBody && timed_stage_ != stage_ &&
        reader_.message()[http::field::expect] == "100-continue") {
      // It must not get between the parts of a response, or ahead of one.
      if (busy()) break;
      SetStageDeadline();
      WriteContinue();
      return;
    }
    if (busy() && !MayStart()) break;
    if (IsBodyToBePassedOn()) {
      StartArrivingRequest();
      return;
    }
    SetStageDeadline();
    Read();
    return;
  }
  ReadAhead();
}

void ClientSession::ReadAhead() {
  if (closed_ || lingering_ || writing_continue_) return;
  // Nothing that waits for this instance may run into a timeout of the client.
  if (stage_ != Stage::kNone) RemoveReadDeadline();
  if (reader_.input_size() >= kMaxBytesAhead) return;
  memory_short_ = !input_account_.TryResize(reader_.held_bytes());
  if (!memory_short_) Read();
}

ReadStatus ClientSession::ParseNext() {
  if (stage_ == Stage::kNone) {
    reader_.Start({group_->limits.header_bytes, group_->limits.body_bytes});
    request_began_ = arrivals_.first();
    stage_ = Stage::kHead;
  }
  // What was held for an evicted account is dropped soon.
  if (input_account_.evicted()) return ReadStatus::kNoMemory;
  if (memory_short_ && !input_account_.TryResize(reader_.held_bytes())) {
    return ReadStatus::kNoMemory;
  }
  const std::size_t before = reader_.input_size();
  const ReadStatus status = reader_.Parse();
  arrivals_.OnTaken(before - reader_.input_size());
  memory_short_ = status == ReadStatus::kNoMemory;
  if (status == ReadStatus::kComplete) {
    stage_ = Stage::kComplete;
  } else if (reader_.head_complete()) {
    stage_ = Stage::kBody;
  }
  return status;
}

void ClientSession::WriteContinue() {
  // Asynchronous, because a blocking write would stall the thread on a client that does not read.
  writing_continue_ = true;
  boost::asio::async_write(socket_, boost::asio::buffer(kContinue),
                           [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                             self->writing_continue_ = false;
                             if (self->closed_ || self->busy()) return;
                             if (ec) {
                               self->Close();
                             } else {
                               self->Read();
                             }
                           });
}

void ClientSession::Reject(ReadStatus status) {
  switch (status) {
    case ReadStatus::kMore:
    case ReadStatus::kComplete:
      break;
    case ReadStatus::kMalformed:
      RejectAndClose("400 Bad Request");
      break;
    case ReadStatus::kHeadTooLarge:
      RejectAndClose("431 Request Header Fields Too Large");
      break;
    case ReadStatus::kBodyTooLarge:
      RejectAndClose("413 Content Too Large");
      break;
    case ReadStatus::kNoMemory:
      RejectAndClose(kUnavailable, kRetryAfterField);
      break;
  }
}

void ClientSession::RejectAndClose(std::string_view status, std::string_view fields) {
  DropInput();
  std::string head = "HTTP/1.1 ";
  head.append(status).append("\r\nContent-Length: 0\r\n").append(fields);
  answers_.Add(shared_from_this(), {request_began_, false})->Reply(std::move(head), {});
}

void ClientSession::DropInput() {
  RemoveReadDeadline();
  stage_ = Stage::kNone;
  memory_short_ = false;
  body_ = nullptr;
  reader_.Reset();
  arrivals_.Clear();
  input_account_.Clear();
}

void ClientSession::OnInputEvicted() {
  boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->closed_ || !self->input_account_.evicted()) return;
    if (self->writing_continue_) {
      self->Close();
    } else {
      self->RejectAndClose(kUnavailable, kRetryAfterField);
      self->Read();
    }
  });
}

void ClientSession::StartRequest() {
  RemoveReadDeadline();
  stage_ = Stage::kNone;
  const ResponseSlot::RequestInfo info{request_began_, reader_.keep_alive(),
                                       reader_.held_bytes() - reader_.input_size()};
  Request request = reader_.Release();
  input_account_.Resize(reader_.input_size());
  if (answers_.open() > 0) ++group_->ran_beside;
  const auto slot = answers_.Add(shared_from_this(), info);
  ChargeAnswers();
  std::shared_ptr<PendingRequest> pending;
  try {
    pending = group_->handler.OnRequest(slot, std::move(request));
  } catch (...) {
    // The request has no owner that could respond; the client sees the connection close.
    slot->Abort();
    throw;
  }
  AnswerQueue::SetPending(*slot, std::move(pending));
}

}  // namespace vanilladeck::gateway

#include "vanilladeck/gateway/client_session.h"

/// Request bodies that are passed on while they arrive.

namespace vanilladeck::gateway {
namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kBadGateway = 502;

}  // namespace

// Handlers that pass bodies on keep both values.
// NOLINTBEGIN(performance-unnecessary-value-param)
std::shared_ptr<PendingRequest> RequestHandler::OnArrivingRequest(
    const std::shared_ptr<ResponseSlot>& slot, Request /*request*/, RequestBodyPtr /*body*/) {
  slot->Reply("HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n", {});
  return nullptr;
}
// NOLINTEND(performance-unnecessary-value-param)

bool ClientSession::IsBodyToBePassedOn() const {
  if (!reader_.head_complete() || group_->limits.body_bytes <= RequestBody::kWholeBytes) {
    return false;
  }
  const auto length = reader_.content_length();
  if (length && *length <= RequestBody::kWholeBytes) return false;
  return reader_.message().body().size() + buf_.size() > RequestBody::kWholeBytes;
}

void ClientSession::StartArrivingRequest() {
  SetStageDeadline();
  Request request = reader_.CopyHead();
  std::string first_part = reader_.TakeBody();
  // The body has accounts of its own.
  input_account_.SetEvictable(false);
  input_account_.Resize(reader_.held_bytes());
  body_ = RequestBody::Create(group_->budget, group_->arriving_bodies, std::move(first_part),
                              reader_.content_length());
  if (!body_) {
    dropping_body_ = true;
    Reject(ReadStatus::kNoMemory);
    return;
  }
  const auto slot = answers_.Add(shared_from_this(), {request_began_, false});
  std::shared_ptr<PendingRequest> pending;
  try {
    pending = group_->handler.OnArrivingRequest(slot, std::move(request), body_);
  } catch (...) {
    slot->Abort();
    throw;
  }
  AnswerQueue::SetPending(*slot, std::move(pending));
  if (slot->open()) Read();
}

void ClientSession::OnBodyBytes() {
  // The response to a broken body drops `body_`.
  const RequestBodyPtr body = body_;
  switch (reader_.Parse()) {
    case ReadStatus::kMore:
      body->Append(reader_.TakeBody());
      if (body->full()) {
        body->AwaitSpace([weak = weak_from_this()] {
          if (const auto self = weak.lock()) self->Read();
        });
      } else {
        Read();
      }
      return;
    case ReadStatus::kComplete:
      body->Append(reader_.TakeBody());
      body->End();
      DropInput();
      // Detects that the client disconnects.
      Read();
      return;
    case ReadStatus::kBodyTooLarge:
      body->Break(kContentTooLarge);
      return;
    case ReadStatus::kNoMemory:
      // Not 503, which would state that no server has run the request.
      body->Break(kBadGateway);
      return;
    case ReadStatus::kMalformed:
    case ReadStatus::kHeadTooLarge:
      body->Break(kBadRequest);
      return;
  }
}

void ClientSession::DropBody() {
  if (!body_) return;
  dropping_body_ = true;
  DropInput();
  Read();
}

}  // namespace vanilladeck::gateway

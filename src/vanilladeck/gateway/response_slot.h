#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/gateway/request_handler.h"

namespace vanilladeck::gateway {

/// Learns what becomes of the responses of one connection.
class SlotOwner {
 public:
  virtual ~SlotOwner() = default;
  /// A response has been added. It can be written once all before it have been.
  virtual void OnAnswered() = 0;
  /// The response to a request is lost; the connection must close without it and without those
  /// behind it.
  virtual void OnAnswerLost() = 0;
};

/// The place of one request's response on its client's connection.
///
/// The handler of the request responds through it, in any order with the handlers of other requests
/// on the same connection; `AnswerQueue` keeps the order of the requests.
class ResponseSlot {
 public:
  /// What a slot knows about its request.
  struct RequestInfo {
    core::TimePoint began;          ///< When the first byte of the request arrived.
    bool keep_alive = true;         ///< False: the connection closes after the response.
    std::size_t charged_bytes = 0;  ///< Memory held for the request until it is answered.
  };

  ResponseSlot(std::shared_ptr<SlotOwner> owner, const RequestInfo& request)
      : owner_(std::move(owner)), request_(request) {}

  /// Sends the response; has no effect after the first call or once the connection is closed.
  /// `head` is the status line and the header fields except `Connection`, each terminated by CRLF;
  /// the blank line is added.
  void Reply(std::string head, std::string body);

  /// Closes the connection without a response, for a request that may have run but whose response
  /// is lost. Responses to the requests before it are still sent.
  void Abort();

  [[nodiscard]] core::TimePoint request_began() const noexcept { return request_.began; }
  /// True until the request is answered or its connection is closed.
  [[nodiscard]] bool open() const noexcept { return owner_ != nullptr; }

 private:
  friend class AnswerQueue;

  /// Keeps the connection alive while the request is served; null after that.
  std::shared_ptr<SlotOwner> owner_;
  std::shared_ptr<PendingRequest> pending_;
  RequestInfo request_;
  std::string head_;
  std::string body_;
  bool lost_ = false;
};

}  // namespace vanilladeck::gateway

#pragma once

#include <memory>

#include "vanilladeck/gateway/message_reader.h"
#include "vanilladeck/gateway/request_body.h"

namespace vanilladeck::gateway {

using Request = MessageReader<true>::Message;

class ResponseSlot;

/// A request that this instance has accepted and not yet answered; owned by the handler and its
/// slot.
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;
  /// The connection to the client is closed; no response can be sent.
  virtual void OnClientGone() = 0;
  /// The process is about to exit: responds at once.
  virtual void OnExit() = 0;
  /// True if further requests of the connection may run before this one has been answered.
  [[nodiscard]] virtual bool MayRunBeside() const { return false; }
};

/// Handles the requests of sessions; must outlive them.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Responds through `slot->Reply`, at once or later. Returns null if it has responded already.
  [[nodiscard]] virtual std::shared_ptr<PendingRequest> OnRequest(
      const std::shared_ptr<ResponseSlot>& slot, Request request) = 0;
  /// The same for a request with a large body that still arrives. Responds with 413 by default.
  [[nodiscard]] virtual std::shared_ptr<PendingRequest> OnArrivingRequest(
      const std::shared_ptr<ResponseSlot>& slot, Request request, RequestBodyPtr body);
  /// True if the request may run before those ahead of it on its connection have been answered.
  /// Needs only the header section of the request.
  [[nodiscard]] virtual bool MayRunBeside(const Request& /*request*/) const { return false; }
};

}  // namespace vanilladeck::gateway

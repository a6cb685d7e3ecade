#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "vanilladeck/gateway/response_slot.h"

namespace vanilladeck::gateway {

/// A response whose turn has come.
struct OrderedAnswer {
  std::string head;  ///< Complete, with the blank line.
  std::string body;
  bool closes = false;  ///< The connection closes after it.
};

/// Keeps the responses of one connection in the order of their requests.
///
/// It ends with the response that closes the connection: with that of a request that asks for it,
/// at a response that is lost, or when its owner ends it. No slot may be added after that.
class AnswerQueue {
 public:
  /// Adds the slot of the next request.
  [[nodiscard]] std::shared_ptr<ResponseSlot> Add(std::shared_ptr<SlotOwner> owner,
                                                  const ResponseSlot::RequestInfo& request);

  /// Stores the request that `slot` waits for, so that `Close` can return it.
  static void SetPending(ResponseSlot& slot, std::shared_ptr<PendingRequest> pending);

  /// Removes the first response and returns it, complete with its `Connection` field; none if it
  /// has not been given yet. With `closing`, the last one closes the connection.
  [[nodiscard]] std::optional<OrderedAnswer> TakeNext(bool closing);

  /// Lets the connection close after the slots added so far.
  void End() noexcept { ended_ = true; }
  [[nodiscard]] bool ended() const noexcept { return ended_; }

  /// Ends the queue before the first lost response. Returns the requests behind it that are still
  /// being served, for the caller to cancel.
  [[nodiscard]] std::vector<std::shared_ptr<PendingRequest>> EndAtLost();

  /// Drops all slots, whose handlers can no longer respond. Returns the requests still being
  /// served, for the caller to cancel.
  [[nodiscard]] std::vector<std::shared_ptr<PendingRequest>> Close();

  /// The requests that are still being served.
  [[nodiscard]] std::vector<std::shared_ptr<PendingRequest>> Running() const;

  /// True if no response is being waited for or waits.
  [[nodiscard]] bool empty() const noexcept { return slots_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return slots_.size(); }
  /// Number of requests that have not been answered.
  [[nodiscard]] std::size_t open() const noexcept;
  /// Number of responses that wait for those before them.
  [[nodiscard]] std::size_t waiting() const noexcept { return slots_.size() - open(); }
  /// Bytes of the responses that wait.
  [[nodiscard]] std::size_t waiting_bytes() const noexcept;
  /// Bytes of the requests that have not been answered.
  [[nodiscard]] std::size_t request_bytes() const noexcept;
  /// True if a further request may run beside all that have not been answered.
  [[nodiscard]] bool AllMayRunBeside() const;

 private:
  /// Drops the slots from `first` on.
  [[nodiscard]] std::vector<std::shared_ptr<PendingRequest>> Drop(std::size_t first);

  std::vector<std::shared_ptr<ResponseSlot>> slots_;
  bool ended_ = false;
};

}  // namespace vanilladeck::gateway

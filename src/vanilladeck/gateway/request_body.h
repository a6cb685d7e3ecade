#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "vanilladeck/core/byte_budget.h"

namespace vanilladeck::gateway {

/// Body of a client request that is passed on to a server while it arrives: a bounded queue between
/// the session that reads it and the connection that writes it. Single-threaded.
///
/// The first part can be sent to several servers, one after the other, until bytes after it were
/// taken. Then it is freed, and the request can't be sent again.
class RequestBody {
 public:
  /// Bodies up to this size are read whole before their request is handled, as they need no more
  /// memory than a few connections. It is the limit of a policy that states none.
  static constexpr std::size_t kWholeBytes = 1U << 20U;
  /// Bytes that wait to be written to the server before the client is no longer read: enough for
  /// 50 Mbit/s at a round trip of 10 ms.
  static constexpr std::size_t kQueueBytes = 65536;
  /// Largest number of bytes of one `Append`.
  static constexpr std::size_t kMaxAppend = 8192;

  /// Charges both budgets for all memory that the body will need at once; null if it doesn't fit
  /// into one of them. `share` limits all bodies that are passed on together, so that they leave
  /// room for other messages. `length` is none for a body in chunks.
  [[nodiscard]] static std::shared_ptr<RequestBody> Create(const core::ByteBudgetPtr& messages,
                                                           const core::ByteBudgetPtr& share,
                                                           std::string first_part,
                                                           std::optional<std::uint64_t> length);

  /// For the session. `Append` takes bytes also when the queue is full.
  void Append(std::string_view bytes);
  /// The last byte has been appended.
  void End();
  /// The rest can't be read; the client gets `status`.
  void Break(unsigned status);
  [[nodiscard]] bool full() const noexcept { return queue_.size() >= kQueueBytes; }
  /// `on_space` runs once, when the queue is emptied.
  void AwaitSpace(std::function<void()> on_space) { on_space_ = std::move(on_space); }

  /// For the request. `on_broken` runs with the status for the client.
  void OnBroken(std::function<void(unsigned)> on_broken) { on_broken_ = std::move(on_broken); }

  /// For the connection. `on_bytes` runs once, when bytes are appended or the body ends. Null if
  /// the connection no longer waits.
  void AwaitBytes(std::function<void()> on_bytes) { on_bytes_ = std::move(on_bytes); }
  /// The bytes after the first part that have arrived and weren't taken.
  [[nodiscard]] std::string Take();
  /// True if all bytes have been taken.
  [[nodiscard]] bool ended() const noexcept { return ended_ && queue_.empty(); }

  /// Null after bytes that follow it were taken.
  [[nodiscard]] const std::shared_ptr<const std::string>& first_part() const noexcept {
    return first_part_;
  }
  /// Size of the whole body; none if it is sent in chunks.
  [[nodiscard]] std::optional<std::uint64_t> length() const noexcept { return length_; }

 private:
  RequestBody(const core::ByteBudgetPtr& messages, const core::ByteBudgetPtr& share,
              std::string first_part, std::optional<std::uint64_t> length);
  [[nodiscard]] bool Reserve(std::size_t bytes);

  core::ByteBudget::Account account_;
  core::ByteBudget::Account share_;
  std::shared_ptr<const std::string> first_part_;
  std::optional<std::uint64_t> length_;
  std::string queue_;
  bool ended_ = false;
  std::function<void()> on_space_;
  std::function<void()> on_bytes_;
  std::function<void(unsigned)> on_broken_;
};

using RequestBodyPtr = std::shared_ptr<RequestBody>;

/// Numbers of requests whose bodies are passed on while they arrive, by service.
///
/// A server may hold a slot for such a request as long as its client likes, so that clients that
/// stop midway would take all slots from others.
class StreamCounts {
 public:
  /// Counts one more until the result is released; null if there are `limit` already.
  [[nodiscard]] std::shared_ptr<void> TryAcquire(const std::string& service, std::uint32_t limit);

 private:
  std::unordered_map<std::string, std::shared_ptr<std::uint32_t>> counts_;
};

}  // namespace vanilladeck::gateway

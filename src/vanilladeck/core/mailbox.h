#pragma once

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace vanilladeck::core {

/// Bounded multi-producer, single-consumer queue between threads.
///
/// `TryPush` never blocks: it fails when the mailbox is full, and the producer must reject or drop
/// the work. The wake callback runs on the producer's thread when the consumer may be idle; it
/// usually posts `Drain` to the consumer's event loop.
template <class T>
class Mailbox {
 public:
  Mailbox(std::size_t capacity, std::function<void()> wake)
      : queue_(capacity), wake_(std::move(wake)) {}

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  ~Mailbox() {
    Drain([](T) {});
  }

  /// Returns false, leaving `item` unqueued, when the mailbox is full.
  [[nodiscard]] bool TryPush(T item) {
    auto node = std::make_unique<T>(std::move(item));
    if (!queue_.bounded_push(node.get())) return false;
    (void)node.release();  // NOLINT(bugprone-unused-return-value): the queue owns the node now
    if (!wake_pending_.exchange(true)) wake_();
    return true;
  }

  /// Passes every queued item to `consume`. Call on the consumer's thread only.
  template <class F>
  void Drain(F&& consume) {
    wake_pending_.store(false);
    T* raw = nullptr;
    while (queue_.pop(raw)) {
      std::unique_ptr<T> node(raw);
      consume(std::move(*node));
    }
  }

 private:
  boost::lockfree::queue<T*> queue_;
  std::function<void()> wake_;
  std::atomic<bool> wake_pending_{false};
};

}  // namespace vanilladeck::core

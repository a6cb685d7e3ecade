#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::daemon {

/// Lets coroutines of one thread wait for replies from another thread, matched by id.
template <class T>
class PendingReplies {
 public:
  explicit PendingReplies(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

  /// Waits for the reply to `id`; none if it does not arrive before `deadline`.
  [[nodiscard]] boost::asio::awaitable<std::optional<T>> Wait(std::uint64_t id,
                                                              core::TimePoint deadline) {
    Waiter waiter{core::Timer(executor_, deadline), std::nullopt};
    waiters_[id] = &waiter;
    co_await waiter.timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    waiters_.erase(id);
    co_return std::move(waiter.value);
  }

  /// Completes the wait for `id`; false, leaving `value` unchanged, if there is no such wait.
  [[nodiscard]] bool Resolve(std::uint64_t id, T& value) {
    const auto it = waiters_.find(id);
    if (it == waiters_.end() || it->second->value) return false;
    it->second->value = std::move(value);
    it->second->timer.cancel();
    return true;
  }

 private:
  struct Waiter {
    core::Timer timer;
    std::optional<T> value;
  };

  boost::asio::any_io_executor executor_;
  std::unordered_map<std::uint64_t, Waiter*> waiters_;
};

}  // namespace vanilladeck::daemon

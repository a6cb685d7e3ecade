#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::gateway {

/// Timer queue: multiplexes deadlines onto one timer, so that a deadline needs no system call of
/// its own.
class Deadlines {
 public:
  using Id = std::uint64_t;

  explicit Deadlines(boost::asio::io_context& context) : timer_(context) {}
  Deadlines(const Deadlines&) = delete;
  Deadlines& operator=(const Deadlines&) = delete;

  /// Schedules `action` to run once, at `when` or shortly after. Returned ids are never 0.
  Id Add(core::TimePoint when, std::function<void()> action);

  /// Cancels an action and sets `id` to 0; has no other effect if `id` is 0 or its action has run.
  void Remove(Id& id);

 private:
  void Arm();
  void Run();

  core::Timer timer_;
  std::map<std::pair<core::TimePoint, Id>, std::function<void()>> queue_;
  std::map<Id, core::TimePoint> when_;
  Id next_id_ = 1;
  core::TimePoint armed_ = core::TimePoint::max();
};

/// Shared by the connections, because those that are destroyed with the I/O context outlive all
/// other owners.
using DeadlinesPtr = std::shared_ptr<Deadlines>;

}  // namespace vanilladeck::gateway

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::gateway {

/// Many deadlines on one timer, so that a deadline costs no system call of its own.
class Deadlines {
 public:
  using Id = std::uint64_t;

  explicit Deadlines(boost::asio::io_context& context) : timer_(context) {}
  Deadlines(const Deadlines&) = delete;
  Deadlines& operator=(const Deadlines&) = delete;

  /// Runs `action` once at `when` or shortly after. Ids are never 0.
  Id Add(core::TimePoint when, std::function<void()> action);

  /// Takes an action back and sets `id` to 0; nothing happens for 0 or one that has run.
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

/// Connections own the deadlines together: the ones that end with the I/O context outlive everybody
/// else.
using DeadlinesPtr = std::shared_ptr<Deadlines>;

}  // namespace vanilladeck::gateway

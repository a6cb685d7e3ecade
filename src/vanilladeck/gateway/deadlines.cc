#include "vanilladeck/gateway/deadlines.h"

namespace vanilladeck::gateway {

Deadlines::Id Deadlines::Add(core::TimePoint when, std::function<void()> action) {
  const Id id = next_id_++;
  queue_.emplace(std::pair(when, id), std::move(action));
  when_.emplace(id, when);
  Arm();
  return id;
}

void Deadlines::Remove(Id& id) {
  const auto it = when_.find(id);
  if (it != when_.end()) {
    queue_.erase({it->second, id});
    when_.erase(it);
  }
  id = 0;
}

void Deadlines::Arm() {
  if (queue_.empty()) return;
  const core::TimePoint first = queue_.begin()->first.first;
  // The timer may expire for a removed deadline; rescheduling it on each removal would cost more.
  if (first >= armed_) return;
  armed_ = first;
  timer_.expires_at(first);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Run();
  });
}

void Deadlines::Run() {
  armed_ = core::TimePoint::max();
  const core::TimePoint now = core::RuntimeClock::now();
  while (!queue_.empty() && queue_.begin()->first.first <= now) {
    const auto first = queue_.begin();
    const std::function<void()> action = std::move(first->second);
    when_.erase(first->first.second);
    queue_.erase(first);
    try {
      action();
    } catch (...) {
      // The remaining deadlines must still run.
      Arm();
      throw;
    }
  }
  Arm();
}

}  // namespace vanilladeck::gateway

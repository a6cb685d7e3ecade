#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "vanilladeck/gateway/gateway.h"

/// A planned stop, by `StopSchedule`.
namespace vanilladeck::gateway {

using telemetry::StreamEvent;

void Gateway::BeginDrain(std::function<void()> stopped) {
  if (context_.stop) return;
  const StopSchedule& stop = context_.stop.emplace(core::RuntimeClock::now(), settings_.stop_grace);
  on_stopped_ = std::move(stopped);
  registration_.Withdraw();
  clients_.group().closing = true;
  events_.Write(StreamEvent::kDrain, {{"sessions", clients_.group().sessions.size()}});
  UpdateReadiness();
  SendStoreCalls();
  // Ticks are too far apart for these two.
  context_.deadlines->Add(stop.answers_by(), [this] { DrainTick(); });
  context_.deadlines->Add(stop.exit_at(), [this] { DrainTick(); });
}

void Gateway::DrainTick() {
  if (stopped_) return;
  const core::TimePoint now = core::RuntimeClock::now();
  const StopSchedule& stop = *context_.stop;
  if (now >= stop.listen_until()) clients_.Close();
  auto& open = clients_.group().sessions;
  const std::vector<std::shared_ptr<ClientSession>> sessions = clients_.Sessions();
  if (now >= stop.idle_from()) {
    for (const auto& it : sessions) it->CloseIfIdle(stop.MinIdle(now));
  }
  if (now >= stop.answers_by()) {
    for (const auto& it : sessions) it->AnswerAll();
  }
  const bool finished = now >= stop.listen_until() && open.empty();
  if (!finished && now < stop.exit_at()) return;
  stopped_ = true;
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - stop.began());
  events_.Write(StreamEvent::kStop, {{"sessions_left", open.size()}, {"ms", since.count()}});
  events_.Flush();
  if (on_stopped_) on_stopped_();
}

}  // namespace vanilladeck::gateway

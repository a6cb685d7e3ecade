#include "vanilladeck/gateway/event_loop.h"

#include <exception>
#include <nlohmann/json.hpp>

namespace vanilladeck::gateway {
namespace {

constexpr int kMaxFailures = 50;  // Within one window.
constexpr core::Duration kFailureWindow = std::chrono::seconds(10);

}  // namespace

void RunEventLoop(boost::asio::io_context& context, telemetry::EventStream& events) {
  int failures = 0;
  core::TimePoint window_began;
  for (;;) {
    try {
      context.run();
      return;
    } catch (const std::exception& error) {
      events.Write(telemetry::StreamEvent::kHandlerFailed, {{"error", error.what()}});
      const core::TimePoint now = core::RuntimeClock::now();
      if (now - window_began > kFailureWindow) {
        window_began = now;
        failures = 0;
      }
      if (++failures > kMaxFailures) throw;
    }
  }
}

}  // namespace vanilladeck::gateway

#include "vanilladeck/daemon/serving.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>
#include <utility>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_probe.h"
#include "vanilladeck/daemon/serving_router.h"
#include "vanilladeck/telemetry/event.h"

namespace vanilladeck::daemon {
namespace {

// One second of messages at the rates given in docs/design.md.
constexpr std::size_t kMailboxCapacity = 16'384;
constexpr core::Duration kTickPeriod = std::chrono::milliseconds(2);
constexpr core::Duration kHousekeepingPeriod = std::chrono::milliseconds(50);
constexpr core::Duration kFlushPeriod = std::chrono::seconds(1);
constexpr core::Duration kDrainPoll = std::chrono::milliseconds(20);
// Time for the drain to propagate to other instances, whose lookup responses also list this one.
constexpr core::Duration kDrainPropagationTime = std::chrono::seconds(1);

admission::ConnectionHealth MakeConnectionHealth() {
  // `Create` only requires positive limits, and the defaults are.
  return admission::ConnectionHealth::Create(admission::ConnectionHealthSettings{}).value();
}

std::string FormatAddress(const std::string& ip, std::uint16_t port) {
  return ListenAddress{ip, port}.ToString();
}

}  // namespace

class Serving::Impl {
 public:
  Impl(const Settings& settings, const core::InstanceId& self, core::Mailbox<ToControl>& control)
      : context(io, settings, self, control),
        mailbox(kMailboxCapacity, [this] { boost::asio::post(io, [this] { DrainMailbox(); }); }),
        connections(io.get_executor(),
                    {settings.limits.max_header_bytes, settings.limits.max_request_bytes},
                    MakeConnectionHealth()),
        queues(context),
        lookup(context),
        dispatcher(context, connections),
        forward(context),
        receiver(context, queues, dispatcher),
        operations(context),
        prober(context, queues),
        router({context, queues, lookup, dispatcher, forward, operations}) {}

  void Run() {
    boost::asio::co_spawn(io, TickLoop(), boost::asio::detached);
    listener->Start();
    telemetry::Log(telemetry::Event::kServingStarted, address);
    io.run();
    if (context.spans) (void)context.spans->Flush();
    telemetry::Log(telemetry::Event::kServingStopped, address);
  }

  void DrainMailbox() {
    mailbox.Drain([this](ToServing message) { std::visit([this](auto& it) { On(it); }, message); });
  }

  void On(SnapshotChanged& message);
  void On(ClaimAnswered& message) { operations.OnClaimAnswered(message); }
  void On(CompleteAnswered& message) { operations.OnCompleteAnswered(message); }
  void On(ForwardAnswered& message) { forward.OnForwardAnswered(message); }
  void On(ForwardArrived& message) { receiver.OnForwardArrived(std::move(message)); }
  void On(ForwardCancelled& message) { receiver.OnForwardCancelled(message); }
  void On(CreditsAnswered& message) { forward.OnCreditsAnswered(message); }
  void On(CreditsArrived& message) { receiver.OnCreditsArrived(message); }
  void On(DrainRequested& message);

  [[nodiscard]] boost::asio::awaitable<void> TickLoop();
  [[nodiscard]] boost::asio::awaitable<void> Drain();

  boost::asio::io_context io{1};
  ServingContext context;
  core::Mailbox<ToServing> mailbox;
  http::ConnectionPool connections;
  ServiceQueues queues;
  LookupResponder lookup;
  Dispatcher dispatcher;
  ForwardSender forward;
  ForwardReceiver receiver;
  OperationRunner operations;
  ServerProber prober;
  Router router;
  std::unique_ptr<http::CallerListener> listener;
  std::string address;
  std::thread thread;
};

void Serving::Impl::On(SnapshotChanged& message) {
  if (!message.snapshot) return;
  context.snapshot = std::move(message.snapshot);
  queues.ApplySnapshot();
  lookup.RebuildIfChanged();
  forward.ApplySnapshot();
  receiver.ApplySnapshot();
}

void Serving::Impl::On(DrainRequested& /*message*/) {
  if (context.draining) return;
  context.draining = true;
  telemetry::Log(telemetry::Event::kDrainStarted, address);
  lookup.RebuildIfChanged();
  boost::asio::co_spawn(io, Drain(), boost::asio::detached);
}

boost::asio::awaitable<void> Serving::Impl::TickLoop() {
  core::Timer timer(io);
  core::TimePoint next_housekeeping;
  core::TimePoint next_flush;
  for (;;) {
    timer.expires_after(kTickPeriod);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    const core::TimePoint now = core::RuntimeClock::now();
    queues.Tick(now);
    if (now >= next_housekeeping) {
      next_housekeeping = now + kHousekeepingPeriod;
      connections.Check();
      prober.Tick(now);
    }
    if (now >= next_flush && context.spans) {
      next_flush = now + kFlushPeriod;
      if (!context.spans->Flush()) {
        telemetry::Log(telemetry::Event::kSpansFileFailed, context.settings.telemetry.spans_file);
        context.spans.reset();
      }
    }
  }
}

boost::asio::awaitable<void> Serving::Impl::Drain() {
  core::Timer timer(io);
  listener->CloseAfterResponses();
  core::Duration drain_timeout = config::Policy{}.drain_timeout;
  if (context.HasConfiguration()) {
    const config::Deployment& deployment = *context.snapshot->deployment;
    drain_timeout = deployment.policy.drain_timeout;
    timer.expires_after(deployment.lookup_ttl + kDrainPropagationTime);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  listener->StopAccepting();
  const core::TimePoint deadline = core::RuntimeClock::now() + drain_timeout;
  const auto busy = [this] {
    return listener->connections() > 0 || receiver.active_requests() > 0;
  };
  while (busy() && core::RuntimeClock::now() < deadline) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  telemetry::Log(busy() ? telemetry::Event::kDrainTimedOut : telemetry::Event::kDrainFinished,
                 address);
  (void)context.PostToControl(Drained{});
  io.stop();
}

core::Result<std::unique_ptr<Serving>, ServingError> Serving::Create(
    const Settings& settings, const core::InstanceId& self, core::Mailbox<ToControl>& control) {
  auto impl = std::make_unique<Impl>(settings, self, control);
  const ListenAddress& callers = settings.listen.callers;
  const http::ListenerLimits limits{settings.limits.max_header_bytes,
                                    settings.limits.max_request_bytes,
                                    settings.limits.max_connections};
  auto listener =
      http::CallerListener::Create(impl->io, callers.ip, callers.port, limits, impl->router);
  if (listener.has_error()) {
    telemetry::Log(telemetry::Event::kServingRefused,
                   callers.ToString() + ": " + listener.error().detail);
    return ServingError{callers.ToString(), listener.error().detail};
  }
  impl->listener = std::move(listener.value());
  impl->address = FormatAddress(callers.ip, impl->listener->port());
  return std::unique_ptr<Serving>(new Serving(std::move(impl)));
}

Serving::Serving(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Serving::~Serving() {
  Stop();
  Join();
}

bool Serving::Post(ToServing message) { return impl_->mailbox.TryPush(std::move(message)); }

void Serving::Start() {
  impl_->thread = std::thread([impl = impl_.get()] { impl->Run(); });
}

void Serving::Stop() { impl_->io.stop(); }

void Serving::Join() {
  if (impl_->thread.joinable()) impl_->thread.join();
}

const std::string& Serving::caller_address() const noexcept { return impl_->address; }

}  // namespace vanilladeck::daemon

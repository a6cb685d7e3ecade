#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/mailbox.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/daemon/messages.h"
#include "vanilladeck/daemon/settings.h"
#include "vanilladeck/http/header_fields.h"
#include "vanilladeck/http/problem.h"
#include "vanilladeck/telemetry/metrics.h"
#include "vanilladeck/telemetry/span.h"

namespace vanilladeck::daemon {

/// State shared by the components of the serving thread. Not thread-safe.
class ServingContext {
 public:
  ServingContext(boost::asio::io_context& io_context, Settings daemon_settings,
                 core::InstanceId self_id, core::Mailbox<ToControl>& control);

  /// Posts to the control thread; logs and returns false if its mailbox is full.
  [[nodiscard]] bool PostToControl(ToControl message);

  /// Unique id that matches a reply to its request.
  [[nodiscard]] std::uint64_t NextId() noexcept { return next_id_++; }

  /// Unique value for a `Request-Id` header.
  [[nodiscard]] std::string NextRequestId();

  [[nodiscard]] bool HasConfiguration() const noexcept {
    return snapshot && snapshot->config_version > 0 && snapshot->deployment;
  }

  /// Time at which the seats held by this instance expire.
  [[nodiscard]] core::TimePoint SeatsValidUntil() const noexcept;

  /// Region of the own failure domain; empty if the deployment does not list the domain.
  [[nodiscard]] std::string OwnRegion() const;

  /// Sets the end time of `span` and writes it.
  void FinishSpan(telemetry::Span& span);

  boost::asio::io_context& io;
  const Settings settings;
  const core::InstanceId self;
  telemetry::Metrics metrics;
  std::unique_ptr<telemetry::SpanWriter> spans;
  std::shared_ptr<const Snapshot> snapshot;
  bool draining = false;

 private:
  core::Mailbox<ToControl>& control_;
  std::uint64_t next_id_ = 1;
};

/// Cancels a request at whichever asynchronous operation it is waiting for.
class Cancellation {
 public:
  void Cancel() {
    cancelled_ = true;
    if (action_) std::exchange(action_, nullptr)();
  }

  /// Sets the handler that aborts the current wait; null between waits.
  void OnCancel(std::function<void()> action) { action_ = std::move(action); }

  [[nodiscard]] bool cancelled() const noexcept { return cancelled_; }

 private:
  std::function<void()> action_;
  bool cancelled_ = false;
};

/// A validated service request.
struct RoutedRequest {
  std::string service;
  std::string method;
  std::string target;  ///< Path and query sent to the backend server.
  http::HeaderList headers;
  std::string body;
  core::Rank rank = core::Rank::kNormal;
  core::TimePoint deadline;
  bool idempotent = true;
  std::string client;
  std::string key;  ///< `Idempotency-Key`; set for non-idempotent requests only.
  telemetry::TraceContext trace;
};

using RouteResult = core::Result<http::Response, http::Problem>;

/// Any response of a backend server, including HTTP errors, counts as run.
[[nodiscard]] inline core::Outcome OutcomeOf(const RouteResult& result) {
  return result.has_value() ? core::Outcome::kRan : result.error().outcome;
}

}  // namespace vanilladeck::daemon

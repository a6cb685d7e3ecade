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

/// What the parts of the serving thread share; used on that thread only.
class ServingContext {
 public:
  ServingContext(boost::asio::io_context& io_context, Settings daemon_settings,
                 core::InstanceId self_id, core::Mailbox<ToControl>& control);

  /// Posts to the control thread; false, with a log event, when its mailbox is full.
  [[nodiscard]] bool Tell(ToControl message);

  /// Pairs a question with its answer.
  [[nodiscard]] std::uint64_t NextId() noexcept { return next_id_++; }

  /// Unique value of the `Request-Id` header.
  [[nodiscard]] std::string NextRequestId();

  [[nodiscard]] bool HasConfiguration() const noexcept {
    return snapshot && snapshot->config_version > 0 && snapshot->deployment;
  }

  /// End of the hold of the seats.
  [[nodiscard]] core::TimePoint SeatsValidUntil() const noexcept;

  /// Region of the own failure domain; empty when the deployment does not name the domain.
  [[nodiscard]] std::string OwnRegion() const;

  void Record(telemetry::Span& span);

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

/// Lets the owner of a request abandon it wherever it waits.
class Cancellation {
 public:
  void Cancel() {
    cancelled_ = true;
    if (action_) std::exchange(action_, nullptr)();
  }

  /// Sets what ends the present wait; null between waits.
  void OnCancel(std::function<void()> action) { action_ = std::move(action); }

  [[nodiscard]] bool cancelled() const noexcept { return cancelled_; }

 private:
  std::function<void()> action_;
  bool cancelled_ = false;
};

/// A checked request on its way to a backend server.
struct RoutedRequest {
  std::string service;
  std::string method;
  std::string target;  ///< Path and query as the backend server sees them.
  http::HeaderList headers;
  std::string body;
  core::Rank rank = core::Rank::kNormal;
  core::TimePoint deadline;
  bool idempotent = true;
  std::string client;
  std::string key;  ///< `Idempotency-Key`; set when not idempotent.
  telemetry::TraceContext trace;
};

using RouteResult = core::Result<http::Response, http::Problem>;

/// Outcome of a request that a backend server answered; the answer may still be an HTTP error.
[[nodiscard]] inline core::Outcome OutcomeOf(const RouteResult& result) {
  return result.has_value() ? core::Outcome::kRan : result.error().outcome;
}

}  // namespace vanilladeck::daemon

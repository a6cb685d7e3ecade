#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/mailbox.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/daemon/messages.h"
#include "vanilladeck/daemon/settings.h"

namespace vanilladeck::daemon {

/// Failure to open the callers' listener.
struct ServingError {
  std::string address;
  std::string detail;
};

/// Owns the serving thread: callers' listener, admission and connections to backend servers.
///
/// Service requests are rejected until a `SnapshotChanged` with a configuration version above 0
/// arrives. After `DrainRequested` the thread completes the requests in flight, up to the drain
/// timeout, posts `Drained` and exits.
class Serving {
 public:
  /// Opens the callers' listener; `control` must outlive the returned object.
  [[nodiscard]] static core::Result<std::unique_ptr<Serving>, ServingError> Create(
      const Settings& settings, const core::InstanceId& self, core::Mailbox<ToControl>& control);

  Serving(const Serving&) = delete;
  Serving& operator=(const Serving&) = delete;

  /// Stops the thread without draining if it is still running.
  ~Serving();

  /// Queues a message for the serving thread; false if the queue is full. Thread-safe.
  [[nodiscard]] bool Post(ToServing message);

  void Start();

  /// Stops the thread immediately and aborts requests in flight. Thread-safe.
  void Stop();

  /// Waits until the thread has exited.
  void Join();

  /// "IP:port" of the callers' listener, with the port assigned by the system if 0 was configured.
  [[nodiscard]] const std::string& caller_address() const noexcept;

 private:
  class Impl;
  explicit Serving(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace vanilladeck::daemon

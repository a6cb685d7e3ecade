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

/// The callers' listener could not be opened.
struct ServingError {
  std::string address;
  std::string detail;
};

/// The serving thread: callers' listener, admission and connections to backend servers.
///
/// It serves nothing until a `SnapshotChanged` with a configuration version above 0 arrives. After
/// `DrainRequested` it finishes its work, posts `Drained` and ends by itself.
class Serving {
 public:
  /// Opens the callers' listener; `control` must outlive the returned object.
  [[nodiscard]] static core::Result<std::unique_ptr<Serving>, ServingError> Create(
      const Settings& settings, const core::InstanceId& self, core::Mailbox<ToControl>& control);

  Serving(const Serving&) = delete;
  Serving& operator=(const Serving&) = delete;

  /// Stops without draining when the thread still runs.
  ~Serving();

  /// Queues a message for the serving thread; thread-safe. Returns false when the queue is full.
  [[nodiscard]] bool Post(ToServing message);

  void Start();

  /// Ends the thread at once, cutting requests in flight; thread-safe.
  void Stop();

  /// Waits for the end of the thread.
  void Join();

  /// "IP:port" of the callers' listener, with the port that the system picked.
  [[nodiscard]] const std::string& caller_address() const noexcept;

 private:
  class Impl;
  explicit Serving(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace vanilladeck::daemon

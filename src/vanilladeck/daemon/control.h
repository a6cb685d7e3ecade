#pragma once

#include <functional>
#include <memory>
#include <string>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/core/mailbox.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/daemon/messages.h"
#include "vanilladeck/daemon/settings.h"

namespace vanilladeck::daemon {

/// A listener or client of the control thread could not be opened.
struct ControlError {
  std::string part;  ///< "peers", "operators" or "platform"
  std::string address;
  std::string reason;
};

/// The control thread: store access, configuration, membership, seats, operation records and the
/// operators' listener.
class Control {
 public:
  /// Posts a message to the serving thread; returns false when its mailbox is full.
  using PostToServing = std::function<bool(ToServing)>;

  /// Opens the peers' and operators' listeners.
  [[nodiscard]] static core::Result<std::unique_ptr<Control>, ControlError> Create(
      const Settings& settings, const core::InstanceId& self);

  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;
  ~Control();

  /// Mailbox for messages from the serving thread; valid as long as this object.
  [[nodiscard]] core::Mailbox<ToControl>& mailbox() noexcept;

  /// Starts the thread. `caller_address` is the address that lookup responses return.
  void Start(const std::string& caller_address, PostToServing post);

  /// Starts the graceful shutdown; thread-safe. The thread ends once seats and shard are released.
  void Drain();

  void Join();

 private:
  class Impl;
  explicit Control(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace vanilladeck::daemon

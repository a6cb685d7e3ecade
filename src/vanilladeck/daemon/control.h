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

/// A part of the control thread could not be set up.
struct ControlError {
  std::string part;  ///< "peers", "operators" or "platform"
  std::string address;
  std::string reason;
};

/// The control thread: store, configuration, membership, seats, operation records, operators.
class Control {
 public:
  /// Posts to the serving thread; false when its mailbox is full.
  using PostToServing = std::function<bool(ToServing)>;

  /// Opens the peers' and operators' listeners.
  [[nodiscard]] static core::Result<std::unique_ptr<Control>, ControlError> Create(
      const Settings& settings, const core::InstanceId& self);

  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;
  ~Control();

  /// Where the serving thread posts to; valid as long as this object.
  [[nodiscard]] core::Mailbox<ToControl>& mailbox() noexcept;

  /// Starts the thread. `caller_address` is the address that lookup responses name.
  void Start(const std::string& caller_address, PostToServing post);

  /// Begins the graceful shutdown; thread-safe. The thread ends when everything is released.
  void Drain();

  void Join();

 private:
  class Impl;
  explicit Control(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace vanilladeck::daemon

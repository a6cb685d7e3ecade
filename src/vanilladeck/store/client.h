#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "vanilladeck/core/result.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::store {

namespace impl {
class Pool;
}  // namespace impl

struct ClientSettings {
  std::string address;        ///< "IP:port" of the platform's HTTP API.
  std::string token;          ///< Sent as X-Consul-Token; never logged. Empty: not sent.
  std::string local_address;  ///< Source IP of connections. Empty: chosen by the system.
  std::size_t max_in_flight = 32;
  std::size_t max_waiting = 256;  ///< Calls queued beyond `max_in_flight`.
  std::size_t max_watches = 16;   ///< Watches have their own limit, since they block for long.
  std::chrono::milliseconds timeout{2000};  ///< From `Call` to the response; a watch adds its wait.
};

using StoreCallback = std::function<void(StoreResult)>;
using RegisterCallback = std::function<void(core::Result<void, StoreError>)>;

/// Asynchronous client of the platform's HTTP API (Consul subset) over keep-alive connections.
///
/// Not thread-safe: use it only on the thread that runs `context`. Each callback runs there exactly
/// once, never from within `Call`. A call that fails before its first byte was passed to the kernel
/// fails with `kUnavailable`, a later failure is `kOutcomeUnknown`. The client does not retry.
/// Destroying it closes its connections; pending callbacks still run, with one of these errors.
class Client {
 public:
  /// Fails with `kProtocol` if an address is malformed; `key` contains the address.
  [[nodiscard]] static core::Result<Client, StoreError> Create(boost::asio::io_context& context,
                                                               const ClientSettings& settings);
  Client(Client&&) noexcept = default;
  Client& operator=(Client&&) = delete;
  ~Client();

  void Call(const Request& request, StoreCallback done);

  /// Registers this process in the instance list, or renews its entry.
  ///
  /// The platform removes the entry `ttl` after the last registration; a zero `ttl` keeps it until
  /// it is deregistered.
  void RegisterInstance(const ListedInstance& instance, std::chrono::seconds ttl,
                        RegisterCallback done);
  void DeregisterInstance(const ListedInstance& instance, RegisterCallback done);

  /// Number of unfinished calls, including queued ones and watches.
  [[nodiscard]] std::size_t pending() const noexcept;

 private:
  explicit Client(std::shared_ptr<impl::Pool> pool) noexcept;

  std::shared_ptr<impl::Pool> pool_;
};

}  // namespace vanilladeck::store

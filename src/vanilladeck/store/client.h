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
  std::size_t max_waiting = 256;  ///< Calls beyond `max_in_flight` that wait for their turn.
  std::size_t max_watches = 16;   ///< Watches are counted apart: they block for long.
  std::chrono::milliseconds timeout{2000};  ///< From `Call` to the answer; a watch adds its wait.
};

using StoreCallback = std::function<void(StoreResult)>;
using RegisterCallback = std::function<void(core::Result<void, StoreError>)>;

/// Asynchronous client of the platform's HTTP API (Consul subset) over keep-alive connections.
///
/// Use it on the thread that runs `context` only. Each callback runs there exactly once, never
/// from within `Call`. A call that fails before its first byte was handed to the kernel is
/// `kUnavailable`; one that fails later is `kOutcomeUnknown`. Nothing is repeated by the client.
/// Destroying the client closes its connections; the pending callbacks then still run with one of
/// these errors.
class Client {
 public:
  /// Fails with `kProtocol` when an address is malformed; `key` names it.
  [[nodiscard]] static core::Result<Client, StoreError> Create(boost::asio::io_context& context,
                                                               const ClientSettings& settings);
  Client(Client&&) noexcept = default;
  Client& operator=(Client&&) = delete;
  ~Client();

  void Call(const Request& request, StoreCallback done);

  /// Registers the own process in the instance list, or renews its entry.
  ///
  /// The platform drops the entry `ttl` after the last registration; zero keeps it until it is
  /// deregistered.
  void RegisterInstance(const ListedInstance& instance, std::chrono::seconds ttl,
                        RegisterCallback done);
  void DeregisterInstance(const ListedInstance& instance, RegisterCallback done);

  /// Calls in flight, waiting ones and watches included.
  [[nodiscard]] std::size_t pending() const noexcept;

 private:
  explicit Client(std::shared_ptr<impl::Pool> pool) noexcept;

  std::shared_ptr<impl::Pool> pool_;
};

}  // namespace vanilladeck::store

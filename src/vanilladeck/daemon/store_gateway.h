#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "vanilladeck/store/call_budget.h"
#include "vanilladeck/store/client.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::daemon {

/// The control thread's way to the store: every call is charged to this instance's call budget.
class StoreGateway {
 public:
  using Done = std::function<void(store::StoreResult)>;

  /// `instances` and `owners` are the configured numbers of entry instances and of shards, over
  /// which the store's rates are divided.
  StoreGateway(boost::asio::io_context& context, store::Client client, std::uint32_t instances,
               std::uint32_t owners);

  /// Divides the store's rates anew after a change of the configuration.
  void SetFleet(std::uint32_t instances, std::uint32_t owners);

  /// Calls `done` exactly once, never from within `Call`; kOverBudget when the class has no calls
  /// left.
  void Call(store::CallClass call_class, const store::Request& request, Done done);

  [[nodiscard]] store::Client& client() noexcept { return client_; }
  [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

 private:
  boost::asio::io_context& context_;
  store::Client client_;
  std::uint32_t instances_ = 0;
  std::uint32_t owners_ = 0;
  store::CallBudget budget_;
  std::uint64_t refused_ = 0;
};

}  // namespace vanilladeck::daemon

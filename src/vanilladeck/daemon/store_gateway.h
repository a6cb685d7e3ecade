#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "vanilladeck/store/call_budget.h"
#include "vanilladeck/store/client.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::daemon {

/// Store access of the control thread, limited by this instance's call budget.
class StoreGateway {
 public:
  using Done = std::function<void(store::StoreResult)>;

  /// `instances` and `owners` are the configured numbers of entry instances and of shards, among
  /// which the store's rate limits are divided.
  StoreGateway(boost::asio::io_context& context, store::Client client, std::uint32_t instances,
               std::uint32_t owners);

  /// Recomputes the call budget after a change of the configuration.
  void SetFleetSize(std::uint32_t instances, std::uint32_t owners);

  /// Calls `done` exactly once, never from within `Call`; with kOverBudget when the budget of the
  /// call class is exhausted.
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

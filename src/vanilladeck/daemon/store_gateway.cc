#include "vanilladeck/daemon/store_gateway.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::daemon {
namespace {

store::CallBudget MakeBudget(std::uint32_t instances, std::uint32_t owners) {
  store::BudgetOptions options;
  options.readers = std::max(1U, instances);
  options.writers = std::max(1U, owners);
  return store::CallBudget::Make(options, core::RuntimeClock::now()).value();
}

/// Key, prefix or service name reported in an error.
struct KeyOf {
  std::string operator()(const store::Get& call) const { return call.key; }
  std::string operator()(const store::List& call) const { return call.prefix; }
  std::string operator()(const store::CompareAndSwap& call) const { return call.key; }
  std::string operator()(const store::Watch& call) const { return call.key; }
  std::string operator()(const store::DeletePrefix& call) const { return call.prefix; }
  std::string operator()(const store::ListInstances& call) const { return call.service; }
};

store::CallKind KindOf(const store::Request& request) {
  const bool writes = std::holds_alternative<store::CompareAndSwap>(request) ||
                      std::holds_alternative<store::DeletePrefix>(request);
  return writes ? store::CallKind::kWrite : store::CallKind::kRead;
}

}  // namespace

StoreGateway::StoreGateway(boost::asio::io_context& context, store::Client client,
                           std::uint32_t instances, std::uint32_t owners)
    : context_(context),
      client_(std::move(client)),
      instances_(instances),
      owners_(owners),
      budget_(MakeBudget(instances, owners)) {}

void StoreGateway::SetFleetSize(std::uint32_t instances, std::uint32_t owners) {
  // A new budget starts empty, so it is replaced only when the numbers differ.
  if (instances == instances_ && owners == owners_) return;
  instances_ = instances;
  owners_ = owners;
  budget_ = MakeBudget(instances, owners);
}

void StoreGateway::Call(store::CallClass call_class, const store::Request& request, Done done) {
  if (budget_.TryTake(KindOf(request), call_class, core::RuntimeClock::now())) {
    client_.Call(request, std::move(done));
    return;
  }
  ++refused_;
  boost::asio::post(context_, [done = std::move(done), key = std::visit(KeyOf{}, request)] {
    done(store::StoreError{store::StoreErrorCode::kOverBudget, key});
  });
}

}  // namespace vanilladeck::daemon

#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_queue.h"

namespace vanilladeck::daemon {

/// Queues of the services that the current configuration places in the own failure domain.
class ServiceQueues {
 public:
  explicit ServiceQueues(ServingContext& context) : context_(context) {}

  void ApplySnapshot();

  /// Null if the service is not placed in the own failure domain. Requests keep the queue alive
  /// until they finish, even if a new configuration removes the service.
  [[nodiscard]] std::shared_ptr<ServiceQueue> Find(std::string_view service) const;

  void Tick(core::TimePoint now);

  [[nodiscard]] const std::map<std::string, std::shared_ptr<ServiceQueue>, std::less<>>& all()
      const noexcept {
    return queues_;
  }

 private:
  void ApplyDeployment();

  ServingContext& context_;
  std::shared_ptr<const config::Deployment> deployment_;
  std::map<std::string, std::shared_ptr<ServiceQueue>, std::less<>> queues_;
};

/// Null if the deployment does not contain the service.
[[nodiscard]] const config::Service* FindService(const config::Deployment& deployment,
                                                 std::string_view service);

}  // namespace vanilladeck::daemon

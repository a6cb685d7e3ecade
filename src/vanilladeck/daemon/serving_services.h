#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_queue.h"

namespace vanilladeck::daemon {

/// The services of the configuration in force that have servers in the own failure domain.
class ServiceQueues {
 public:
  explicit ServiceQueues(ServingContext& context) : context_(context) {}

  /// Applies the context's present snapshot.
  void Apply();

  /// Null when the service has no servers in the own domain. Requests hold the queue until they
  /// end, also when a new configuration drops the service.
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

/// Null when the deployment does not name the service.
[[nodiscard]] const config::Service* FindService(const config::Deployment& deployment,
                                                 std::string_view service);

}  // namespace vanilladeck::daemon

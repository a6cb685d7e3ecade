#include "vanilladeck/daemon/serving_services.h"

#include <algorithm>

namespace vanilladeck::daemon {
namespace {

std::uint32_t SeatCount(const config::Deployment& deployment, std::string_view domain) {
  for (const config::FailureDomain& candidate : deployment.failure_domains) {
    if (candidate.name == domain) return candidate.seats;
  }
  return 0;
}

}  // namespace

const config::Service* FindService(const config::Deployment& deployment, std::string_view service) {
  const auto it = std::find_if(deployment.services.begin(), deployment.services.end(),
                               [service](const auto& it) { return it.name == service; });
  return it == deployment.services.end() ? nullptr : &*it;
}

void ServiceQueues::ApplySnapshot() {
  if (!context_.HasConfiguration()) return;
  const Snapshot& snapshot = *context_.snapshot;
  if (deployment_ != snapshot.deployment) ApplyDeployment();
  const std::string& domain = context_.settings.failure_domain;
  for (const auto& [name, queue] : queues_) {
    std::vector<admission::ListedServer> servers;
    for (const store::ListedInstance& listed : snapshot.backend_servers) {
      if (listed.service != name || listed.failure_domain != domain) continue;
      servers.push_back({listed.address, listed.state == store::InstanceState::kLeaving});
    }
    queue->SetServers(servers, snapshot.seats, context_.SeatsValidUntil());
  }
}

void ServiceQueues::ApplyDeployment() {
  deployment_ = context_.snapshot->deployment;
  const std::string& domain = context_.settings.failure_domain;
  const std::uint32_t seats = SeatCount(*deployment_, domain);
  std::map<std::string, std::shared_ptr<ServiceQueue>, std::less<>> queues;
  for (const config::Service& service : deployment_->services) {
    for (const config::Place& place : service.places) {
      if (place.failure_domain != domain) continue;
      std::shared_ptr<ServiceQueue> queue = Find(service.name);
      if (queue) {
        queue->Configure(*deployment_, place, seats);
      } else {
        queue = ServiceQueue::Create(context_.io.get_executor(), service.name, *deployment_, place,
                                     seats);
      }
      if (queue) queues[service.name] = std::move(queue);
    }
  }
  queues_ = std::move(queues);
}

std::shared_ptr<ServiceQueue> ServiceQueues::Find(std::string_view service) const {
  const auto it = queues_.find(service);
  return it == queues_.end() ? nullptr : it->second;
}

void ServiceQueues::Tick(core::TimePoint now) {
  for (const auto& [name, queue] : queues_) queue->Tick(now);
}

}  // namespace vanilladeck::daemon

#include "vanilladeck/gateway/gateway_metrics.h"

#include <algorithm>

namespace vanilladeck::gateway {

void LatencyHistogram::Add(core::Duration latency) noexcept {
  const double seconds = std::chrono::duration<double>(latency).count();
  const auto it =
      std::lower_bound(kGatewayLatencyBounds.begin(), kGatewayLatencyBounds.end(), seconds);
  ++buckets[static_cast<std::size_t>(it - kGatewayLatencyBounds.begin())];
  sum_s += seconds;
  ++count;
}

void GatewayMetrics::CountRequest(const std::string& route, RequestEnd end,
                                  core::Duration latency) {
  RouteCounters& counters = routes[route];
  ++counters.ends[static_cast<std::size_t>(end)];
  counters.latency.Add(latency);
}

void GatewayMetrics::CountCustomer(const std::string& customer, RequestEnd end) {
  const bool counted = customers.size() < kMaxCountedCustomers || customers.count(customer) > 0;
  EndCounters& ends = customers[counted ? customer : std::string(kFurtherCustomers)];
  ++ends[static_cast<std::size_t>(end)];
}

}  // namespace vanilladeck::gateway

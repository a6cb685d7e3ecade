#include "vanilladeck/gateway/proxied_request.h"
#include "vanilladeck/gateway/proxied_request_impl.h"

/// Limit of the customer's requests over all instances.

namespace vanilladeck::gateway {

bool ProxiedRequest::AdmitByAllotment() {
  if (customer_ == nullptr || customer_->rate <= 0) return true;
  const auto admission = context_.allotments.Admit(customer_->name, core::RuntimeClock::now());
  if (admission.admitted) return true;
  retry_after_ = admission.retry_after;
  Answer(kTooManyRequests, RequestEnd::kOverAllotment, "allotment");
  return false;
}

}  // namespace vanilladeck::gateway

#include "vanilladeck/gateway/proxied_request.h"
#include "vanilladeck/gateway/proxied_request_impl.h"

/// The customer of a request, and the fields about it that servers see.

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;

}  // namespace

customers::Identity ProxiedRequest::IdentityBy(const steering::RouteTable& routes,
                                               const config::Route& route) const {
  customers::Credentials credentials(context_.names.key_scheme);
  const auto [first, last] = request_.equal_range(http::field::authorization);
  for (auto it = first; it != last; ++it) {
    credentials.Add({it->value().data(), it->value().size()});
  }
  return customers::Identify(routes.keys(), credentials, route.is_public);
}

bool ProxiedRequest::IdentifyCustomer() {
  const customers::Identity identity = IdentityBy(*routes_, *route_);
  customer_ = identity.customer;
  if (!identity.refusal) return true;
  RefuseKey(customers::kKeyRefusalNames[static_cast<std::size_t>(*identity.refusal)]);
  return false;
}

void ProxiedRequest::RefuseKey(std::string_view reason) {
  Answer(kUnauthorized, RequestEnd::kNoCustomer, reason);
}

bool ProxiedRequest::IsHiddenFromServers(const Request::value_type& field) const {
  // Without customers, the service may use both fields as it likes.
  if (!routes_->keys().keys_needed()) return false;
  // All credentials are dropped, because a key may stand in one that is misspelled.
  return field.name() == http::field::authorization ||
         boost::beast::iequals(field.name_string(), context_.names.customer_name);
}

}  // namespace vanilladeck::gateway

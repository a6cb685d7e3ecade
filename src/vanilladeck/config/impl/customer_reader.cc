#include "vanilladeck/config/impl/customer_reader.h"

#include <utility>

#include "vanilladeck/config/impl/route_reader.h"

namespace vanilladeck::config::impl {
namespace {

ConfigErrorCode CodeOf(CustomerFault fault) {
  switch (fault) {
    case CustomerFault::kName:
      return ConfigErrorCode::kInvalidName;
    case CustomerFault::kRepeatedName:
    case CustomerFault::kSharedKey:
      return ConfigErrorCode::kDuplicateName;
    case CustomerFault::kKey:
      break;
  }
  return ConfigErrorCode::kInvalidValue;
}

}  // namespace

void ReadCustomers(TableReader& root, Deployment& out, ErrorSink& sink) {
  CustomerChecker checker;
  for (const auto* table : root.Tables("customer", Presence::kOptional)) {
    TableReader reader(*table, "customer", sink);
    Customer customer;
    const auto name = reader.NameString("name");
    customer.name = name.value;
    const auto keys = reader.Strings("keys", Presence::kRequired);
    // A missing name or list of keys has been reported by the reader.
    const bool checkable = name.present && table->get("keys") != nullptr;
    for (const auto& key : keys) customer.keys.push_back(key.value);
    const auto priority = reader.Integer("priority", Presence::kOptional, kPriority);
    if (priority.present) customer.priority = static_cast<std::uint32_t>(priority.value);
    customer.rate = reader.Number("rate", Presence::kOptional, kNotNegative).value;
    customer.burst = reader.Number("burst", Presence::kOptional, kNotNegative).value;
    customer.allowed_regions = ReadAllowedRegions(reader, out, sink);
    reader.RejectUnknownKeys();
    if (checkable) {
      if (const auto error = checker.Add(customer)) {
        const SourcePosition at = error->key == 0 ? reader.At() : keys[error->key - 1].at;
        sink.Add(CodeOf(error->fault), at, error->message);
      }
    }
    out.customers.push_back(std::move(customer));
  }
}

}  // namespace vanilladeck::config::impl

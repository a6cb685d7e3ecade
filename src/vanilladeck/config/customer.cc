#include "vanilladeck/config/customer.h"

#include <utility>

namespace vanilladeck::config {
namespace {

/// Names and keys stand in header fields, where other bytes would end or alter the field.
bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

std::string LabelOf(std::string_view name, std::size_t number) {
  if (name.empty() || name.size() > kMaxCustomerNameBytes) {
    return "customer number " + std::to_string(number);
  }
  return "customer " + std::string(name);
}

CustomerError CustomerChecker::ErrorAt(std::string_view name, CustomerFault fault,
                                       const std::string& what) const {
  return {fault, 0, LabelOf(name, customers_) + ": " + what};
}

std::optional<CustomerError> CustomerChecker::Add(const Customer& customer) {
  ++customers_;
  const auto error = [&](CustomerFault fault, const std::string& what) {
    return ErrorAt(customer.name, fault, what);
  };
  if (customer.name.empty()) return error(CustomerFault::kName, "the name is empty");
  if (customer.name.size() > kMaxCustomerNameBytes) {
    return error(CustomerFault::kName,
                 "the name is longer than " + std::to_string(kMaxCustomerNameBytes) + " bytes");
  }
  if (!IsVisibleAscii(customer.name)) {
    return error(CustomerFault::kName, "the name is not visible ASCII");
  }
  if (!names_.insert(customer.name).second) {
    return error(CustomerFault::kRepeatedName, "the name is that of another customer");
  }
  for (std::size_t i = 0; i < customer.keys.size(); ++i) {
    auto fault = CheckKey(customer.keys[i], customer.name);
    if (!fault) continue;
    CustomerError found =
        error(fault->first, "key " + std::to_string(i + 1) + ' ' + std::move(fault->second));
    found.key = i + 1;
    return found;
  }
  return std::nullopt;
}

std::optional<std::pair<CustomerFault, std::string>> CustomerChecker::CheckKey(
    const std::string& key, const std::string& name) {
  if (key.empty()) return std::pair(CustomerFault::kKey, std::string("is empty"));
  if (key.size() > kMaxKeyBytes) {
    return std::pair(CustomerFault::kKey,
                     "is longer than " + std::to_string(kMaxKeyBytes) + " bytes");
  }
  if (!IsVisibleAscii(key)) {
    return std::pair(CustomerFault::kKey, std::string("is not visible ASCII"));
  }
  const auto [holder, added] = holders_.emplace(key, name);
  if (!added && holder->second != name) {
    return std::pair(CustomerFault::kSharedKey, "is also held by customer " + holder->second);
  }
  return std::nullopt;
}

}  // namespace vanilladeck::config

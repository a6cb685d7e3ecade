#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace vanilladeck::config {

/// A user of the system with keys and limits of its own.
struct Customer {
  std::string name;
  std::vector<std::string> keys;  ///< Each is held by one customer; empty: all were withdrawn.
  std::optional<std::uint32_t> priority;  ///< Takes precedence over that of a route.
  double rate = 0;   ///< Requests per second, summed over all instances; 0: no limit.
  double burst = 0;  ///< Requests in addition to `rate`.
  std::vector<std::string> allowed_regions;  ///< Empty: all regions.

  /// True if requests of this customer may be sent to servers in `region`.
  [[nodiscard]] bool AllowsRegion(std::string_view region) const noexcept {
    return allowed_regions.empty() || std::find(allowed_regions.begin(), allowed_regions.end(),
                                                region) != allowed_regions.end();
  }
};

/// As for the other names of a deployment text.
inline constexpr std::size_t kMaxCustomerNameBytes = 128;
/// Four times a 256-bit secret in hexadecimal digits; a longer text is taken for a mistake.
inline constexpr std::size_t kMaxKeyBytes = 256;

/// What is wrong with a customer.
enum class CustomerFault : std::uint8_t {
  kName,          ///< Empty, too long or not visible ASCII.
  kRepeatedName,  ///< Another customer has the same name.
  kKey,           ///< Empty, too long or not visible ASCII.
  kSharedKey,     ///< Another customer holds the same key.
};

struct CustomerError {
  CustomerFault fault = CustomerFault::kName;
  std::size_t key = 0;  ///< 1-based position of the wrong key; 0 if no single key is wrong.
  std::string message;  ///< Names the customer and the position of the key, never a key.
};

/// Text that names a customer in errors: its name, or its 1-based number among the customers if the
/// name is empty or too long for a log line.
[[nodiscard]] std::string LabelOf(std::string_view name, std::size_t number);

/// Checks the customers of one version of the configuration, one after the other.
class CustomerChecker {
 public:
  /// Returns the first error of the customer. A key that one customer lists twice is none, nor is
  /// an empty list: operators withdraw all keys of a customer by it.
  [[nodiscard]] std::optional<CustomerError> Add(const Customer& customer);

 private:
  [[nodiscard]] CustomerError ErrorAt(std::string_view name, CustomerFault fault,
                                      const std::string& what) const;
  [[nodiscard]] std::optional<std::pair<CustomerFault, std::string>> CheckKey(
      const std::string& key, const std::string& name);

  std::size_t customers_ = 0;
  std::unordered_set<std::string> names_;
  std::unordered_map<std::string, std::string> holders_;  ///< Name of the customer by key.
};

}  // namespace vanilladeck::config

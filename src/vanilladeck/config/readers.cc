#include "vanilladeck/config/readers.h"

#include <algorithm>
#include <utility>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::config {

std::vector<std::string> ChooseReaders(std::string_view failure_domain,
                                       const std::vector<std::string>& instances) {
  std::vector<std::pair<std::uint64_t, std::string>> ordered;
  ordered.reserve(instances.size());
  const auto seed = core::Hash64(failure_domain);
  for (const auto& instance : instances) {
    ordered.emplace_back(core::Hash64(instance, seed), instance);
  }
  std::sort(ordered.begin(), ordered.end());
  ordered.erase(std::unique(ordered.begin(), ordered.end()), ordered.end());
  std::vector<std::string> readers;
  for (std::size_t i = 0; i < std::min(kReadersPerDomain, ordered.size()); ++i) {
    readers.push_back(std::move(ordered[i].second));
  }
  return readers;
}

bool IsReader(std::string_view failure_domain, const std::vector<std::string>& instances,
              std::string_view self) {
  const auto readers = ChooseReaders(failure_domain, instances);
  return std::find(readers.begin(), readers.end(), self) != readers.end();
}

}  // namespace vanilladeck::config

#include "vanilladeck/membership/entry_choice.h"

#include <algorithm>
#include <functional>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::membership {
namespace {

/// Ready instances for which `suits` is true, with `self` in place of its listed record.
template <class Predicate>
std::vector<const InstanceRecord*> ReadyInstances(
    const std::map<std::string, InstanceRecord>& instances, const InstanceRecord& self,
    const Predicate& suits) {
  std::vector<const InstanceRecord*> chosen;
  for (const auto& [name, record] : instances) {
    if (name != self.name && record.ready && suits(record)) chosen.push_back(&record);
  }
  if (self.ready && suits(self)) chosen.push_back(&self);
  return chosen;
}

}  // namespace

EntryChoice ChooseEntryAddresses(const std::map<std::string, InstanceRecord>& instances,
                                 const EntryQuery& query, const InstanceRecord& self,
                                 std::size_t limit) {
  EntryChoice choice;
  std::function<bool(const InstanceRecord&)> suits = [&query](const InstanceRecord& it) {
    return it.region == query.region;
  };
  auto chosen = ReadyInstances(instances, self, suits);
  choice.remote = chosen.empty();
  for (const auto& regions : query.alternatives) {
    if (!chosen.empty()) break;
    suits = [&regions](const InstanceRecord& it) {
      return std::find(regions.begin(), regions.end(), it.region) != regions.end();
    };
    chosen = ReadyInstances(instances, self, suits);
  }
  if (chosen.empty()) {
    suits = [](const InstanceRecord&) { return true; };
    chosen = ReadyInstances(instances, self, suits);
  }
  std::vector<const InstanceRecord*> lost;
  if (query.lost != nullptr) {
    for (const auto& [name, record] : *query.lost) {
      if (name != self.name && suits(record)) lost.push_back(&record);
    }
  }
  choice.candidates = chosen.size();
  choice.selection = SelectEntries(chosen, lost, query.losses);
  chosen = choice.selection.named;
  if (chosen.size() > limit) {
    const std::uint64_t domain = core::Hash64(query.failure_domain);
    std::sort(chosen.begin(), chosen.end(),
              [domain](const InstanceRecord* a, const InstanceRecord* b) {
                return core::Hash64(a->name, domain) < core::Hash64(b->name, domain);
              });
    chosen.resize(limit);
  }
  choice.addresses.reserve(chosen.size());
  for (const InstanceRecord* it : chosen) {
    choice.addresses.push_back(it->address);
    choice.regions.insert(it->region);
  }
  return choice;
}

}  // namespace vanilladeck::membership

#include "vanilladeck/membership/entry_choice.h"

#include <algorithm>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::membership {
namespace {

bool Allows(const AllowedRegions& allowed, const std::string& region) {
  return !allowed || std::find(allowed->begin(), allowed->end(), region) != allowed->end();
}

}  // namespace

EntryChoice ChooseEntryAddresses(const std::map<std::string, InstanceRecord>& instances,
                                 const EntryQuery& query, const InstanceRecord& self,
                                 std::size_t limit) {
  EntryChoice choice;
  std::vector<const InstanceRecord*> chosen;
  for (const bool own_region : {true, false}) {
    const auto consider = [&](const InstanceRecord& record) {
      if (!record.ready || (record.region == query.region) != own_region) return;
      if (own_region || Allows(query.allowed_regions, record.region)) chosen.push_back(&record);
    };
    for (const auto& [name, record] : instances) {
      if (name != self.name) consider(record);
    }
    consider(self);
    choice.remote = !own_region && !chosen.empty();
    if (!chosen.empty()) break;
  }
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

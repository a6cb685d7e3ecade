#include "vanilladeck/customers/granter_choice.h"

#include <algorithm>
#include <tuple>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::customers {
namespace {

// A killed instance stays listed for 3 to 4 s.
constexpr core::Duration kFailurePause = std::chrono::seconds(4);
// With this many failed candidates the link to other regions may be down, and each further attempt
// costs its timeout.
constexpr std::size_t kFailuresBeforeOwnRegion = 2;

}  // namespace

void GranterChoice::SetCandidates(std::vector<GranterCandidate> candidates) {
  candidates_ = std::move(candidates);
  std::sort(candidates_.begin(), candidates_.end(), [](const auto& a, const auto& b) {
    return std::tuple(-a.weight, core::Hash64(a.name), a.name) <
           std::tuple(-b.weight, core::Hash64(b.name), b.name);
  });
  for (auto it = failed_until_.begin(); it != failed_until_.end();) {
    it = Find(it->first) == nullptr ? failed_until_.erase(it) : std::next(it);
  }
}

const GranterCandidate* GranterChoice::Choose(core::TimePoint now) const {
  const auto failed = [&](const GranterCandidate& candidate) {
    const auto it = failed_until_.find(candidate.name);
    return it != failed_until_.end() && now < it->second;
  };
  const auto failures =
      static_cast<std::size_t>(std::count_if(candidates_.begin(), candidates_.end(), failed));
  const auto choose = [&](bool own_region) -> const GranterCandidate* {
    const auto it =
        std::find_if(candidates_.begin(), candidates_.end(), [&](const auto& candidate) {
          return !failed(candidate) && (!own_region || candidate.region == region_);
        });
    return it == candidates_.end() ? nullptr : &*it;
  };
  if (failures >= kFailuresBeforeOwnRegion) {
    if (const auto* candidate = choose(true)) return candidate;
  }
  return choose(false);
}

const GranterCandidate* GranterChoice::Find(const std::string& name) const {
  const auto it = std::find_if(candidates_.begin(), candidates_.end(),
                               [&name](const auto& candidate) { return candidate.name == name; });
  return it == candidates_.end() ? nullptr : &*it;
}

void GranterChoice::OnFailure(const std::string& name, core::TimePoint now) {
  failed_until_[name] = now + kFailurePause;
}

}  // namespace vanilladeck::customers

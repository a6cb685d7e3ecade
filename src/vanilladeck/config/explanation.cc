#include "vanilladeck/config/explanation.h"

#include <algorithm>

#include "vanilladeck/config/client_block.h"

namespace vanilladeck::config {
namespace {

std::string RegionOfDomain(const Deployment& deployment, const std::string& domain) {
  const auto& domains = deployment.failure_domains;
  const auto it = std::find_if(domains.begin(), domains.end(),
                               [&domain](const auto& item) { return item.name == domain; });
  return it == domains.end() ? std::string() : it->region;
}

void SetEligibility(const Deployment& deployment, const std::string& from, ExplainedSite& site) {
  if (from.empty()) {
    site.reason = "client is in no configured block";
    return;
  }
  if (site.region == from) {
    site.reason = "in the client's region";
    return;
  }
  const auto& links = deployment.links;
  const auto it = std::find_if(links.begin(), links.end(), [&](const auto& link) {
    return link.from == from && link.to == site.region;
  });
  if (it == links.end()) {
    site.eligible = false;
    site.reason = "no link from region " + from;
    return;
  }
  site.shift_cap_rps = it->shift_cap_rps;
  site.shift_cap_inflight = it->shift_cap_inflight;
  site.eligible = it->shift_cap_rps > 0 && it->shift_cap_inflight > 0;
  site.reason = (site.eligible ? "shift from region " : "shift cap is 0 from region ") + from;
}

/// Sort key; lower values are preferred.
int PreferenceOrder(const ExplainedSite& site, const std::string& region) {
  if (!site.eligible) return 2;
  return site.region == region ? 0 : 1;
}

}  // namespace

std::string RegionOfClient(const Deployment& deployment, std::string_view client) {
  const auto address = ParseClientAddress(client);
  if (!address) return {};
  std::string region;
  int longest_prefix = -1;
  for (const auto& candidate : deployment.regions) {
    for (const auto& text : candidate.client_blocks) {
      const auto block = ParseClientBlock(text);
      if (!block || !block->Contains(*address) || block->bits <= longest_prefix) continue;
      longest_prefix = block->bits;
      region = candidate.name;
    }
  }
  return region;
}

std::optional<Explanation> ExplainFromDeployment(const Deployment& deployment,
                                                 const ExplainRequest& request) {
  const auto service =
      std::find_if(deployment.services.begin(), deployment.services.end(),
                   [&request](const auto& item) { return item.name == request.service; });
  if (service == deployment.services.end()) return std::nullopt;
  Explanation explanation{request.service,
                          request.client,
                          request.rank.value_or(service->default_rank),
                          RegionOfClient(deployment, request.client),
                          {}};
  for (const auto& place : service->places) {
    ExplainedSite site;
    site.failure_domain = place.failure_domain;
    site.region = RegionOfDomain(deployment, place.failure_domain);
    site.slots = place.servers * place.slots;
    SetEligibility(deployment, explanation.client_region, site);
    explanation.sites.push_back(std::move(site));
  }
  std::stable_sort(explanation.sites.begin(), explanation.sites.end(),
                   [&explanation](const auto& a, const auto& b) {
                     return PreferenceOrder(a, explanation.client_region) <
                            PreferenceOrder(b, explanation.client_region);
                   });
  return explanation;
}

}  // namespace vanilladeck::config

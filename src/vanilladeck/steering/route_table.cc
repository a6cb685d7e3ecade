#include "vanilladeck/steering/route_table.h"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace vanilladeck::steering {
namespace {

std::string CanonicalHost(std::string_view host) {
  const auto colon = host.rfind(':');
  if (colon != std::string_view::npos) host = host.substr(0, colon);
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

}  // namespace

RouteTable::RouteTable(config::RoutingPolicy policy)
    : policy_(std::move(policy)), keys_(policy_.customers) {
  for (const config::Route& it : policy_.routes) by_host_[it.host].push_back(&it);
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
}

const config::Route* RouteTable::Match(std::string_view host, std::string_view path) const {
  const auto routes = by_host_.find(CanonicalHost(host));
  if (routes == by_host_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const config::Route* it : routes->second) {
    if (path.substr(0, it->prefix.size()) == it->prefix) return it;
  }
  return nullptr;
}

std::vector<std::vector<std::string>> RouteTable::PreferredRegions(std::string_view host) const {
  const auto routes = by_host_.find(CanonicalHost(host));
  if (routes == by_host_.end()) return {};
  std::vector<std::string> any;
  for (const config::Route* it : routes->second) {
    for (const std::string& region : it->allowed_regions) {
      if (std::find(any.begin(), any.end(), region) == any.end()) any.push_back(region);
    }
  }
  std::vector<std::string> all;
  std::copy_if(any.begin(), any.end(), std::back_inserter(all), [&](const std::string& region) {
    return std::all_of(routes->second.begin(), routes->second.end(),
                       [&](const config::Route* it) { return it->AllowsRegion(region); });
  });
  std::vector<std::vector<std::string>> sets;
  for (auto* it : {&all, &any}) {
    if (!it->empty()) sets.push_back(std::move(*it));
  }
  return sets;
}

const config::ServiceLimits* RouteTable::Service(std::string_view name) const {
  const auto it = std::find_if(policy_.services.begin(), policy_.services.end(),
                               [&](const auto& service) { return service.name == name; });
  return it == policy_.services.end() ? nullptr : &*it;
}

const std::string& ChooseService(const config::Route& route, double draw) {
  double total = 0;
  for (const auto& it : route.services) total += it.weight;
  double left = draw * total;
  for (const auto& it : route.services) {
    if (left < it.weight) return it.service;
    left -= it.weight;
  }
  return route.services.back().service;
}

}  // namespace vanilladeck::steering

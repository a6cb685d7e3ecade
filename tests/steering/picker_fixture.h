#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "vanilladeck/steering/server_picker.h"

namespace vanilladeck::steering::testing {

using namespace std::chrono_literals;

/// Servers of one service in regions "east" and "west", and a picker of an instance in "east".
struct PickerFixture {
  PickerFixture()
      : servers(RegionOf), limits("edge-1"), picker(Settings(), servers, fleet, limits) {
    route.name = "reads";
    route.kind = config::RequestKind::kIdempotent;
    route.objective = 600ms;
    route.timeout = 2500ms;
    route.priority = 1;
    route.services.push_back({"catalogue", 1});
    service.name = "catalogue";
    service.cold_rate = 8;
    now = core::TimePoint(1000s);
  }

  static std::string RegionOf(const std::string& failure_domain) {
    return failure_domain.substr(0, failure_domain.find('-'));
  }

  static PickerSettings Settings() {
    PickerSettings settings;
    settings.region = "east";
    settings.region_round_trip = 112ms;
    settings.cold_overage = 1.5;
    settings.cold_slack = 5;
    return settings;
  }

  ServerReport Report(const std::string& id, const std::string& failure_domain) const {
    ServerReport report;
    report.id = id;
    report.born_ms = 1;
    report.service = "catalogue";
    report.address = id + ":1";
    report.failure_domain = failure_domain;
    report.slots = 9;
    report.sequence = 1;
    return report;
  }

  void Add(const std::string& failure_domain, int n) {
    for (int i = 0; i < n; ++i) {
      (void)servers.OnReport(Report(failure_domain + std::to_string(i), failure_domain), now);
    }
  }

  std::variant<Pick, NoServerReason> Choose(const std::string& object,
                                            const std::vector<std::string>* tried = nullptr) {
    const PickQuery query{&route, &service, object, 7, 2500ms, tried};
    return picker.Choose(query, now);
  }

  /// The server chosen for the object; empty if none.
  std::string ChosenId(const std::string& object) {
    auto choice = Choose(object);
    const auto* pick = std::get_if<Pick>(&choice);
    return pick == nullptr ? std::string() : pick->server->report.id;
  }

  void SetLoad(const std::string& id, double load) {
    servers.Find(id)->others_load = load;
    servers.Find(id)->others_load_at = now;
  }

  config::Route route;
  config::ServiceLimits service;
  FleetShare fleet;
  ServerSet servers;
  ServerLimits limits;
  ServerPicker picker;
  core::TimePoint now;
};

}  // namespace vanilladeck::steering::testing

#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "steering/picker_fixture.h"

namespace vanilladeck::steering::testing {

/// Several instances that send requests to simulated servers of one service in one region.
///
/// A server runs nine requests at once and queues the others. A request takes 1 s, or 0.3 s if the
/// server ran one of its object before, and twice as long while the server is cold.
class FreshFleet {
 public:
  struct Stats {
    std::uint32_t started = 0;       ///< Requests that arrived.
    std::uint32_t started_late = 0;  ///< Those of the last 6 s of a run.
    std::size_t peak = 0;            ///< Running and waiting at the same time.
    std::uint32_t overdue = 0;       ///< Responses that took 1.5 s or longer, after the cold time.
    std::size_t per_second_while_cold = 0;  ///< Most arrivals in one second.
  };

  FreshFleet(bool paced, int instances) : now_(core::TimePoint(std::chrono::seconds(1000))) {
    route_.name = "reads";
    route_.kind = config::RequestKind::kIdempotent;
    route_.objective = 1000ms;
    route_.timeout = 4000ms;
    route_.priority = 1;
    route_.services.push_back({"catalogue", 1});
    service_.name = "catalogue";
    service_.cold_rate = 5.6;
    service_.cold_duration = 3000ms;
    for (int i = 0; i < instances; ++i) {
      names_.push_back("edge-" + std::to_string(i));
      instances_.push_back(std::make_unique<Instance>(paced, names_.back()));
    }
    for (int i = 0; i < 12; ++i) AddServer("warm-" + std::to_string(i), 0s, 1);
  }

  void AddFresh(const std::string& id, double slowness = 1) { AddServer(id, 3s, slowness); }

  void Run(core::Duration duration) {
    const core::TimePoint end = now_ + duration;
    for (; now_ < end; now_ += kStep) {
      UpdateShares();
      Complete();
      // 100 requests a second: 8 for each server, of which 0.3 s each are 2.4 slots.
      Send(end - now_ < std::chrono::seconds(6));
    }
  }

  [[nodiscard]] const Stats& stats(const std::string& id) { return stats_[id]; }
  [[nodiscard]] const std::map<std::string, Stats>& all_stats() const { return stats_; }

 private:
  static constexpr core::Duration kStep = 10ms;
  static constexpr std::uint32_t kSlots = 9;
  static constexpr int kObjects = 150;

  struct Instance {
    Instance(bool paced, const std::string& name)
        : servers(PickerFixture::RegionOf),
          limits(name),
          picker(Settings(paced), servers, fleet, limits) {}
    static PickerSettings Settings(bool paced) {
      PickerSettings settings = PickerFixture::Settings();
      settings.cold_slack = 8;
      settings.fresh_pace = paced;
      return settings;
    }
    FleetShare fleet;
    ServerSet servers;
    ServerLimits limits;
    ServerPicker picker;
  };
  struct Request {
    std::size_t instance = 0;
    ServerPtr server;
    std::uint64_t object = 0;
    core::TimePoint sent;
    bool unqueued = true;
    core::TimePoint done;
  };
  struct SimulatedServer {
    double slowness = 1;
    core::TimePoint cold_until;
    std::set<std::uint64_t> cached;
    std::vector<Request> running;
    std::deque<Request> waiting;
    std::deque<core::TimePoint> arrivals;
  };

  void AddServer(const std::string& id, core::Duration cold, double slowness) {
    simulated_[id].slowness = slowness;
    simulated_[id].cold_until = now_ + cold;
    ServerReport report;
    report.id = id;
    report.born_ms = 1;
    report.service = "catalogue";
    report.address = id + ":1";
    report.failure_domain = "east-a";
    report.slots = kSlots;
    report.sequence = 1;
    report.cold_left = cold;
    for (auto& it : instances_) (void)it->servers.OnReport(report, now_);
  }

  void UpdateShares() {
    std::map<std::string, Sender> senders;
    for (const auto& name : names_) senders[name] = {"east", 200};
    for (std::size_t i = 0; i < names_.size(); ++i) {
      instances_[i]->fleet.SetFleet(static_cast<std::uint32_t>(names_.size()),
                                    static_cast<std::uint32_t>(i));
      instances_[i]->fleet.senders().Update(senders, names_[i], now_, now_);
    }
  }

  void Start(SimulatedServer& server, Request request) {
    const double factor = (server.cached.count(request.object) > 0 ? 0.3 : 1.0) *
                          (now_ < server.cold_until ? 2 : 1) * server.slowness;
    request.done = now_ + std::chrono::milliseconds(static_cast<int>(1000 * factor));
    server.running.push_back(std::move(request));
  }

  void Complete() {
    for (auto& [id, server] : simulated_) {
      for (std::size_t i = 0; i < server.running.size();) {
        if (server.running[i].done > now_) {
          ++i;
          continue;
        }
        const Request request = server.running[i];
        server.running.erase(server.running.begin() + static_cast<std::ptrdiff_t>(i));
        server.cached.insert(request.object);
        if (!server.waiting.empty()) {
          Start(server, server.waiting.front());
          server.waiting.pop_front();
        }
        Answer(id, server, request);
      }
    }
  }

  void Answer(const std::string& id, const SimulatedServer& server, const Request& request) {
    Instance& instance = *instances_[request.instance];
    const core::Duration latency = now_ - request.sent;
    if (latency >= 1500ms && request.sent >= server.cold_until) ++stats_[id].overdue;
    const ServerLoad load{static_cast<std::uint32_t>(server.running.size()),
                          static_cast<std::uint32_t>(server.waiting.size()), kSlots, std::nullopt};
    const auto sent =
        request.server->pace ? request.server->pace->SentOf(request.object) : FreshPace::Sent{};
    if (request.unqueued && sent.IsSlowerThanUsual()) {
      instance.picker.OnFreshLatency(route_, service_.name, latency, sent, true);
    }
    instance.servers.OnEnd(
        *request.server, AttemptEnd::kAnswered, load, latency,
        request.unqueued ? instance.picker.Expected(route_, service_.name) : core::Duration{}, now_,
        request.object);
    if (request.unqueued && !sent.IsSlowerThanUsual()) {
      instance.picker.OnLatency(route_, service_.name, latency, true, now_);
    }
  }

  void Send(bool late) {
    const std::size_t at = random_() % instances_.size();
    Instance& instance = *instances_[at];
    const std::string object = std::to_string(random_() % kObjects);
    const PickQuery query{&route_, &service_, object, 7, 4000ms, nullptr};
    auto choice = instance.picker.Choose(query, now_);
    const auto* pick = std::get_if<Pick>(&choice);
    if (pick == nullptr) return;
    const std::string& id = pick->server->report.id;
    SimulatedServer& server = simulated_[id];
    Stats& stats = stats_[id];
    ++stats.started;
    if (late) ++stats.started_late;
    Request request{at, pick->server, pick->object, now_, pick->server->Load(now_) < kSlots, now_};
    instance.servers.OnSent(*pick->server, now_, pick->object);
    if (now_ < server.cold_until) {
      server.arrivals.push_back(now_);
      while (now_ - server.arrivals.front() > 1s) server.arrivals.pop_front();
      stats.per_second_while_cold = std::max(stats.per_second_while_cold, server.arrivals.size());
    }
    if (server.running.size() < kSlots) {
      Start(server, std::move(request));
    } else {
      server.waiting.push_back(std::move(request));
    }
    stats.peak = std::max(stats.peak, server.running.size() + server.waiting.size());
  }

  core::TimePoint now_;
  config::Route route_;
  config::ServiceLimits service_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::map<std::string, SimulatedServer> simulated_;
  std::map<std::string, Stats> stats_;
  std::mt19937_64 random_{7};
};

}  // namespace vanilladeck::steering::testing

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/replay/impl/fleet.h"
#include "vanilladeck/replay/impl/instance.h"
#include "vanilladeck/replay/impl/monitor.h"
#include "vanilladeck/replay/simulation.h"

namespace vanilladeck::replay::impl {

/// Event loop of one replay in simulated time.
class Engine {
 public:
  Engine(const Trace& trace, const SimulationOptions& options);

  [[nodiscard]] core::Result<Report, SimulationError> Run();

 private:
  struct Event {
    core::Duration at{0};
    std::uint64_t sequence = 0;
    std::function<void()> action;
    [[nodiscard]] bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  struct Request {
    Instance* holder = nullptr;  ///< Instance that queues or serves the request.
    Instance* sender = nullptr;  ///< Instance that forwarded it.
    std::string server;
    core::Duration started{0};
  };

  [[nodiscard]] std::optional<SimulationError> BuildInstances();
  void Schedule(core::Duration at, std::function<void()> action);
  void ScheduleTrace();
  [[nodiscard]] core::TimePoint Time() const noexcept;

  void OnArrival(std::size_t index);
  [[nodiscard]] Instance* PickEntry(std::uint32_t region);
  [[nodiscard]] bool OfferTo(Instance& instance, std::size_t index);
  void Forward(Instance& sender, std::size_t index);
  void OnForwarded(Instance& receiver, std::size_t index);
  void Dispatch(Instance& instance);
  void Start(std::size_t index, const std::string& server);
  void Finish(std::size_t index);
  void End(std::size_t index, EndState state);

  void Apply(const Incident& incident);
  void LoseRegion(const std::string& region);
  void MarkLeaving(const std::string& region, const std::string& server);
  void PublishServerList();
  void Tick();
  void SendReports();
  void RequestCredits();
  void RequestCredits(Instance& sender, Instance& receiver, std::uint32_t wanted);

  const Trace& trace_;
  SimulationOptions options_;
  config::Deployment deployment_;
  Fleet fleet_;
  Monitor monitor_;
  std::deque<Instance> instances_;
  std::vector<Request> requests_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t sequence_ = 0;
  core::Duration now_{0};
  std::size_t round_robin_ = 0;
  bool reports_stopped_ = false;
  bool reports_zero_ = false;
};

}  // namespace vanilladeck::replay::impl

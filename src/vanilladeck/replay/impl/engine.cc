#include "vanilladeck/replay/impl/engine.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "vanilladeck/admission/seat_share.h"

namespace vanilladeck::replay::impl {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kTickInterval = milliseconds(10);
constexpr core::Duration kReportPeriod = milliseconds(500);
constexpr core::Duration kReportDelay = milliseconds(100);
constexpr core::Duration kServerListDelay = std::chrono::seconds(1);
constexpr core::Duration kCreditPeriod = milliseconds(200);
constexpr core::Duration kMaxDrainTime = std::chrono::seconds(120);
// Seats are renewed by another module; in a replay they are valid throughout.
constexpr core::Duration kSeatLifetime = std::chrono::hours(24);
// Offset from the clock epoch, so that a default-constructed time point lies far in the past.
constexpr core::Duration kStartTime = std::chrono::hours(1);

}  // namespace

Engine::Engine(const Trace& trace, const SimulationOptions& options)
    : trace_(trace),
      options_(options),
      deployment_(trace.deployment),
      fleet_(trace),
      monitor_(trace),
      requests_(trace.arrivals.size()) {
  if (options_.scheduler) deployment_.policy.scheduler = *options_.scheduler;
  if (options_.without_floors) {
    for (config::RankTargets& targets : deployment_.ranks) targets.floor = 0;
  }
}

core::Result<Report, SimulationError> Engine::Run() {
  if (auto error = BuildInstances()) return *error;
  PublishServerList();
  ScheduleTrace();
  const core::Duration last =
      trace_.arrivals.empty() ? core::Duration::zero() : trace_.arrivals.back().at;
  while (!events_.empty() && !monitor_.AllEnded() && now_ < last + kMaxDrainTime) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  Report report = monitor_.Finish(fleet_.Slots());
  report.starts_over_capacity = fleet_.starts_over_capacity();
  report.last_start_on_leaving = fleet_.last_start_on_leaving();
  report.drained_after = fleet_.drained_after();
  return report;
}

std::optional<SimulationError> Engine::BuildInstances() {
  for (std::size_t i = 0; i < deployment_.failure_domains.size(); ++i) {
    const config::FailureDomain& domain = deployment_.failure_domains[i];
    const config::Place& place = deployment_.services.front().places[i];
    for (std::uint32_t seat = 0; seat < domain.seats; ++seat) {
      const core::InstanceId id{domain.name + "/" + std::to_string(seat), i * 100 + seat + 1};
      auto scheduler = admission::Scheduler::Create(deployment_.policy, deployment_.ranks);
      auto pool = admission::ServerPool::Create(place, options_.without_seats ? 1 : domain.seats);
      auto ledger = steering::CreditLedger::Create(deployment_, domain.region, id);
      if (!scheduler || !pool || !ledger) {
        return SimulationError{"the deployment of domain " + domain.name + " is not valid"};
      }
      Instance& instance = instances_.emplace_back(Instance{id,
                                                            domain.name,
                                                            domain.region,
                                                            std::move(scheduler).value(),
                                                            std::move(pool).value(),
                                                            std::move(ledger).value(),
                                                            {},
                                                            std::nullopt});
      instance.pool.SetSeats({options_.without_seats ? 0 : seat}, Time() + kSeatLifetime);
      instance.ledger.SetSeats(steering::NumberSeats(deployment_, domain.name, {seat}),
                               Time() + kSeatLifetime);
      if (!options_.fcfs_baseline) continue;
      std::map<std::string, std::uint32_t> shares;
      for (const auto& [address, server] : fleet_.servers()) {
        if (server.failure_domain != domain.name) continue;
        shares[address] = admission::SeatShare(place.slots, address, seat, domain.seats);
      }
      instance.fcfs.emplace(
          shares, deployment_.policy.queue_limit * static_cast<std::uint32_t>(core::kRankCount));
    }
  }
  return std::nullopt;
}

void Engine::Schedule(core::Duration at, std::function<void()> action) {
  events_.push({at, sequence_++, std::move(action)});
}

void Engine::ScheduleTrace() {
  for (std::size_t i = 0; i < trace_.arrivals.size(); ++i) {
    Schedule(trace_.arrivals[i].at, [this, i] { OnArrival(i); });
  }
  for (const Incident& incident : trace_.incidents) {
    Schedule(incident.at, [this, &incident] { Apply(incident); });
  }
  Schedule(kTickInterval, [this] { Tick(); });
  Schedule(kReportPeriod, [this] { SendReports(); });
  Schedule(kCreditPeriod, [this] { RequestCredits(); });
}

core::TimePoint Engine::Time() const noexcept { return core::TimePoint(kStartTime + now_); }

void Engine::OnArrival(std::size_t index) {
  Instance* entry = PickEntry(trace_.arrivals[index].region);
  if (entry == nullptr) {
    End(index, EndState::kRejected);
    return;
  }
  if (!OfferTo(*entry, index)) Forward(*entry, index);
}

Instance* Engine::PickEntry(std::uint32_t region) {
  const std::size_t regions = deployment_.regions.size();
  ++round_robin_;
  for (std::size_t step = 0; step < regions; ++step) {
    const std::string& name = deployment_.regions[(region + step) % regions].name;
    std::vector<Instance*> live;
    for (Instance& instance : instances_) {
      if (instance.region == name && !instance.lost) live.push_back(&instance);
    }
    if (!live.empty()) return live[round_robin_ % live.size()];
  }
  return nullptr;
}

bool Engine::OfferTo(Instance& instance, std::size_t index) {
  requests_[index].holder = &instance;
  const bool accepted =
      instance.fcfs
          ? instance.fcfs->Offer(index)
          : instance.scheduler.Offer(index, trace_.arrivals[index].rank, std::nullopt, Time())
                .has_value();
  Dispatch(instance);
  return accepted;
}

void Engine::Forward(Instance& sender, std::size_t index) {
  ++sender.forward_demand;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    Instance& receiver = instances_[(round_robin_ + i) % instances_.size()];
    if (receiver.region == sender.region || receiver.lost) continue;
    if (!options_.without_credits && !sender.wallet.Take(receiver.id, "service", Time())) continue;
    requests_[index].sender = &sender;
    Schedule(now_ + trace_.one_way, [this, &receiver, index] { OnForwarded(receiver, index); });
    return;
  }
  End(index, EndState::kRejected);
}

void Engine::OnForwarded(Instance& receiver, std::size_t index) {
  if (monitor_.Ended(index)) return;  // The sender was lost in the meantime.
  Request& request = requests_[index];
  if (receiver.lost) {
    End(index, EndState::kLost);
    return;
  }
  const Instance& sender = *request.sender;
  if (!options_.without_credits &&
      !receiver.ledger.Admit(sender.id, sender.region, "service", Time())) {
    End(index, EndState::kRejected);
    return;
  }
  monitor_.OnShiftStarted(sender.region, receiver.region, now_);
  if (OfferTo(receiver, index)) return;
  receiver.ledger.Finish(sender.region, Time());
  monitor_.OnShiftEnded(sender.region, receiver.region);
  End(index, EndState::kRejected);
}

void Engine::Dispatch(Instance& instance) {
  if (instance.fcfs) {
    while (const auto next = instance.fcfs->Next()) {
      Start(next->first, next->second);
    }
    return;
  }
  instance.scheduler.SetCapacity(instance.pool.UsableSlots(), Time());
  while (const auto id = instance.scheduler.Next(Time())) {
    const auto server = instance.pool.Pick(Time());
    if (!server) {
      instance.scheduler.Requeue(*id, Time());
      return;
    }
    Start(*id, server.value());
  }
}

void Engine::Start(std::size_t index, const std::string& server) {
  Request& request = requests_[index];
  request.server = server;
  request.started = now_;
  const core::Duration runs =
      fleet_.Start(server, trace_.arrivals[index].service, request.sender != nullptr, now_);
  Schedule(now_ + runs, [this, index] { Finish(index); });
}

void Engine::Finish(std::size_t index) {
  Request& request = requests_[index];
  Instance& instance = *request.holder;
  const core::Rank rank = trace_.arrivals[index].rank;
  fleet_.Finish(request.server, now_);
  if (instance.lost) return;  // The request ended when the region was lost.
  monitor_.OnRan(rank, request.started, now_);
  if (instance.fcfs) {
    instance.fcfs->Finish(request.server);
  } else {
    instance.scheduler.OnFinished(index, now_ - request.started, Time());
    instance.pool.OnFinished(request.server, admission::FinishKind::kSuccess, Time());
    const bool leaving = fleet_.servers().at(request.server).leaving_since.has_value();
    if (leaving && !options_.ignore_leaving) instance.pool.OnLeaving(request.server);
  }
  if (request.sender != nullptr) {
    instance.ledger.Finish(request.sender->region, Time());
    monitor_.OnShiftEnded(request.sender->region, instance.region);
  }
  if (request.sender == nullptr || !request.sender->lost) End(index, EndState::kCompleted);
  Dispatch(instance);
}

void Engine::End(std::size_t index, EndState state) {
  const bool forwarded = requests_[index].sender != nullptr;
  const core::Duration back = forwarded ? trace_.one_way : core::Duration::zero();
  monitor_.OnEnded(index, state, now_ + back - trace_.arrivals[index].at, forwarded);
}

void Engine::Apply(const Incident& incident) {
  switch (incident.kind) {
    case IncidentKind::kRegionLost:
      LoseRegion(incident.subject);
      break;
    case IncidentKind::kReportsStop:
      reports_stopped_ = true;
      break;
    case IncidentKind::kReportsZero:
      reports_zero_ = true;
      break;
    case IncidentKind::kServerLeaves:
      MarkLeaving({}, incident.subject);
      break;
    case IncidentKind::kRegionDrains:
      MarkLeaving(incident.subject, {});
      break;
  }
}

void Engine::LoseRegion(const std::string& region) {
  for (Instance& instance : instances_) instance.lost |= instance.region == region;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const Request& request = requests_[i];
    if (monitor_.Ended(i)) continue;
    const bool sender_lost = request.sender != nullptr && request.sender->lost;
    if (sender_lost || (request.holder != nullptr && request.holder->lost)) End(i, EndState::kLost);
  }
}

void Engine::MarkLeaving(const std::string& region, const std::string& server) {
  for (auto& [address, it] : fleet_.servers()) {
    if (it.region == region || address == server) it.leaving_since = now_;
  }
  if (!options_.ignore_leaving) Schedule(now_ + kServerListDelay, [this] { PublishServerList(); });
}

void Engine::PublishServerList() {
  for (Instance& instance : instances_) {
    std::vector<admission::ListedServer> list;
    for (const auto& [address, server] : fleet_.servers()) {
      if (server.failure_domain != instance.failure_domain) continue;
      list.push_back({address, server.leaving_since.has_value()});
    }
    instance.pool.SetServers(list, Time());
    Dispatch(instance);
  }
}

void Engine::Tick() {
  for (Instance& instance : instances_) {
    if (instance.lost) continue;
    instance.pool.Tick(Time());
    Dispatch(instance);
    for (const admission::Dropped& dropped : instance.scheduler.TakeDropped(Time())) {
      const Request& request = requests_[dropped.id];
      if (request.sender != nullptr) {
        instance.ledger.Finish(request.sender->region, Time());
        monitor_.OnShiftEnded(request.sender->region, instance.region);
        if (request.sender->lost) continue;
      }
      End(dropped.id, EndState::kRejected);
    }
  }
  Schedule(now_ + kTickInterval, [this] { Tick(); });
}

void Engine::SendReports() {
  for (const auto& [address, server] : fleet_.servers()) {
    if (reports_stopped_) break;
    const std::uint32_t busy = reports_zero_ ? 0 : server.running;
    for (Instance& instance : instances_) {
      if (instance.failure_domain != server.failure_domain) continue;
      Schedule(now_ + kReportDelay, [this, &instance, address = address, busy] {
        instance.pool.OnLoadReport(address, busy, Time());
        Dispatch(instance);
      });
    }
  }
  Schedule(now_ + kReportPeriod, [this] { SendReports(); });
}

void Engine::RequestCredits() {
  for (Instance& sender : instances_) {
    const std::uint32_t wanted = std::exchange(sender.forward_demand, 0);
    if (sender.lost || wanted == 0 || options_.without_credits) continue;
    for (Instance& receiver : instances_) {
      if (receiver.region != sender.region) RequestCredits(sender, receiver, wanted);
    }
  }
  Schedule(now_ + kCreditPeriod, [this] { RequestCredits(); });
}

void Engine::RequestCredits(Instance& sender, Instance& receiver, std::uint32_t wanted) {
  const core::TimePoint asked_at = Time();
  const peer::CreditRequest request{sender.id, sender.region, "service", wanted};
  Schedule(now_ + trace_.one_way, [this, &sender, &receiver, request, asked_at] {
    if (receiver.lost) return;
    std::size_t waiting = 0;
    for (core::Rank rank : core::kAllRanks) waiting += receiver.scheduler.Waiting(rank);
    const std::uint32_t idle = waiting > 0 ? 0 : receiver.pool.FreeSlots(Time());
    const auto grant =
        receiver.ledger.Grant(request, {idle, receiver.pool.Measured(Time())}, Time());
    if (!grant) return;
    Schedule(now_ + trace_.one_way, [this, &sender, grant = grant.value(), asked_at] {
      // The wallet rejects a grant that arrives too late; the sender requests credits again.
      (void)sender.wallet.Add(grant, "service", asked_at, Time());
    });
  });
}

}  // namespace vanilladeck::replay::impl

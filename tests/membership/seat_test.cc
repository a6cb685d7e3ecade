#include "vanilladeck/membership/seat.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <memory>

#include "support/fake_store.h"
#include "vanilladeck/membership/seat_witness.h"

namespace vanilladeck::testing {
namespace {

using namespace vanilladeck::membership;

constexpr std::uint32_t kSeats = 3;
constexpr std::size_t kNodes = 4;  // Node 3 replaces node 0 at another address.
constexpr int kActiveMs = 60'000;
constexpr auto kHold = Ms(3'000);

enum class SeatFault { kKill, kPause, kStoreDown, kStoreLossy, kStoreSlow, kCutOff, kRelease };

struct Fault {
  SeatFault kind = SeatFault::kKill;
  std::size_t node = 0;
  int at_ms = 0;
  int for_ms = 0;
};

struct Schedule {
  std::uint64_t seed = 0;
  bool prefer_peers = false;
  std::vector<Fault> faults;
};

std::ostream& operator<<(std::ostream& out, const Schedule& schedule) {
  out << "seed " << schedule.seed << " prefer_peers " << schedule.prefer_peers;
  for (const auto& fault : schedule.faults) {
    out << "; fault " << static_cast<int>(fault.kind) << " node " << fault.node << " at "
        << fault.at_ms << " ms for " << fault.for_ms << " ms";
  }
  return out;
}

rc::Gen<Schedule> ScheduleGen() {
  const auto fault = rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::map(rc::gen::inRange(0, 7),
                                              [](int i) { return static_cast<SeatFault>(i); })),
      rc::gen::set(&Fault::node, rc::gen::inRange<std::size_t>(0, kNodes)),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(0, kActiveMs)),
      rc::gen::set(&Fault::for_ms, rc::gen::inRange(50, 15'000)));
  return rc::gen::build<Schedule>(
      rc::gen::set(&Schedule::seed, rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())),
      rc::gen::set(&Schedule::prefer_peers),
      rc::gen::set(&Schedule::faults, rc::gen::container<std::vector<Fault>>(fault)));
}

struct Node {
  core::InstanceId self;
  bool alive = false;
  core::TimePoint paused_until;
  core::TimePoint cut_until;
  core::TimePoint wake = core::TimePoint::max();
  std::vector<Seat> seats;
  std::unique_ptr<SeatWitness> witness;
  std::map<std::pair<std::string, std::uint64_t>, core::TimePoint> heard;
  std::uint32_t home = 0;
};

/// Simulation of one failure domain whose instances can reach each other; the store may be
/// unreachable for any of them.
class SeatSimulation {
 public:
  SeatSimulation(const Schedule& schedule, bool ignore_expiry)
      : timeline_(schedule.seed),
        store_(timeline_),
        ignore_expiry_(ignore_expiry),
        prefer_peers_(schedule.prefer_peers) {
    for (std::size_t i = 0; i + 1 < kNodes; ++i) Boot(i);
    for (const auto& fault : schedule.faults) {
      timeline_.After(Ms(fault.at_ms), [this, fault] { Inject(fault); });
    }
    PublishList();
  }

  /// Runs the schedule and returns the first violated property; empty if there is none.
  std::string Run() {
    timeline_.RunUntil(timeline_.now() + Ms(kActiveMs + 15'000));
    timeline_.RunUntil(timeline_.now() + Ms(60'000));
    if (!report_.empty()) return report_;
    for (std::uint32_t seat = 0; seat < kSeats; ++seat) {
      const auto users = Users(seat);
      if (users.empty()) return "seat " + std::to_string(seat) + " stays unused";
    }
    return "";
  }

 private:
  void Boot(std::size_t index) {
    auto& node = nodes_[index];
    node = Node{};
    node.alive = true;
    node.self = {"10.0.0." + std::to_string(index) + ":7000", next_incarnation_++};
    node.home = static_cast<std::uint32_t>(index) % kSeats;
    node.witness = std::make_unique<SeatWitness>(kHold, timeline_.now());
    for (std::uint32_t seat = 0; seat < kSeats; ++seat) {
      SeatOptions options{"fukuoka-a", seat, node.self, seat == node.home};
      options.prefer_peers = prefer_peers_;
      node.seats.emplace_back(options);
    }
    SendHeartbeats(index, node.self.incarnation);
  }

  void ScheduleOn(std::size_t index, std::uint64_t incarnation, core::Duration delay,
                  std::function<void()> event) {
    timeline_.After(delay, [this, index, incarnation, event = std::move(event)] {
      auto& node = nodes_[index];
      if (!node.alive || node.self.incarnation != incarnation) return;
      if (timeline_.now() < node.paused_until) {
        return ScheduleOn(index, incarnation, node.paused_until - timeline_.now(), event);
      }
      event();
      TickSeats(index);
    });
  }

  void SendHeartbeats(std::size_t index, std::uint64_t incarnation) {
    for (std::size_t peer = 0; peer < kNodes; ++peer) {
      if (peer == index || !nodes_[peer].alive) continue;
      ScheduleOn(peer, nodes_[peer].self.incarnation, timeline_.RandomMs(1, 20),
                 [this, peer, id = nodes_[index].self] {
                   nodes_[peer].heard[{id.address, id.incarnation}] = timeline_.now();
                 });
    }
    ScheduleOn(index, incarnation, Ms(500),
               [this, index, incarnation] { SendHeartbeats(index, incarnation); });
  }

  /// The platform's list lags by up to 4 s and omits instances that the platform cannot reach.
  void PublishList() {
    std::vector<std::string> list;
    for (const auto& node : nodes_) {
      const bool reached = timeline_.now() >= std::max(node.paused_until, node.cut_until);
      if (node.alive && reached) list.push_back(node.self.address);
    }
    timeline_.After(timeline_.RandomMs(500, 4'000), [this, list] { listed_ = list; });
    timeline_.After(Ms(1'000), [this] { PublishList(); });
  }

  [[nodiscard]] SeatView ViewOf(const Node& node) const {
    SeatView view{{}, listed_};
    for (const auto& [id, at] : node.heard) {
      if (timeline_.now() - at <= kHold) view.live_peers.push_back({id.first, id.second});
    }
    return view;
  }

  void TickSeats(std::size_t index) {
    auto& node = nodes_[index];
    const auto view = ViewOf(node);
    node.witness->Tick(timeline_.now());
    const bool first =
        std::all_of(view.live_peers.begin(), view.live_peers.end(),
                    [&node](const auto& id) { return node.self.address < id.address; });
    auto wake = timeline_.now() + Ms(500);
    for (auto& seat : node.seats) {
      const auto number = static_cast<std::uint32_t>(&seat - node.seats.data());
      seat.SetWanted(number == node.home || first);
      seat.Tick(view, timeline_.now());
      if (seat.record()) node.witness->Note(number, seat.record()->holder, seat.record()->term);
      for (const auto& output : seat.TakeOutputs()) HandleOutput(index, number, output);
      wake = std::min(wake, seat.NextWake());
      if (Users(number).size() > 1 && report_.empty()) {
        report_ = "seat " + std::to_string(number) + " is in use twice";
      }
    }
    if (wake >= node.wake && node.wake > timeline_.now()) return;
    node.wake = wake;
    ScheduleOn(index, node.self.incarnation,
               std::max<core::Duration>(wake - timeline_.now(), Ms(1)),
               [&node] { node.wake = core::TimePoint::max(); });
  }

  void HandleOutput(std::size_t index, std::uint32_t seat, const SeatOutput& output) {
    const auto incarnation = nodes_[index].self.incarnation;
    if (const auto* call = std::get_if<store::Call>(&output)) {
      const FakeStore::Done done = [this, index, incarnation, seat,
                                    id = call->id](const store::StoreResult& result) {
        ScheduleOn(index, incarnation, Ms(0), [this, index, seat, id, result] {
          nodes_[index].seats[seat].OnStoreResult(id, result, timeline_.now());
        });
      };
      if (timeline_.now() >= nodes_[index].cut_until) return store_.Call(call->request, done);
      done(store::StoreError{store::StoreErrorCode::kUnavailable, ""});
    } else if (const auto* ask = std::get_if<ConfirmationRequest>(&output)) {
      Send(ask->peer, [this, index, incarnation, seat, ask = *ask](std::size_t peer) {
        const bool confirmed =
            nodes_[peer].witness->Confirm(seat, ask.holder, ask.term, timeline_.now());
        ScheduleOn(
            index, incarnation, timeline_.RandomMs(1, 20), [this, index, seat, ask, confirmed] {
              nodes_[index].seats[seat].OnConfirmed(ask.request_id, confirmed, timeline_.now());
            });
      });
    } else if (const auto* claim = std::get_if<ClaimAnnouncement>(&output)) {
      Send(claim->peer, [this, index, incarnation, seat, claim = *claim](std::size_t peer) {
        nodes_[peer].witness->Note(seat, claim.holder, claim.term);
        nodes_[peer].seats[seat].OnClaimAnnounced(claim.holder, claim.term);
        ScheduleOn(index, incarnation, timeline_.RandomMs(1, 20), [this, index, seat, claim] {
          nodes_[index].seats[seat].OnClaimAcked(claim.peer, claim.term, timeline_.now());
        });
      });
    }
  }

  void Send(const core::InstanceId& to, const std::function<void(std::size_t)>& event) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (nodes_[i].self != to) continue;
      ScheduleOn(i, to.incarnation, timeline_.RandomMs(1, 20), [event, i] { event(i); });
    }
  }

  [[nodiscard]] std::vector<std::size_t> Users(std::uint32_t seat) const {
    std::vector<std::size_t> users;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (!nodes_[i].alive) continue;
      const auto& held = nodes_[i].seats[seat];
      const bool uses =
          ignore_expiry_ ? held.state() == SeatState::kHeld : held.Usable(timeline_.now());
      if (uses) users.push_back(i);
    }
    return users;
  }

  void Inject(const Fault& fault) {
    auto& node = nodes_[fault.node];
    const auto end = timeline_.now() + Ms(fault.for_ms);
    switch (fault.kind) {
      case SeatFault::kKill:
        node.alive = false;
        return timeline_.At(end, [this, index = fault.node] {
          if (!nodes_[index].alive) Boot(index);
        });
      case SeatFault::kPause:
        node.paused_until = std::max(node.paused_until, end);
        return;
      case SeatFault::kStoreDown:
        store_.down = true;
        return timeline_.At(end, [this] { store_.down = false; });
      case SeatFault::kStoreLossy:
        store_.lost_percent = 40;
        return timeline_.At(end, [this] { store_.lost_percent = 0; });
      case SeatFault::kStoreSlow:
        store_.slow = true;
        return timeline_.At(end, [this] { store_.slow = false; });
      case SeatFault::kCutOff:
        node.cut_until = std::max(node.cut_until, end);
        return;
      case SeatFault::kRelease:
        // Graceful shutdown; the process ends 1 s later and a new one starts.
        if (!node.alive) return;
        for (auto& seat : node.seats) seat.Release();
        return timeline_.After(
            Ms(1'000), [this, index = fault.node, incarnation = node.self.incarnation] {
              if (nodes_[index].alive && nodes_[index].self.incarnation == incarnation) Boot(index);
            });
    }
  }

  Timeline timeline_;
  FakeStore store_;
  bool ignore_expiry_;
  bool prefer_peers_;
  std::array<Node, kNodes> nodes_;
  std::vector<std::string> listed_;
  std::uint64_t next_incarnation_ = 1;
  std::string report_;
};

}  // namespace

// Guards against two instances that use the same share of the servers' slots, and against seats
// that stay unused after the faults have ended.
TEST_CASE("seats in use never overlap under generated faults", "[membership]") {
  REQUIRE(rc::check("at most one user per seat, none left idle", [] {
    const auto schedule = *ScheduleGen();
    const auto report = SeatSimulation(schedule, false).Run();
    if (!report.empty()) RC_FAIL(report);
  }));
}

// Guards against an overlap check that does not detect the use of an expired hold.
TEST_CASE("overlap check reports the use of an expired hold", "[membership]") {
  constexpr int kSchedules = 100;
  int reports = 0;
  for (int i = 0; i < kSchedules; ++i) {
    const auto schedule =
        ScheduleGen()(rc::Random(static_cast<std::uint64_t>(i)), rc::kNominalSize).value();
    if (!SeatSimulation(schedule, true).Run().empty()) ++reports;
  }
  std::cout << reports << " of " << kSchedules << " schedules reported a fault\n";
  REQUIRE(reports > 0);
}

}  // namespace vanilladeck::testing

#include "process/fleet_faults.h"

#include <algorithm>
#include <array>

namespace vanilladeck::process {

using standins::MetadataStore;

void FleetFaults::Note(const std::string& text) {
  const auto since = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
  log_ += std::to_string(since) + ' ' + text + '\n';
}

void FleetFaults::NoteGateway(std::size_t gateway, const std::string& text) {
  Note("gateway " + std::to_string(gateway + 1) + ' ' + text);
}

void FleetFaults::Repeat(int shortest_ms, int longest_ms, const std::function<void()>& action) {
  fleet_.CallLater(milliseconds(Draw(shortest_ms, longest_ms)), [=, this] {
    if (stopped_) return;
    action();
    Repeat(shortest_ms, longest_ms, action);
  });
}

void FleetFaults::RunFor(milliseconds time) {
  LoseStoreAgain();
  Repeat(700, 3500, [this] { SendPolicy(); });
  Repeat(300, 1500, [this] { ChangeServer(); });
  Repeat(1500, 5000, [this] { DisturbGateway(); });
  Repeat(2000, 7000, [this] { DisturbAccess(); });
  fleet_.RunFor(time);
}

bool FleetFaults::Settle() {
  constexpr milliseconds kTimeout{20'000};
  Note("end of faults");
  stopped_ = true;
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    if (fleet_.store().access(i) != MetadataStore::Access::kServed) {
      fleet_.SetStoreAccess(i, MetadataStore::Access::kServed);
    }
    if (gateways_[i] == GatewayState::kPaused) Continue(i);
  }
  const bool ready = fleet_.RunUntil(kTimeout, [&] {
    if (!fleet_.store().available()) return false;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (gateways_[i] != GatewayState::kRunning || fleet_.Readiness(i) != 200) return false;
    }
    return true;
  });
  Note(ready ? "all gateways are ready" : "some gateway is not ready");
  return ready;
}

void FleetFaults::LoseStoreAgain() {
  // Every second loss follows soon. Before the others the gateways come in touch again, so that the
  // bounds hold for them.
  constexpr int kSeriesMs = 2000;
  constexpr int kShortestCalmMs = 7000;
  constexpr int kLongestCalmMs = 11'000;
  const int pause =
      losses_++ % 2 == 1 ? Draw(100, kSeriesMs) : Draw(kShortestCalmMs, kLongestCalmMs);
  fleet_.CallLater(milliseconds(pause), [this] {
    if (stopped_) return;
    LoseStore();
    LoseStoreAgain();
  });
}

void FleetFaults::LoseStore() {
  if (!fleet_.store().available()) return;
  constexpr int kLongestSilenceMs = 2500;
  constexpr int kOldestCopyMs = 9000;
  const int silence = Draw(100, kLongestSilenceMs);
  // No copy is older than the first policy.
  const auto run = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
  const int age = std::min<int>(Draw(100, kOldestCopyMs), static_cast<int>(run));
  Note("store away for " + std::to_string(silence) + ", copy " + std::to_string(age) +
       " ms old, revision " + std::to_string(fleet_.store().data().revision()));
  fleet_.LoseStore(milliseconds(silence), milliseconds(age));
  DisturbAroundReturn(milliseconds(silence));
}

void FleetFaults::DisturbAroundReturn(milliseconds silence) {
  const auto i = DrawRunning();
  if (!i) return;
  constexpr int kLatestMs = 1500;
  const milliseconds after = silence + milliseconds(Draw(0, kLatestMs));
  switch (Draw(0, 2)) {
    case 0:
      Kill(*i, after);
      break;
    case 1:
      Pause(*i, after);
      break;
    default:  // None is disturbed.
      break;
  }
}

void FleetFaults::SendPolicy() {
  // The operator sends the next version when the last one was accepted.
  if (!fleet_.records().versions.back().acknowledged) return;
  fleet_.SendPolicy();
  const PolicyVersion& newest = fleet_.records().versions.back();
  Note("policy " + std::to_string(newest.number) + " to service " + std::to_string(newest.service));
}

std::size_t FleetFaults::ReadyServers(std::size_t service) const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < fleet_.server_count(); ++i) {
    if (fleet_.records().service_of_server[i] == service &&
        fleet_.server(i).state() == FleetServer::State::kReady) {
      ++n;
    }
  }
  return n;
}

void FleetFaults::ChangeServer() {
  const auto i = static_cast<std::size_t>(Draw(0, static_cast<int>(fleet_.server_count()) - 1));
  FleetServer& server = fleet_.server(i);
  if (server.state() != FleetServer::State::kReady) return;
  constexpr int kOneIn = 4;
  const int choice = Draw(0, kOneIn - 1);
  if (choice == 0 || ReadyServers(fleet_.records().service_of_server[i]) < 3) {
    server.ChangeSlots();
    return;
  }
  Note(server.Key() + (choice == 1 ? " removes its entry" : " drains"));
  if (choice == 1) {
    server.Remove();
  } else {
    server.Drain();
  }
  // It serves on for the bound and a little or many seconds, and its successor starts at its
  // address after `reuseAfterS`, 2 s.
  const auto bound = static_cast<int>(Fleet::kDrainBound.count());
  fleet_.CallLater(milliseconds(bound + Draw(500, 6000)), [this, &server] {
    Note(server.Key() + " ends");
    server.End();
    fleet_.CallLater(milliseconds(Draw(2000, 4000)), [this, &server] {
      server.Join(Draw(0, 4) == 0);
      Note(server.Key() + " joins");
    });
  });
}

std::optional<std::size_t> FleetFaults::DrawRunning() {
  const auto i = static_cast<std::size_t>(Draw(0, static_cast<int>(gateways_.size()) - 1));
  // One gateway runs all the time, as the users' pages let some survive.
  const bool last = std::count(gateways_.begin(), gateways_.end(), GatewayState::kRunning) < 2;
  if (last || gateways_[i] != GatewayState::kRunning) return std::nullopt;
  return i;
}

void FleetFaults::DisturbGateway() {
  const auto i = DrawRunning();
  if (!i) return;
  switch (Draw(0, 2)) {
    case 0:
      NoteGateway(*i, "gets SIGTERM");
      gateways_[*i] = GatewayState::kStopping;
      fleet_.Terminate(*i);
      RestartWhenEnded(*i, Clock::now() + milliseconds(Draw(100, 1000)),
                       Clock::now() + Fleet::kStopGrace);
      break;
    case 1:
      Kill(*i, milliseconds(Draw(100, 1000)));
      break;
    default:
      Pause(*i, milliseconds(Draw(200, 5000)));
      break;
  }
}

void FleetFaults::Kill(std::size_t gateway, milliseconds until_start) {
  NoteGateway(gateway, "gets SIGKILL");
  gateways_[gateway] = GatewayState::kStopping;
  fleet_.Kill(gateway);
  RestartWhenEnded(gateway, Clock::now() + until_start, Clock::now() + Fleet::kStopGrace);
}

void FleetFaults::Pause(std::size_t gateway, milliseconds time) {
  NoteGateway(gateway, "gets SIGSTOP");
  gateways_[gateway] = GatewayState::kPaused;
  fleet_.Pause(gateway);
  fleet_.CallLater(time, [this, gateway] { Continue(gateway); });
}

void FleetFaults::Continue(std::size_t gateway) {
  if (gateways_[gateway] != GatewayState::kPaused) return;
  NoteGateway(gateway, "gets SIGCONT");
  fleet_.Continue(gateway);
  gateways_[gateway] = GatewayState::kRunning;
}

void FleetFaults::RestartWhenEnded(std::size_t gateway, Clock::time_point start_at,
                                   Clock::time_point kill_at) {
  constexpr milliseconds kInterval{20};
  const bool ended = fleet_.HasEnded(gateway);
  if (ended && Clock::now() >= start_at) {
    NoteGateway(gateway, "has ended and starts");
    fleet_.StartGateway(gateway);
    gateways_[gateway] = GatewayState::kRunning;
    return;
  }
  if (!ended && Clock::now() >= kill_at) fleet_.Kill(gateway);
  fleet_.CallLater(kInterval, [=, this] { RestartWhenEnded(gateway, start_at, kill_at); });
}

void FleetFaults::DisturbAccess() {
  const auto i = static_cast<std::size_t>(Draw(0, static_cast<int>(gateways_.size()) - 1));
  if (fleet_.store().access(i) != MetadataStore::Access::kServed) return;
  constexpr std::array kKinds{MetadataStore::Access::kRefused, MetadataStore::Access::kCut,
                              MetadataStore::Access::kSlow};
  constexpr std::array kTexts{"is refused by the store", "is cut off from the store",
                              "has a slow store"};
  const auto kind = static_cast<std::size_t>(Draw(0, static_cast<int>(kKinds.size()) - 1));
  NoteGateway(i, kTexts.at(kind));
  fleet_.SetStoreAccess(i, kKinds.at(kind));
  fleet_.CallLater(milliseconds(Draw(500, 6000)), [this, i] {
    if (fleet_.store().access(i) == MetadataStore::Access::kServed) return;
    NoteGateway(i, "is served by the store");
    fleet_.SetStoreAccess(i, MetadataStore::Access::kServed);
  });
}

}  // namespace vanilladeck::process

#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "process/fleet.h"

namespace vanilladeck::process {

/// Random faults and changes that overlap, all drawn from one seed: returns of the store from
/// copies, gateways that stop, are killed, pause or lose the store, policies, and servers that
/// leave and join.
class FleetFaults {
 public:
  FleetFaults(Fleet& fleet, std::uint32_t seed) : fleet_(fleet), random_(seed) {}
  FleetFaults(const FleetFaults&) = delete;
  FleetFaults& operator=(const FleetFaults&) = delete;

  /// Runs the fleet with faults for `time`.
  void RunFor(milliseconds time);
  /// Ends all faults, and runs until all gateways are ready; false if they are not in time.
  [[nodiscard]] bool Settle();

  /// What was done, one line each, with the time since the start in ms.
  [[nodiscard]] const std::string& log() const noexcept { return log_; }

 private:
  enum class GatewayState : std::uint8_t { kRunning, kStopping, kPaused };

  void Repeat(int shortest_ms, int longest_ms, const std::function<void()>& action);
  [[nodiscard]] int Draw(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }
  void Note(const std::string& text);
  void NoteGateway(std::size_t gateway, const std::string& text);

  void LoseStoreAgain();
  void LoseStore();
  /// Kills or pauses a gateway that starts or goes on shortly after the store's return, or none.
  void DisturbAroundReturn(milliseconds silence);
  void SendPolicy();
  void ChangeServer();
  void DisturbGateway();
  void DisturbAccess();
  /// A running gateway that may be disturbed, or nothing.
  [[nodiscard]] std::optional<std::size_t> DrawRunning();
  /// SIGKILL, and another start after `until_start`.
  void Kill(std::size_t gateway, milliseconds until_start);
  void Pause(std::size_t gateway, milliseconds time);
  /// Waits for the end, from `kill_at` on with SIGKILL, and starts not before `start_at`.
  void RestartWhenEnded(std::size_t gateway, Clock::time_point start_at, Clock::time_point kill_at);
  void Continue(std::size_t gateway);
  [[nodiscard]] std::size_t ReadyServers(std::size_t service) const;

  Fleet& fleet_;
  std::mt19937 random_;
  Clock::time_point start_ = Clock::now();
  bool stopped_ = false;
  int losses_ = 0;
  std::vector<GatewayState> gateways_ =
      std::vector<GatewayState>(fleet_.gateway_count(), GatewayState::kRunning);
  std::string log_;
};

}  // namespace vanilladeck::process

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/replay/trace.h"

namespace vanilladeck::replay::impl {

/// A simulated backend server. It accepts every request, also above its slots.
struct FleetServer {
  std::string region;
  std::string failure_domain;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t shifted = 0;  ///< Number of shifted requests so far; they warm the cache.
  std::optional<core::Duration> leaving_since;
};

/// The simulated backend servers of all failure domains.
class Fleet {
 public:
  explicit Fleet(const Trace& trace);

  /// Starts a request and returns how long it runs.
  core::Duration Start(const std::string& address, core::Duration service, bool shifted,
                       core::Duration now);
  void Finish(const std::string& address, core::Duration now);

  [[nodiscard]] std::map<std::string, FleetServer>& servers() noexcept { return servers_; }
  [[nodiscard]] std::uint64_t starts_over_capacity() const noexcept {
    return starts_over_capacity_;
  }
  [[nodiscard]] std::uint32_t Slots() const noexcept;
  [[nodiscard]] std::optional<core::Duration> last_start_on_leaving() const noexcept {
    return last_start_on_leaving_;
  }
  [[nodiscard]] std::optional<core::Duration> drained_after() const noexcept {
    return drained_after_;
  }

 private:
  double cold_factor_;
  std::uint32_t cold_requests_;
  std::map<std::string, FleetServer> servers_;
  std::uint64_t starts_over_capacity_ = 0;
  std::optional<core::Duration> last_start_on_leaving_;
  std::optional<core::Duration> drained_after_;
};

}  // namespace vanilladeck::replay::impl

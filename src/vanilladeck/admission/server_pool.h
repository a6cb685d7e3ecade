#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "vanilladeck/admission/impl/backend_server.h"
#include "vanilladeck/config/deployment.h"
#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::admission {

enum class PoolErrorCode : std::uint8_t { kNoSlots, kNoConnections, kNoSeats };

inline constexpr std::array<std::string_view, 3> kPoolErrorNames{"no-slots", "no-connections",
                                                                 "no-seats"};

struct PoolError {
  PoolErrorCode code = PoolErrorCode::kNoSlots;
  std::string failure_domain;
};

enum class PickErrorCode : std::uint8_t {
  kNoServer,     ///< No server accepts requests: all are leaving, ejected or removed.
  kNoSlot,       ///< Every slot of the own share is in use.
  kSeatExpired,  ///< The seats have expired; nothing may be dispatched.
};

inline constexpr std::array<std::string_view, 3> kPickErrorNames{"no-server", "no-slot",
                                                                 "seat-expired"};

struct PickError {
  PickErrorCode code = PickErrorCode::kNoServer;
};

/// A backend server in the platform's list.
struct ListedServer {
  std::string address;
  bool leaving = false;
};

/// Outcome of a dispatched request with regard to the server.
enum class FinishKind : std::uint8_t {
  kSuccess,    ///< A complete response.
  kShed,       ///< Refused by the server because of overload; not run.
  kTimeout,    ///< No response in time.
  kError,      ///< Reset or truncated response.
  kConnect,    ///< No connection could be opened; not run.
  kCancelled,  ///< Cancelled by the caller; not attributed to the server.
};

enum class HealthState : std::uint8_t { kHealthy, kLeaving, kUnreachable };

/// Backend servers of one service in the own failure domain, and the own share of their slots.
///
/// Each of n seats has a fixed share of each server's slots (`SeatShare`); this instance dispatches
/// only within the shares of the seats it holds, so that wrong load reports and stale lists never
/// overload a server. Load reports only lower the limit, see `impl::BackendServer`.
class ServerPool {
 public:
  [[nodiscard]] static core::Result<ServerPool, PoolError> Create(const config::Place& place,
                                                                  std::uint32_t seat_count);

  [[nodiscard]] core::Result<void, PoolError> Configure(const config::Place& place,
                                                        std::uint32_t seat_count);

  /// Sets the seats held until `valid_until`; later picks fail until the seats are renewed.
  void SetSeats(std::vector<std::uint32_t> seats, core::TimePoint valid_until);

  /// Replaces the platform's list. Servers of the first list count as warm, later ones start cold.
  /// A server that was delisted while leaving must pass a health probe when listed again. An empty
  /// list after one with servers is ignored: it is more likely a fault of the platform, and servers
  /// that have stopped refuse connections.
  void SetServers(const std::vector<ListedServer>& servers, core::TimePoint now);

  /// Chooses the least loaded server of a rotating sample and counts the request as started.
  /// `avoid` (the server of a failed first attempt) is excluded.
  [[nodiscard]] core::Result<std::string, PickError> Pick(core::TimePoint now,
                                                          std::string_view avoid = {});

  /// Ends a request that `Pick` placed on `address`.
  void OnFinished(std::string_view address, FinishKind kind, core::TimePoint now);

  /// Applies a `/load` report. A missing or repeated report never lowers the load.
  void OnLoadReport(std::string_view address, std::uint32_t busy, core::TimePoint now);

  /// A response header announced that the server is leaving.
  void OnLeaving(std::string_view address);

  /// Result of a `/health` request.
  void OnHealth(std::string_view address, HealthState state, core::TimePoint now);

  /// Servers to probe with `/health` now: leaving, relisted, and those whose ejection time is over.
  [[nodiscard]] std::vector<std::string> ProbesDue(core::TimePoint now) const;

  /// Raises the ramps; call about every 100 ms.
  void Tick(core::TimePoint now);

  /// Limit on own requests in flight over all servers: the scheduler's capacity.
  [[nodiscard]] std::uint32_t UsableSlots() const noexcept { return usable_slots_; }
  [[nodiscard]] std::uint32_t InFlight() const noexcept { return in_flight_; }
  [[nodiscard]] std::uint32_t InFlight(std::string_view address) const;
  /// Free slots of the own share.
  [[nodiscard]] std::uint32_t FreeSlots(core::TimePoint now) const noexcept;
  /// True if a report arrived within the last 2 s for at least half of the usable servers.
  [[nodiscard]] bool Measured(core::TimePoint now) const noexcept;
  /// Connections to the server that belong to the held seats.
  [[nodiscard]] std::uint32_t ConnectionShare(std::string_view address) const;
  [[nodiscard]] bool Leaving(std::string_view address) const;
  /// True if the server accepts no new requests and none of the own are in flight.
  [[nodiscard]] bool Drained(std::string_view address) const;
  [[nodiscard]] std::vector<std::string> Addresses() const;

 private:
  struct Tombstone {
    core::TimePoint since;
    bool unreachable = false;
  };

  ServerPool(const config::Place& place, std::uint32_t seat_count)
      : place_(place), seat_count_(seat_count) {}

  [[nodiscard]] impl::BackendServer* Find(std::string_view address);
  [[nodiscard]] const impl::BackendServer* Find(std::string_view address) const;
  void AddServer(const ListedServer& listed, bool first_list, core::TimePoint now);
  void RemoveServer(std::size_t index);
  void ApplyShares(impl::BackendServer& server) const;
  /// Updates the totals and the set of available servers after a change to one server.
  void Refresh(std::size_t index);
  void RefreshAll();
  [[nodiscard]] bool MayEject() const noexcept;
  [[nodiscard]] std::size_t IndexOf(const impl::BackendServer& server) const noexcept {
    return static_cast<std::size_t>(&server - servers_.data());
  }

  config::Place place_;
  std::uint32_t seat_count_ = 1;
  std::vector<std::uint32_t> seats_;
  core::TimePoint valid_until_;
  std::vector<impl::BackendServer> servers_;
  std::vector<std::uint32_t> limits_;  ///< Parallel to `servers_`; sum in `usable_slots_`.
  std::unordered_map<std::string, std::size_t> index_;
  std::unordered_map<std::string, Tombstone> tombstones_;  ///< Delisted while leaving.
  std::unordered_map<std::string, core::TimePoint> reported_at_;
  std::vector<std::size_t> available_;  ///< Indices of servers with a free slot of the own share.
  std::size_t cursor_ = 0;
  std::uint32_t usable_slots_ = 0;
  std::uint32_t in_flight_ = 0;
  bool has_list_ = false;
};

}  // namespace vanilladeck::admission

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::steering {

/// Limits that servers state on the rate of their requests from all instances together.
///
/// While a server states a limit, only a few instances of its region send to it, each an equal part
/// of the limit; they are chosen by rendezvous hashing, so that the sum holds without coordination.
/// They state the limit to the other instances, which send nothing and thus get no responses of
/// that server. What a server itself has said recently goes before what other instances state.
class ServerLimits {
 public:
  /// Limits in requests per second, by id of the server.
  using Limits = std::map<std::string, double>;

  explicit ServerLimits(std::string instance) : instance_(std::move(instance)) {}

  /// Sets the names of the instances of each region, including this one.
  void SetInstances(std::map<std::string, std::vector<std::string>> instances_by_region);

  /// A response of the server states a limit, or none. `region` is that of the server.
  void OnResponse(const std::string& server, const std::string& region, std::optional<double> limit,
                  core::TimePoint now);

  /// Sets the limits that another instance states; empty when it leaves.
  void OnStated(const std::string& instance, Limits limits);

  /// True if a request may be sent to the server now.
  [[nodiscard]] bool Allows(const std::string& server, const std::string& region,
                            core::TimePoint now);
  /// Records a request that is sent to the server.
  void OnSent(const std::string& server, core::TimePoint now);

  /// Limits that this instance states to the others.
  [[nodiscard]] Limits Stated(core::TimePoint now) const;

  /// Time for which a response counts. An instance that sends to a server hears of it more often,
  /// and others learn from its statement within seconds.
  static constexpr core::Duration kResponseLifetime = std::chrono::seconds(10);
  /// Smallest part of a limit, in requests per second, that one instance gets if others share it.
  static constexpr double kMinPart = 1;

 private:
  struct Entry {
    std::optional<double> limit;  ///< In the last response.
    core::TimePoint responded_at;
    bool states = false;  ///< This instance was one of the senders at the last response.
    double tokens = 0;    ///< Requests that may be sent at `refilled_at`, at most one.
    core::TimePoint refilled_at;
    /// Part of `part_of` that this instance may use, as of `part_generation`.
    double part = 0;
    double part_of = 0;
    std::uint64_t part_generation = 0;
  };

  /// The limit in force at this instance, or none.
  [[nodiscard]] std::optional<double> LimitOf(const std::string& server, const Entry* entry,
                                              core::TimePoint now) const;
  /// Part of the limit that this instance may use; 0 if others are the senders.
  [[nodiscard]] double OwnPart(const std::string& server, const std::string& region,
                               double limit) const;
  void Refill(const std::string& server, const std::string& region, Entry& entry, double limit,
              core::TimePoint now) const;

  std::string instance_;
  std::map<std::string, std::vector<std::string>> instances_by_region_;
  std::map<std::string, Entry> entries_;  ///< By id of the server.
  std::map<std::string, Limits> stated_;  ///< By name of the instance; none is empty.
  Limits lowest_stated_;                  ///< Over all instances in `stated_`.
  std::uint64_t generation_ = 1;          ///< Of `instances_by_region_`.
};

}  // namespace vanilladeck::steering

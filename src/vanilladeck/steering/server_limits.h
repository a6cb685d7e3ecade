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
/// that server. Another instance that is the first to learn of a limit states it until a sender
/// does.
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
  void OnStated(const std::string& instance, Limits limits, core::TimePoint now);

  /// True if a request may be sent to the server now.
  [[nodiscard]] bool Allows(const std::string& server, const std::string& region,
                            core::TimePoint now);
  /// Records a request that is sent to the server.
  void OnSent(const std::string& server);

  /// Limits that this instance states to the others.
  [[nodiscard]] Limits Stated(core::TimePoint now) const;
  /// Limits that this instance and others but `instance` state, to be relayed to that one.
  [[nodiscard]] Limits RelayedTo(const std::string& instance, core::TimePoint now) const;

  /// How long a response counts at a sender, which may send again at any time and so gets the next.
  static constexpr core::Duration kSenderLifetime = std::chrono::seconds(60);
  /// How long a response counts at another instance, and a sender's knowledge from a statement. The
  /// latter is shorter than `kSenderLifetime`, so that senders don't keep a limit alive by stating
  /// it to each other after one of them has learnt of its end.
  static constexpr core::Duration kResponseLifetime = std::chrono::seconds(10);
  static constexpr core::Duration kAdoptionLifetime = std::chrono::seconds(30);
  /// How long a statement counts after its end, while another instance becomes the sender.
  static constexpr core::Duration kStatementGrace = std::chrono::seconds(3);
  /// Smallest part of a limit, in requests per second, that one instance gets if others share it.
  static constexpr double kMinPart = 1;

 private:
  struct Entry {
    std::optional<double> limit;
    core::TimePoint since;  ///< Of the response or the adoption.
    bool adopted = false;   ///< From a statement, not from a response.
    bool stated = false;    ///< Stated to others although this instance is no sender.
    double tokens = 0;      ///< Requests that may be sent at `refilled_at`, at most one.
    core::TimePoint refilled_at;
    /// Part of `part_of` that this instance may use, as of `part_generation`.
    double part = 0;
    double part_of = 0;
    std::uint64_t part_generation = 0;
  };
  struct Statement {
    double limit = 0;             ///< The lowest one over all instances.
    core::TimePoint valid_until;  ///< Maximum while an instance states it.
  };

  /// The limit in force at this instance, or none. A sender adopts what others state.
  [[nodiscard]] std::optional<double> LimitOf(const std::string& server, const std::string& region,
                                              core::TimePoint now);
  [[nodiscard]] static bool IsCurrent(const Entry& entry, core::TimePoint now);
  [[nodiscard]] const Statement* FindStatement(const std::string& server,
                                               core::TimePoint now) const;
  Entry& EntryOf(const std::string& server, core::TimePoint now);
  /// Updates the part of `limit` that this instance may use; 0 if others are the senders.
  void UpdatePart(Entry& entry, const std::string& server, const std::string& region,
                  double limit) const;

  std::string instance_;
  std::map<std::string, std::vector<std::string>> instances_by_region_;
  std::uint64_t generation_ = 1;                 ///< Of `instances_by_region_`.
  std::map<std::string, Entry> entries_;         ///< By id of the server.
  std::map<std::string, Limits> stated_;         ///< By name of the instance; none is empty.
  std::map<std::string, Statement> statements_;  ///< By id of the server.
};

}  // namespace vanilladeck::steering

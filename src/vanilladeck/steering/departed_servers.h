#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "vanilladeck/steering/server.h"
#include "vanilladeck/store/era.h"

namespace vanilladeck::steering {

/// What the last reports of servers said that are no longer listed.
///
/// When the platform's store returns from an older copy, it may list a server again that has left,
/// with a report from before. Reports of one lifetime are ordered by the server's own counter, so
/// that such a report is recognized although its position in the store is new. An instance that has
/// nothing but the copy learns from others what they know (`OnStated`).
class DepartedServers {
 public:
  struct Departure {
    std::string server;  ///< Its id.
    std::string service;
    std::string address;
    std::string failure_domain;
    std::int64_t born_ms = 0;
    std::int64_t sequence = 0;
    bool draining = false;
    /// The server is still listed, and draining, where this is known.
    bool listed = false;
    store::Era era = 0;  ///< In which the removal was read; 0 if the server is still listed.
    core::TimePoint at;
  };

  /// `server` was removed from the list in `era`.
  void OnRemoved(const Server& server, store::Era era, core::TimePoint now);

  /// Another instance states what it knows of a server that is not listed here. Of two statements
  /// about one server the one with the later report counts.
  void OnStated(const Departure& stated, core::TimePoint now);

  enum class Verdict : std::uint8_t {
    kNew,       ///< The report is to be used.
    kLeaving,   ///< Also, and its server had reported before that it leaves.
    kOutdated,  ///< The report is not newer than what was known when its server left.
  };

  /// Judges a report that was read in a later era than `known`.
  [[nodiscard]] static Verdict Judge(const Departure& known, const ServerReport& report) noexcept;

  /// Judges a report, read in `era`, of a server that is not listed. A report that is used ends the
  /// memory of its server. Within the era of the removal all reports are new.
  Verdict OnReport(const ServerReport& report, store::Era era, core::TimePoint now);

  /// Null if none is remembered.
  [[nodiscard]] const Departure* Find(const std::string& id) const;
  /// The newest departures of eras before `era`, at most `limit`.
  [[nodiscard]] std::vector<Departure> Before(store::Era era, std::size_t limit,
                                              core::TimePoint now) const;
  [[nodiscard]] std::size_t size() const noexcept { return departures_.size(); }

  /// A copy is some seconds old. The rest covers a store that is away before it returns.
  static constexpr core::Duration kMemory = std::chrono::seconds(120);
  /// Bounds the memory if servers come and go all the time; the oldest are forgotten first.
  static constexpr std::size_t kMaxServers = 4096;

 private:
  void Put(Departure departure, core::TimePoint now);

  std::map<std::string, Departure> departures_;  ///< By server id.
};

}  // namespace vanilladeck::steering

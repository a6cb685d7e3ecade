#include "process/fleet_checks.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "process/fleet.h"

namespace vanilladeck::process {
namespace {

milliseconds Since(Clock::time_point from, Clock::time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

class Search {
 public:
  explicit Search(const FleetRecords& records)
      : records_(records),
        start_(records.requests.empty() ? Clock::now() : records.requests[0].sent) {}

  Breaches Find() && {
    for (std::size_t i = 0; i < records_.requests.size(); ++i) {
      const Request& it = records_.requests[i];
      id_ = i;
      const bool in_touch = IsInTouch(records_, it.gateway, it.sent);
      if (in_touch) ++found_.judged;
      if (in_touch) CheckVersion(it, {}, found_.config);
      CheckDowngrade(it);
      if (in_touch) CheckDrain(it);
      CheckEarly(it);
      CheckLost(it);
      CheckPromises(it, in_touch);
    }
    return std::move(found_);
  }

 private:
  [[nodiscard]] std::size_t ServiceOf(const Run& run) const {
    return records_.service_of_server[run.server];
  }

  /// The request, and when it was sent, in ms from the first request.
  [[nodiscard]] std::string Text(const Request& it) const {
    std::ostringstream out;
    out << "request " << std::hex << id_ << std::dec << " at gateway " << it.gateway + 1 << " sent "
        << Since(start_, it.sent).count() << " ms";
    return out.str();
  }

  /// A version from `oldest` on, sent until `time`, that sends the moved route to `service`.
  [[nodiscard]] std::optional<std::size_t> VersionFor(std::size_t service, std::size_t oldest,
                                                      Clock::time_point time) const {
    for (std::size_t i = oldest; i < records_.versions.size(); ++i) {
      if (records_.versions[i].sent > time) break;
      if (records_.versions[i].service == service) return i;
    }
    return std::nullopt;
  }

  /// Requires the newest version whose bound is over. Those acknowledged before the store's last
  /// return count from when they are written again.
  void CheckVersion(const Request& it, Clock::time_point returned,
                    std::vector<std::string>& found) const {
    if (it.service) return;
    std::size_t oldest = 0;
    for (std::size_t i = 0; i < records_.versions.size(); ++i) {
      const auto acknowledged = records_.versions[i].acknowledged;
      if (!acknowledged) continue;
      const auto from = *acknowledged > returned ? *acknowledged : returned + Fleet::kRewriteTime;
      if (from + Fleet::kConfigBound <= it.sent) oldest = i;
    }
    for (const Run& run : it.runs) {
      if (VersionFor(ServiceOf(run), oldest, run.at)) continue;
      const auto acknowledged = *records_.versions[oldest].acknowledged;
      found.push_back(Text(it) + " ran on service " + std::to_string(ServiceOf(run)) +
                      ", version " + std::to_string(records_.versions[oldest].number) +
                      " was acknowledged " + std::to_string(Since(acknowledged, it.sent).count()) +
                      " ms before");
    }
  }

  void CheckDowngrade(const Request& it) {
    if (it.service) return;
    auto& seen = seen_[{it.gateway, it.gateway_lifetime}];
    std::size_t oldest = 0;
    for (const auto& [at, version] : seen) {
      if (at + Fleet::kDowngradeBound < it.sent) oldest = std::max(oldest, version);
    }
    for (const Run& run : it.runs) {
      const auto version = VersionFor(ServiceOf(run), oldest, run.at);
      if (!version) {
        found_.downgrade.push_back(Text(it) + " ran on service " + std::to_string(ServiceOf(run)) +
                                   " after version " +
                                   std::to_string(records_.versions[oldest].number) + " was seen");
      } else if (seen.empty() || seen.back().second < *version) {
        seen.emplace_back(run.at, *version);
      }
    }
  }

  void CheckDrain(const Request& it) {
    for (const Run& run : it.runs) {
      const auto acknowledged = LeavingOf(run);
      if (!acknowledged || !IsInTouch(records_, it.gateway, run.at)) continue;
      // An acknowledgement counts from when the store is stable.
      auto from = *acknowledged;
      for (const Impairment& impairment : records_.store_impairments) {
        if (impairment.end &&
            impairment.Overlaps(*acknowledged - Fleet::kContactTime, *acknowledged)) {
          from = std::max(from, *impairment.end + Fleet::kContactTime);
        }
      }
      if (run.at > from + Fleet::kDrainBound) found_.drain.push_back(DrainText(it, run));
    }
  }

  /// Checks gateways that run and reach the store, from the store's last return on.
  void CheckEarly(const Request& it) {
    const auto unimpaired = [&](const Impairment& impairment) {
      return !impairment.Overlaps(it.sent - Fleet::kContactTime, it.ended);
    };
    const auto& own = records_.gateway_impairments[it.gateway];
    if (!std::all_of(own.begin(), own.end(), unimpaired)) return;
    Clock::time_point returned;
    for (const Impairment& impairment : records_.store_impairments) {
      if (impairment.begin > it.ended) break;
      if (!impairment.end || *impairment.end > it.sent) return;
      returned = *impairment.end;
    }
    CheckVersion(it, returned, found_.early);
    for (const Run& run : it.runs) {
      const auto acknowledged = LeavingOf(run);
      if (!acknowledged) continue;
      const auto from = *acknowledged > returned ? *acknowledged : returned + Fleet::kRewriteTime;
      if (run.at > from + Fleet::kDrainBound) found_.early.push_back(DrainText(it, run));
    }
  }

  [[nodiscard]] std::optional<Clock::time_point> LeavingOf(const Run& run) const {
    return records_.servers[run.server][run.lifetime].leaving_acknowledged;
  }
  [[nodiscard]] std::string DrainText(const Request& it, const Run& run) const {
    return Text(it) + " reached " + records_.servers[run.server][run.lifetime].id + " " +
           std::to_string(Since(*LeavingOf(run), run.at).count()) + " ms after its leaving";
  }

  void CheckLost(const Request& it) {
    if (it.runs.empty() || it.ending != Ending::kClosed) return;
    // The end of a killed process may be seen a little after the signal.
    const auto killed = records_.gateways[it.gateway][it.gateway_lifetime].killed;
    if (killed && *killed <= it.ended) return;
    found_.lost.push_back(Text(it) + " ran and was closed " +
                          std::to_string(Since(it.sent, it.ended).count()) + " ms later");
  }

  void CheckPromises(const Request& it, bool in_touch) {
    if (!it.idempotent && it.runs.size() > 1) found_.twice.push_back(Text(it));
    const bool promise =
        it.status == 408 || it.status == 421 || it.status == 429 || it.status == 503;
    if (!it.idempotent && promise && !it.runs.empty()) {
      found_.refused.push_back(Text(it) + " status " + std::to_string(it.status));
    }
    const bool denied = it.status >= 300 && it.status < 500 && !promise;
    if (denied) {
      found_.denied.push_back(Text(it) + " status " + std::to_string(it.status) +
                              (in_touch ? "" : ", out of touch"));
    }
  }

  const FleetRecords& records_;
  Clock::time_point start_;
  std::size_t id_ = 0;
  /// By gateway and its lifetime: when the effect of a version was first seen.
  std::map<std::pair<std::size_t, std::size_t>,
           std::vector<std::pair<Clock::time_point, std::size_t>>>
      seen_;
  Breaches found_;
};

}  // namespace

std::string Breaches::Text() const {
  constexpr std::size_t kTexts = 4;
  std::ostringstream out;
  const auto add = [&](const char* name, const std::vector<std::string>& texts) {
    out << name << ' ' << texts.size() << '\n';
    for (std::size_t i = 0; i < std::min(texts.size(), kTexts); ++i) {
      out << "  " << texts[i] << '\n';
    }
  };
  out << "judged " << judged << '\n';
  add("config", config);
  add("downgrade", downgrade);
  add("drain", drain);
  add("lost", lost);
  add("twice", twice);
  add("refused", refused);
  add("denied", denied);
  add("early", early);
  return out.str();
}

bool IsInTouch(const FleetRecords& records, std::size_t gateway, Clock::time_point time) {
  const auto overlaps = [&](const Impairment& it) {
    return it.Overlaps(time - Fleet::kContactTime, time);
  };
  const auto& own = records.gateway_impairments[gateway];
  return std::none_of(own.begin(), own.end(), overlaps) &&
         std::none_of(records.store_impairments.begin(), records.store_impairments.end(), overlaps);
}

Breaches FindBreaches(const FleetRecords& records) { return Search(records).Find(); }

std::size_t RunsAfter(const FleetRecords& records, std::size_t server, Clock::time_point time) {
  std::size_t n = 0;
  for (const Request& it : records.requests) {
    n +=
        static_cast<std::size_t>(std::count_if(it.runs.begin(), it.runs.end(), [&](const Run& run) {
          return run.server == server && run.at > time;
        }));
  }
  return n;
}

}  // namespace vanilladeck::process

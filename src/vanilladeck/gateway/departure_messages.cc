#include "vanilladeck/gateway/departure_messages.h"

#include <optional>

#include "vanilladeck/core/deflate.h"
#include "vanilladeck/core/json.h"
#include "vanilladeck/gateway/json_members.h"

namespace vanilladeck::gateway {
namespace {

using Departure = steering::DepartedServers::Departure;

// An entry takes about 200 bytes.
constexpr std::size_t kMaxBytes = kMaxStatedDepartures * 4096;
constexpr std::chrono::milliseconds kMaxAge =
    std::chrono::duration_cast<std::chrono::milliseconds>(steering::DepartedServers::kMemory);

std::optional<Departure> DecodeDeparture(const nlohmann::json& entry, core::TimePoint now) {
  JsonMembers members(entry);
  Departure it;
  it.server = members.Text("server");
  it.service = members.Text("service");
  it.address = members.Text("address");
  it.failure_domain = members.Text("domain");
  it.born_ms = members.Whole<std::int64_t>("born");
  it.sequence = members.Whole<std::int64_t>("sequence");
  it.draining = members.Flag("draining");
  it.listed = members.Flag("listed");
  it.era = members.Whole<store::Era>("era");
  const std::chrono::milliseconds age(members.Whole<std::int64_t>("age_ms"));
  // Numbers beyond the range of the types are negative here.
  const bool in_range =
      it.born_ms >= 0 && it.sequence >= 0 && it.era >= 0 && age >= age.zero() && age <= kMaxAge;
  const bool consistent = !it.listed || (it.draining && it.born_ms > 0);
  if (!members.valid() || !in_range || !consistent || it.server.empty()) return std::nullopt;
  it.at = now - age;
  return it;
}

}  // namespace

std::string EncodeDepartures(const std::vector<Departure>& departures, core::TimePoint now) {
  if (departures.empty()) return {};
  nlohmann::json entries = nlohmann::json::array();
  for (const Departure& it : departures) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - it.at);
    entries.push_back({{"server", it.server},
                       {"service", it.service},
                       {"address", it.address},
                       {"domain", it.failure_domain},
                       {"born", it.born_ms},
                       {"sequence", it.sequence},
                       {"draining", it.draining},
                       {"listed", it.listed},
                       {"era", it.era},
                       {"age_ms", age.count()}});
  }
  return core::Deflate(entries.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
}

StatedDepartures DecodeDepartures(std::string_view body, core::TimePoint now) {
  StatedDepartures stated;
  if (body.empty()) return stated;
  const auto text = core::Inflate(body, kMaxBytes);
  const nlohmann::json entries = core::ParseJson(text ? *text : std::string());
  if (!entries.is_array()) {
    stated.malformed = 1;
    return stated;
  }
  for (const nlohmann::json& entry : entries) {
    auto departure = stated.departures.size() < kMaxStatedDepartures ? DecodeDeparture(entry, now)
                                                                     : std::nullopt;
    if (departure) {
      stated.departures.push_back(std::move(*departure));
    } else {
      ++stated.malformed;
    }
  }
  return stated;
}

}  // namespace vanilladeck::gateway

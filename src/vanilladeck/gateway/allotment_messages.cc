#include "vanilladeck/gateway/allotment_messages.h"

#include <cmath>

#include "vanilladeck/core/json.h"
#include "vanilladeck/gateway/json_members.h"

namespace vanilladeck::gateway {
namespace {

using nlohmann::json;

// Tokens are sent with this resolution. Numbers of tokens held are rounded up, those granted down,
// so that rounding does not add to the sum.
constexpr double kResolution = 1000;

double RoundUp(double tokens) { return std::ceil(tokens * kResolution) / kResolution; }
double RoundDown(double tokens) { return std::floor(tokens * kResolution) / kResolution; }

std::string Dump(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

/// True for an array of a customer's name and `amounts` numbers.
bool IsEntry(const json& value, std::size_t amounts) {
  if (!value.is_array() || value.size() != amounts + 1 || !value[0].is_string()) return false;
  for (std::size_t i = 1; i <= amounts; ++i) {
    if (!JsonMembers::IsAmount(value[i])) return false;
  }
  return true;
}

}  // namespace

std::string EncodeAllotmentRequest(const customers::AllotmentRequest& request) {
  json entries = json::array();
  for (const auto& it : request.entries) {
    entries.push_back({it.customer, RoundUp(it.tokens), RoundDown(it.need), RoundDown(it.spare)});
  }
  const std::string body = Dump({{"sender", request.sender},
                                 {"process", request.process},
                                 {"sequence", request.sequence},
                                 {"complete", request.complete},
                                 {"share", request.share},
                                 {"registered", request.registered},
                                 {"fleet", request.fleet_weight},
                                 {"listed", request.listed_weight},
                                 {"granter", request.granter_process},
                                 {"until", request.lent_until_ms},
                                 {"entries", std::move(entries)}});
  std::string text = "POST ";
  text.append(kAllotmentPath).append(" HTTP/1.1\r\nHost: peer\r\nContent-Length: ");
  return text.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

std::optional<customers::AllotmentRequest> DecodeAllotmentRequest(std::string_view body) {
  const json object = core::ParseJson(body);
  JsonMembers members(object);
  customers::AllotmentRequest request;
  request.sender = members.Text("sender");
  request.process = members.Whole<std::uint64_t>("process");
  request.sequence = members.Whole<std::uint64_t>("sequence");
  request.complete = members.Flag("complete");
  request.share = members.Number("share");
  request.registered = members.Flag("registered");
  request.fleet_weight = members.Number("fleet");
  request.listed_weight = members.Number("listed");
  request.granter_process = members.Whole<std::uint64_t>("granter");
  request.lent_until_ms = members.Whole<std::int64_t>("until");
  for (const json& it : members.Array("entries")) {
    if (!IsEntry(it, 3)) return std::nullopt;
    customers::AllotmentRequest::Entry entry;
    entry.customer = it[0].get<std::string>();
    entry.tokens = it[1].get<double>();
    entry.need = it[2].get<double>();
    entry.spare = it[3].get<double>();
    request.entries.push_back(std::move(entry));
  }
  // A term beyond this cannot be compared with the clock.
  constexpr std::int64_t kMaxClockMs = std::int64_t{1} << 42U;
  if (!members.valid() || request.sender.empty() || request.lent_until_ms > kMaxClockMs) {
    return std::nullopt;
  }
  return request;
}

std::string EncodeAllotmentAnswer(const customers::AllotmentAnswer& answer) {
  json grants = json::array();
  for (const auto& it : answer.grants) grants.push_back({it.customer, RoundDown(it.tokens)});
  return Dump({{"process", answer.process},
               {"clock", answer.clock_ms},
               {"majority", answer.majority},
               {"known", answer.known},
               {"fleet", answer.fleet_weight},
               {"grants", std::move(grants)}});
}

std::optional<customers::AllotmentAnswer> DecodeAllotmentAnswer(std::string_view body) {
  const json object = core::ParseJson(body);
  JsonMembers members(object);
  customers::AllotmentAnswer answer;
  answer.process = members.Whole<std::uint64_t>("process");
  answer.clock_ms = members.Whole<std::int64_t>("clock");
  answer.majority = members.Flag("majority");
  answer.known = members.Flag("known");
  answer.fleet_weight = members.Number("fleet");
  for (const json& it : members.Array("grants")) {
    if (!IsEntry(it, 1)) return std::nullopt;
    answer.grants.push_back({it[0].get<std::string>(), it[1].get<double>()});
  }
  if (!members.valid() || answer.process == 0) return std::nullopt;
  return answer;
}

}  // namespace vanilladeck::gateway

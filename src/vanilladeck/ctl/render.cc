#include "vanilladeck/ctl/render.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "vanilladeck/ctl/options.h"

namespace vanilladeck::ctl {
namespace {

using nlohmann::json;
using Rows = std::vector<std::vector<std::string>>;

const json& MemberOrEmpty(const json& from, const char* key) {
  static const json empty = json::array();
  if (!from.is_object()) return empty;
  const auto it = from.find(key);
  return it == from.end() ? empty : *it;
}

std::string TimeField(const json& from, const char* key) {
  const auto& value = MemberOrEmpty(from, key);
  if (!value.is_number_integer() || value.get<std::int64_t>() == 0) return "-";
  return FormatTime(value.get<std::int64_t>());
}

std::string ShortHash(const json& from, const char* key) {
  constexpr std::size_t kShownDigits = 12;
  return Field(from, key).substr(0, kShownDigits);
}

Rows ChangeRows(const json& heads) {
  Rows rows{{"VERSION", "ACCEPTED", "WHO", "MARK", "HASH"}};
  for (const auto& head : heads) {
    rows.push_back({Field(head, "version"), TimeField(head, "when_ms"), Field(head, "who"),
                    Field(head, "mark"), ShortHash(head, "hash")});
  }
  return rows;
}

}  // namespace

std::string Field(const json& json, const char* key) {
  const auto& value = MemberOrEmpty(json, key);
  if (value.is_string()) return value.get<std::string>();
  return value.is_null() || value.is_array() ? std::string() : value.dump();
}

std::string RenderTable(const Rows& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

std::string RenderStatus(const json& status) {
  Rows rows{{"INSTANCE", Field(status, "instance")},
            {"FAILURE DOMAIN", Field(status, "failure_domain")},
            {"VERSION", Field(status, "version")},
            {"HASH", ShortHash(status, "hash")},
            {"IN FORCE SINCE", TimeField(status, "in_force_since_ms")},
            {"CONFIRMED", TimeField(status, "confirmed_ms")},
            {"AGE MS", Field(status, "age_ms")},
            {"NEWEST KNOWN", Field(status, "newest_known_version")},
            {"READER", Field(status, "reader")}};
  for (const char* key : {"reason", "problem"}) {
    if (!Field(status, key).empty()) rows.push_back({key, Field(status, key)});
  }
  Rows lagging{{"LAGGING PEER", "VERSION", "HEARD"}};
  for (const auto& peer : MemberOrEmpty(status, "lagging")) {
    lagging.push_back({Field(peer, "peer"), Field(peer, "version"), TimeField(peer, "heard_ms")});
  }
  std::string text = RenderTable(rows);
  if (lagging.size() > 1) text += '\n' + RenderTable(lagging);
  const auto& daemon = MemberOrEmpty(status, "daemon");
  if (daemon.is_object()) text += "\ndaemon: " + daemon.dump(2) + '\n';
  return text;
}

std::string RenderHistory(const json& history) {
  Rows interval_rows{{"VERSION", "FROM", "TO"}};
  for (const auto& interval : MemberOrEmpty(history, "in_force")) {
    interval_rows.push_back(
        {Field(interval, "version"), TimeField(interval, "from_ms"), TimeField(interval, "to_ms")});
  }
  return RenderTable(ChangeRows(MemberOrEmpty(history, "accepted"))) + "\nIn force at " +
         Field(history, "instance") + ":\n" + RenderTable(interval_rows);
}

std::string RenderExplanation(const json& explanation) {
  Rows rows{{"FAILURE DOMAIN", "REGION", "SLOTS", "CAP RPS", "ELIGIBLE", "REASON", "ENTRIES"}};
  for (const auto& site : MemberOrEmpty(explanation, "sites")) {
    std::string entries;
    for (const auto& entry : MemberOrEmpty(site, "entry_instances")) {
      if (entry.is_string()) entries += (entries.empty() ? "" : ",") + entry.get<std::string>();
    }
    rows.push_back({Field(site, "failure_domain"), Field(site, "region"), Field(site, "slots"),
                    Field(site, "shift_cap_rps"), Field(site, "eligible"), Field(site, "reason"),
                    entries});
  }
  return "service " + Field(explanation, "service") + ", client " + Field(explanation, "client") +
         " in region " + Field(explanation, "client_region") + ", rank " +
         Field(explanation, "rank") + '\n' + RenderTable(rows);
}

std::string RenderApply(const json& response) {
  const auto result = Field(response, "result");
  if (result == "accepted") {
    const bool already = Field(response, "already_accepted") == "true";
    return "accepted as version " + Field(response, "version") +
           (already ? " by an earlier attempt\n" : "\n");
  }
  if (result == "conflict") {
    return "conflict: version " + Field(response, "base_version") + " is no longer the newest\n" +
           RenderTable(ChangeRows(MemberOrEmpty(response, "changes"))) +
           Field(response, "difference");
  }
  std::string text =
      result + ": " + Field(response, "reason") + ' ' + Field(response, "message") + '\n';
  for (const auto& error : MemberOrEmpty(response, "errors")) {
    text += Field(error, "file") + ':' + Field(error, "line") + ':' + Field(error, "column") +
            ": " + Field(error, "rule") + ": " + Field(error, "message") + '\n';
  }
  return text;
}

std::string RenderError(const json& response) {
  return Field(response, "error") + ": " + Field(response, "message") + '\n';
}

}  // namespace vanilladeck::ctl

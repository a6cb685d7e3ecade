#include "vanilladeck/ctl/render.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "vanilladeck/ctl/options.h"

namespace vanilladeck::ctl {
namespace {

using nlohmann::json;
using Rows = std::vector<std::vector<std::string>>;

const json& Member(const json& from, const char* key) {
  static const json empty = json::array();
  if (!from.is_object()) return empty;
  const auto it = from.find(key);
  return it == from.end() ? empty : *it;
}

std::string Time(const json& from, const char* key) {
  const auto& value = Member(from, key);
  if (!value.is_number_integer() || value.get<std::int64_t>() == 0) return "-";
  return FormatTime(value.get<std::int64_t>());
}

std::string ShortHash(const json& from, const char* key) {
  constexpr std::size_t kShown = 12;
  return Field(from, key).substr(0, kShown);
}

Rows ChangeRows(const json& heads) {
  Rows rows{{"VERSION", "ACCEPTED", "WHO", "MARK", "HASH"}};
  for (const auto& head : heads) {
    rows.push_back({Field(head, "version"), Time(head, "when_ms"), Field(head, "who"),
                    Field(head, "mark"), ShortHash(head, "hash")});
  }
  return rows;
}

}  // namespace

std::string Field(const json& json, const char* key) {
  const auto& value = Member(json, key);
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
            {"IN FORCE SINCE", Time(status, "in_force_since_ms")},
            {"CONFIRMED", Time(status, "confirmed_ms")},
            {"AGE MS", Field(status, "age_ms")},
            {"NEWEST KNOWN", Field(status, "newest_known_version")},
            {"READER", Field(status, "reader")}};
  for (const char* key : {"reason", "problem"}) {
    if (!Field(status, key).empty()) rows.push_back({key, Field(status, key)});
  }
  Rows lagging{{"LAGGING PEER", "VERSION", "HEARD"}};
  for (const auto& peer : Member(status, "lagging")) {
    lagging.push_back({Field(peer, "peer"), Field(peer, "version"), Time(peer, "heard_ms")});
  }
  std::string text = RenderTable(rows);
  if (lagging.size() > 1) text += '\n' + RenderTable(lagging);
  const auto& daemon = Member(status, "daemon");
  if (daemon.is_object()) text += "\ndaemon: " + daemon.dump(2) + '\n';
  return text;
}

std::string RenderHistory(const json& history) {
  Rows here{{"VERSION", "FROM", "TO"}};
  for (const auto& interval : Member(history, "in_force")) {
    here.push_back(
        {Field(interval, "version"), Time(interval, "from_ms"), Time(interval, "to_ms")});
  }
  return RenderTable(ChangeRows(Member(history, "accepted"))) + "\nIn force at " +
         Field(history, "instance") + ":\n" + RenderTable(here);
}

std::string RenderExplanation(const json& explanation) {
  Rows rows{{"FAILURE DOMAIN", "REGION", "SLOTS", "CAP RPS", "ELIGIBLE", "REASON", "ENTRIES"}};
  for (const auto& site : Member(explanation, "sites")) {
    std::string entries;
    for (const auto& entry : Member(site, "entry_instances")) {
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

std::string RenderApply(const json& answer) {
  const auto result = Field(answer, "result");
  if (result == "accepted") {
    const bool already = Field(answer, "already_accepted") == "true";
    return "accepted as version " + Field(answer, "version") +
           (already ? " by an earlier attempt\n" : "\n");
  }
  if (result == "conflict") {
    return "conflict: version " + Field(answer, "base_version") + " is no longer the newest\n" +
           RenderTable(ChangeRows(Member(answer, "changes"))) + Field(answer, "difference");
  }
  std::string text =
      result + ": " + Field(answer, "reason") + ' ' + Field(answer, "message") + '\n';
  for (const auto& error : Member(answer, "errors")) {
    text += Field(error, "file") + ':' + Field(error, "line") + ':' + Field(error, "column") +
            ": " + Field(error, "rule") + ": " + Field(error, "message") + '\n';
  }
  return text;
}

std::string RenderError(const json& answer) {
  return Field(answer, "error") + ": " + Field(answer, "message") + '\n';
}

}  // namespace vanilladeck::ctl

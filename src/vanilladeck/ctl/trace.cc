#include "vanilladeck/ctl/trace.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <set>
#include <sstream>
#include <string_view>

namespace vanilladeck::ctl {
namespace {

using json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 4> kRequestEventNames{"request", "refused", "failed",
                                                             "attempt"};

std::string StringOf(const json& line, const char* field) {
  const auto it = line.find(field);
  return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t EventTime(const json& line) {
  const auto it = line.find("t");
  return it != line.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

bool IsRequestEvent(const json& line) {
  const std::string event = StringOf(line, "event");
  return std::find(kRequestEventNames.begin(), kRequestEventNames.end(), event) !=
         kRequestEventNames.end();
}

std::uint64_t DroppedLines(const json& line) {
  std::uint64_t n = 0;
  for (const auto& [name, value] : line.items()) {
    if (name != "t" && value.is_number_unsigned()) n += value.get<std::uint64_t>();
  }
  return n;
}

void SortByTime(std::vector<json>& lines) {
  std::stable_sort(lines.begin(), lines.end(),
                   [](const json& a, const json& b) { return EventTime(a) < EventTime(b); });
}

void AppendLine(std::ostream& out, const json& line, std::int64_t origin) {
  out << std::showpos << std::setw(8) << EventTime(line) - origin << std::noshowpos << " ms  "
      << StringOf(line, "instance") << "  " << StringOf(line, "event");
  for (const auto& [name, value] : line.items()) {
    if (name == "t" || name == "event" || name == "instance") continue;
    out << "  " << name << '=' << value.dump();
  }
  out << '\n';
}

}  // namespace

void TraceReader::Read(std::istream& in) {
  for (std::string text; std::getline(in, text);) {
    const auto brace = text.find('{');
    json line =
        brace == std::string::npos ? json() : json::parse(text.substr(brace), nullptr, false);
    if (!line.is_object() || StringOf(line, "event").empty()) {
      if (!text.empty()) ++malformed_;
      continue;
    }
    if (!IsRequestEvent(line)) {
      state_changes_.push_back(std::move(line));
    } else if (StringOf(line, "id") == request_id_) {
      request_events_.push_back(std::move(line));
    }
  }
}

RequestTrace TraceReader::Finish() const {
  RequestTrace trace;
  trace.request_events = request_events_;
  trace.malformed = malformed_;
  SortByTime(trace.request_events);
  if (trace.request_events.empty()) return trace;
  std::set<std::string> instances;
  std::set<std::string> servers;
  for (const json& it : trace.request_events) {
    instances.insert(StringOf(it, "instance"));
    if (const std::string server = StringOf(it, "server"); !server.empty()) servers.insert(server);
    if (const auto list = it.find("servers"); list != it.end() && list->is_array()) {
      for (const json& server : *list) {
        if (server.is_string()) servers.insert(server.get<std::string>());
      }
    }
  }
  const std::int64_t begin = EventTime(trace.request_events.front()) - kContextMs;
  const std::int64_t end = EventTime(trace.request_events.back());
  for (const json& it : state_changes_) {
    if (EventTime(it) < begin || instances.count(StringOf(it, "instance")) == 0) continue;
    if (StringOf(it, "event") == "dropped") {
      // A "dropped" line is written after the loss, so those up to `kContextMs` after the request
      // count as well.
      if (EventTime(it) <= end + kContextMs) trace.dropped += DroppedLines(it);
      continue;
    }
    if (EventTime(it) > end) continue;
    const std::string server = StringOf(it, "server");
    if (server.empty() || servers.count(server) > 0) trace.context.push_back(it);
  }
  SortByTime(trace.context);
  return trace;
}

std::string RenderTrace(const std::string& request_id, const RequestTrace& trace) {
  std::ostringstream out;
  if (trace.request_events.empty()) {
    out << "no events for request " << request_id
        << "; served requests are logged for one id in 64\n";
    return out.str();
  }
  const std::int64_t origin = EventTime(trace.request_events.front());
  out << "request " << request_id << ", times relative to its first event\n";
  for (const json& it : trace.context) AppendLine(out, it, origin);
  out << "events of the request:\n";
  for (const json& it : trace.request_events) AppendLine(out, it, origin);
  if (trace.dropped > 0) {
    out << "dropped by these instances around the request: " << trace.dropped << " lines\n";
  }
  return out.str();
}

json TraceToJson(const std::string& request_id, const RequestTrace& trace) {
  return {{"id", request_id},
          {"request", trace.request_events},
          {"context", trace.context},
          {"dropped", trace.dropped},
          {"malformed", trace.malformed}};
}

}  // namespace vanilladeck::ctl

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

constexpr std::array<std::string_view, 4> kRequestEvents{"request", "refused", "failed", "attempt"};

std::string TextOf(const json& line, const char* field) {
  const auto it = line.find(field);
  return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t TimeOf(const json& line) {
  const auto it = line.find("t");
  return it != line.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

bool IsRequestEvent(const json& line) {
  const std::string event = TextOf(line, "event");
  return std::find(kRequestEvents.begin(), kRequestEvents.end(), event) != kRequestEvents.end();
}

std::uint64_t DroppedIn(const json& line) {
  std::uint64_t n = 0;
  for (const auto& [name, value] : line.items()) {
    if (name != "t" && value.is_number_unsigned()) n += value.get<std::uint64_t>();
  }
  return n;
}

void SortByTime(std::vector<json>& lines) {
  std::stable_sort(lines.begin(), lines.end(),
                   [](const json& a, const json& b) { return TimeOf(a) < TimeOf(b); });
}

void AppendLine(std::ostream& out, const json& line, std::int64_t origin) {
  out << std::showpos << std::setw(8) << TimeOf(line) - origin << std::noshowpos << " ms  "
      << TextOf(line, "instance") << "  " << TextOf(line, "event");
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
    if (!line.is_object() || TextOf(line, "event").empty()) {
      if (!text.empty()) ++malformed_;
      continue;
    }
    if (!IsRequestEvent(line)) {
      beliefs_.push_back(std::move(line));
    } else if (TextOf(line, "id") == request_id_) {
      own_.push_back(std::move(line));
    }
  }
}

RequestTrace TraceReader::Finish() const {
  RequestTrace trace;
  trace.own = own_;
  trace.malformed = malformed_;
  SortByTime(trace.own);
  if (trace.own.empty()) return trace;
  std::set<std::string> instances;
  std::set<std::string> servers;
  for (const json& it : trace.own) {
    instances.insert(TextOf(it, "instance"));
    if (const std::string server = TextOf(it, "server"); !server.empty()) servers.insert(server);
    if (const auto list = it.find("servers"); list != it.end() && list->is_array()) {
      for (const json& server : *list) {
        if (server.is_string()) servers.insert(server.get<std::string>());
      }
    }
  }
  const std::int64_t begin = TimeOf(trace.own.front()) - kContextMs;
  const std::int64_t end = TimeOf(trace.own.back());
  for (const json& it : beliefs_) {
    if (TimeOf(it) < begin || instances.count(TextOf(it, "instance")) == 0) continue;
    if (TextOf(it, "event") == "dropped") {
      // The line is written after the loss, so the next one after the request counts as well.
      if (TimeOf(it) <= end + kContextMs) trace.dropped += DroppedIn(it);
      continue;
    }
    if (TimeOf(it) > end) continue;
    const std::string server = TextOf(it, "server");
    if (server.empty() || servers.count(server) > 0) trace.context.push_back(it);
  }
  SortByTime(trace.context);
  return trace;
}

std::string RenderTrace(const std::string& request_id, const RequestTrace& trace) {
  std::ostringstream out;
  if (trace.own.empty()) {
    out << "no line names request " << request_id
        << "; served requests are logged for one id in 64\n";
    return out.str();
  }
  const std::int64_t origin = TimeOf(trace.own.front());
  out << "request " << request_id << ", times relative to its first line\n";
  for (const json& it : trace.context) AppendLine(out, it, origin);
  out << "the request itself:\n";
  for (const json& it : trace.own) AppendLine(out, it, origin);
  if (trace.dropped > 0) {
    out << "left out by these instances around it: " << trace.dropped << " lines\n";
  }
  return out.str();
}

json TraceToJson(const std::string& request_id, const RequestTrace& trace) {
  return {{"id", request_id},
          {"request", trace.own},
          {"context", trace.context},
          {"dropped", trace.dropped},
          {"malformed", trace.malformed}};
}

}  // namespace vanilladeck::ctl

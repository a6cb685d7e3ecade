#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanilladeck::ctl {

/// Events of one request from the logs of several processes.
struct RequestTrace {
  std::vector<nlohmann::ordered_json> request_events;  ///< Events of the request, ordered by time.
  std::vector<nlohmann::ordered_json> context;  ///< State changes before and during the request.
  std::uint64_t dropped = 0;    ///< Lines that the processes dropped near the request.
  std::uint64_t malformed = 0;  ///< Lines that are not an event in JSON.
};

/// Joins the event streams of several processes.
class TraceReader {
 public:
  explicit TraceReader(std::string request_id) : request_id_(std::move(request_id)) {}

  /// Reads one log; text before the first brace of a line is ignored.
  void Read(std::istream& in);

  /// Returns the trace. Its context is the state changes from `kContextMs` before the request to
  /// its end, of the instances that handled it and, where an event names a server, of the servers
  /// that it reached.
  [[nodiscard]] RequestTrace Finish() const;

  static constexpr std::int64_t kContextMs = 6000;

 private:
  std::string request_id_;
  std::vector<nlohmann::ordered_json> request_events_;
  std::vector<nlohmann::ordered_json> state_changes_;
  std::uint64_t malformed_ = 0;
};

/// Renders one line per event, with times relative to the first event of the request.
[[nodiscard]] std::string RenderTrace(const std::string& request_id, const RequestTrace& trace);
[[nodiscard]] nlohmann::ordered_json TraceToJson(const std::string& request_id,
                                                 const RequestTrace& trace);

}  // namespace vanilladeck::ctl

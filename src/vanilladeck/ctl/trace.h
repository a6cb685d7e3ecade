#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanilladeck::ctl {

/// What the logs of several processes say of one request.
struct RequestTrace {
  std::vector<nlohmann::ordered_json> own;      ///< Lines of the request, in order of time.
  std::vector<nlohmann::ordered_json> context;  ///< Changes of belief that preceded them.
  std::uint64_t dropped = 0;    ///< Lines that the processes left out near the request.
  std::uint64_t malformed = 0;  ///< Lines that are no JSON object.
};

/// Joins the event streams of several processes.
class TraceReader {
 public:
  explicit TraceReader(std::string request_id) : request_id_(std::move(request_id)) {}

  /// Reads one file; text before the first brace of a line is ignored.
  void Read(std::istream& in);

  /// Context are the lines of the request's instances, and of the servers that it reached, from
  /// `kContextMs` before the request to its end.
  [[nodiscard]] RequestTrace Finish() const;

  static constexpr std::int64_t kContextMs = 6000;

 private:
  std::string request_id_;
  std::vector<nlohmann::ordered_json> own_;
  std::vector<nlohmann::ordered_json> beliefs_;
  std::uint64_t malformed_ = 0;
};

/// One line for each event, times relative to the first line of the request.
[[nodiscard]] std::string RenderTrace(const std::string& request_id, const RequestTrace& trace);
[[nodiscard]] nlohmann::ordered_json TraceToJson(const std::string& request_id,
                                                 const RequestTrace& trace);

}  // namespace vanilladeck::ctl

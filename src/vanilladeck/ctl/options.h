#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/core/result.h"

namespace vanilladeck::ctl {

inline constexpr std::string_view kUsage = R"(vanilladeckctl: operators' tool of vanilladeck.

Usage:
  vanilladeckctl check FILE [options]
  vanilladeckctl diff FILE [options]
  vanilladeckctl apply FILE [--who=NAME] [--base=VERSION] [--mark=TOKEN] [options]
  vanilladeckctl history [options]
  vanilladeckctl show [--at=TIME] [options]
  vanilladeckctl status [options]
  vanilladeckctl explain SERVICE --client=ADDR [--rank=RANK] [options]
  vanilladeckctl trace ID LOG... [options]
  vanilladeckctl --help

Options:
  --operators=ADDRS  Operators' listeners, HOST:PORT[,HOST:PORT...]; the next is tried when one
                     fails [default: 127.0.0.1:7070].
  --json             Print the JSON response instead of a table.
  --timeout=SECONDS  Timeout for one listener [default: 15].
  --who=NAME         Author of the change; default: the environment's USER.
  --base=VERSION     Version that FILE was edited from; default: the base_version line that `show`
                     writes into the text, else the version in force.
  --mark=TOKEN       Identifies the change when it is repeated; default: random.
  --at=TIME          Milliseconds since 1970 or YYYY-MM-DDTHH:MM:SSZ; default: now.
  --client=ADDR      IP address of a client.
  --rank=RANK        urgent, normal or bulk; default: the service's.
  -h --help          Print this text.

Exit codes:
  0 ok  1 refused or invalid  2 usage  3 conflict  4 unreachable  5 outcome unknown
)";

struct CheckCommand {
  std::string file;
};
struct DiffCommand {
  std::string file;
};
struct ApplyCommand {
  std::string file;
  std::string who;
  std::string mark;
  std::optional<std::uint64_t> base;
};
struct HistoryCommand {};
struct ShowCommand {
  std::optional<std::int64_t> at_ms;
};
struct StatusCommand {};
struct ExplainCommand {
  std::string service;
  std::string client;
  std::string rank;  ///< Empty: the service's default.
};
/// Joins the event streams of several processes into the trace of one request.
struct TraceCommand {
  std::string request_id;
  std::vector<std::string> files;
};
struct HelpCommand {};

using Command = std::variant<CheckCommand, DiffCommand, ApplyCommand, HistoryCommand, ShowCommand,
                             StatusCommand, ExplainCommand, TraceCommand, HelpCommand>;

struct Options {
  Command command;
  std::vector<std::string> operators;  ///< "HOST:PORT"
  std::chrono::seconds timeout{15};
  bool json = false;
};

/// `arguments` exclude the program name. The error is a human-readable message.
[[nodiscard]] core::Result<Options, std::string> ParseOptions(
    const std::vector<std::string>& arguments);

/// Parses decimal milliseconds since 1970 or "YYYY-MM-DDTHH:MM:SSZ" to milliseconds since 1970.
[[nodiscard]] std::optional<std::int64_t> ParseTime(const std::string& text);
/// Formats milliseconds since 1970 as "YYYY-MM-DDTHH:MM:SSZ".
[[nodiscard]] std::string FormatTime(std::int64_t ms);

}  // namespace vanilladeck::ctl

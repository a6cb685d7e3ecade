#include "vanilladeck/ctl/apply.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <ostream>

#include "vanilladeck/config/impl/json_fields.h"
#include "vanilladeck/config/parse_deployment.h"
#include "vanilladeck/ctl/query.h"
#include "vanilladeck/ctl/render.h"

namespace vanilladeck::ctl {
namespace {

using nlohmann::json;

constexpr std::string_view kBasePrefix = "# base_version = ";
/// A second round determines the outcome of attempts whose responses were lost in the first.
constexpr int kMaxRounds = 2;

/// Result of the attempts so far.
struct Attempts {
  bool may_be_accepted = false;  ///< An attempt may have been accepted.
  bool refused = false;
  std::string last_message;  ///< Message of the last attempt without a definite result.
};

std::optional<ExitCode> DefiniteExitCode(const HttpResponse& response, const json& body,
                                         Attempts& attempts) {
  const auto result = Field(body, "result");
  if (result == "accepted") return ExitCode::kOk;
  if (result == "conflict") return ExitCode::kConflict;
  constexpr unsigned kFirstServerError = 500;
  if (response.status < kFirstServerError && !attempts.may_be_accepted) return ExitCode::kRefused;
  // "refused" with a server error: this listener can't reach the store, but another one may.
  if (result != "refused" && response.status >= kFirstServerError) attempts.may_be_accepted = true;
  attempts.refused = attempts.refused || response.status < kFirstServerError;
  return std::nullopt;
}

void PrintResult(const HttpResponse& response, const json& body, bool as_json, std::ostream& to) {
  if (as_json || !body.is_object()) {
    to << response.body << '\n';
  } else {
    to << (body.contains("result") ? RenderApply(body) : RenderError(body));
  }
}

ExitCode ReportNoResult(const Attempts& attempts, const ApplyCommand& command, Output output) {
  output.errors << attempts.last_message;
  if (!attempts.may_be_accepted) {
    output.errors << "not applied: no listener could publish the change\n";
    return ExitCode::kUnreachable;
  }
  output.errors << "outcome unknown: repeat with --mark=" << command.mark << '\n';
  return ExitCode::kUnknown;
}

ExitCode Publish(const ApplyCommand& command, const std::string& body, const Options& options,
                 const Transport& transport, Output output) {
  Attempts attempts;
  for (int round = 0; round < kMaxRounds; ++round) {
    for (const auto& address : options.operators) {
      const auto response = transport(address, "POST", "/v1/config/apply", body);
      if (!response) {
        attempts.may_be_accepted =
            attempts.may_be_accepted || response.error().failure == CallFailure::kNoResponse;
        attempts.last_message = address + ": " + response.error().message + '\n';
        continue;
      }
      const auto parsed = config::impl::ParseJson(response.value().body);
      if (const auto code = DefiniteExitCode(response.value(), parsed, attempts)) {
        const bool to_out = options.json || *code == ExitCode::kOk;
        PrintResult(response.value(), parsed, options.json, to_out ? output.out : output.errors);
        return *code;
      }
      attempts.last_message =
          address + ": " + (parsed.contains("result") ? RenderApply(parsed) : RenderError(parsed));
    }
    if (!attempts.may_be_accepted) break;
  }
  return ReportNoResult(attempts, command, output);
}

/// The version in force according to the first listener that responds; 0 when there is none.
core::Result<std::uint64_t, ExitCode> VersionInForce(const Options& options,
                                                     const Transport& transport, Output output) {
  const auto response = QueryOperators(options, transport, "GET", "/v1/config", "", output);
  if (!response) return core::failure(response.error());
  const auto body = config::impl::ParseJson(response.value().body);
  if (const auto version = config::impl::CountField(body, "version")) return *version;
  if (Field(body, "error") == "no-configuration") return std::uint64_t{0};
  output.errors << RenderError(body);
  return core::failure(ExitCode::kRefused);
}

}  // namespace

std::optional<std::uint64_t> TakeBaseVersion(std::string& text) {
  if (text.compare(0, kBasePrefix.size(), kBasePrefix) != 0) return std::nullopt;
  const auto end = text.find('\n');
  if (end == std::string::npos) return std::nullopt;
  std::uint64_t version = 0;
  const auto parsed = std::from_chars(text.data() + kBasePrefix.size(), text.data() + end, version);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + end) return std::nullopt;
  text.erase(0, end + 1);
  return version;
}

std::string BaseVersionLine(std::uint64_t version) {
  return std::string(kBasePrefix) + std::to_string(version) + '\n';
}

ExitCode RunApply(const ApplyCommand& command, const Options& options, const Transport& transport,
                  Output output) {
  auto text = ReadInput(command.file, output);
  if (!text) return ExitCode::kRefused;
  const auto file_base = TakeBaseVersion(*text);
  if (const auto parsed = config::ParseDeployment(*text, command.file); !parsed) {
    output.errors << config::Describe(parsed.error());
    return ExitCode::kRefused;
  }
  auto base = command.base ? command.base : file_base;
  if (!base) {
    const auto version = VersionInForce(options, transport, output);
    if (!version) return version.error();
    base = version.value();
  }
  const json body = {
      {"text", *text}, {"base_version", *base}, {"who", command.who}, {"mark", command.mark}};
  return Publish(command, config::impl::Dump(body), options, transport, output);
}

}  // namespace vanilladeck::ctl

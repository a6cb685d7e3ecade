#include "vanilladeck/ctl/commands.h"

#include <cctype>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "vanilladeck/config/impl/json_fields.h"
#include "vanilladeck/config/line_diff.h"
#include "vanilladeck/config/parse_deployment.h"
#include "vanilladeck/ctl/apply.h"
#include "vanilladeck/ctl/query.h"
#include "vanilladeck/ctl/render.h"
#include "vanilladeck/ctl/trace.h"

namespace vanilladeck::ctl {
namespace {

using nlohmann::json;

constexpr unsigned kHttpOk = 200;

std::string PercentEncode(std::string_view text) {
  std::ostringstream out;
  out << std::hex << std::uppercase << std::setfill('0');
  for (unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_') {
      out << c;
    } else {
      out << '%' << std::setw(2) << static_cast<unsigned>(c);
    }
  }
  return out.str();
}

/// Executes the commands; `RunApply` implements the one that changes something.
class CommandRunner {
 public:
  CommandRunner(const Options& options, const Transport& transport, Output output)
      : options_(options), transport_(transport), output_(output) {}

  ExitCode operator()(const HelpCommand&) const {
    output_.out << kUsage;
    return ExitCode::kOk;
  }

  ExitCode operator()(const CheckCommand& command) const {
    auto text = ReadInput(command.file, output_);
    if (!text) return ExitCode::kRefused;
    const auto parsed = config::ParseDeployment(*text, command.file);
    if (options_.json) {
      json errors = json::array();
      if (!parsed) {
        for (const auto& error : parsed.error()) errors.push_back(ToJson(error));
      }
      output_.out << config::impl::Dump({{"valid", parsed.has_value()}, {"errors", errors}})
                  << '\n';
    } else if (!parsed) {
      output_.errors << config::Describe(parsed.error());
    } else {
      output_.out << command.file << ": valid\n";
    }
    return parsed ? ExitCode::kOk : ExitCode::kRefused;
  }

  ExitCode operator()(const DiffCommand& command) const {
    auto text = ReadInput(command.file, output_);
    if (!text) return ExitCode::kRefused;
    (void)TakeBaseVersion(*text);
    return Get("/v1/config", [this, &text](const json& body) {
      auto diff = config::FormatDiff(config::DiffLines(Field(body, "text"), *text));
      if (!options_.json) return diff;
      return config::impl::Dump({{"version", body["version"]}, {"difference", diff}}) + '\n';
    });
  }

  ExitCode operator()(const ApplyCommand& command) const {
    return RunApply(command, options_, transport_, output_);
  }

  ExitCode operator()(const HistoryCommand&) const {
    return Get("/v1/config/history", JsonOr(RenderHistory));
  }

  ExitCode operator()(const ShowCommand& command) const {
    const auto target =
        command.at_ms ? "/v1/config/show?at=" + std::to_string(*command.at_ms) : "/v1/config";
    return Get(target, JsonOr([](const json& body) {
                 const auto version = config::impl::CountField(body, "version").value_or(0);
                 return BaseVersionLine(version) + Field(body, "text");
               }));
  }

  ExitCode operator()(const StatusCommand&) const {
    return Get("/v1/status", JsonOr(RenderStatus));
  }

  ExitCode operator()(const ExplainCommand& command) const {
    std::string target = "/v1/explain?service=" + PercentEncode(command.service) +
                         "&client=" + PercentEncode(command.client);
    if (!command.rank.empty()) target += "&rank=" + PercentEncode(command.rank);
    return Get(target, JsonOr(RenderExplanation));
  }

  ExitCode operator()(const TraceCommand& command) const {
    TraceReader reader(command.request_id);
    for (const std::string& it : command.files) {
      std::ifstream in(it);
      if (!in) {
        output_.errors << it << ": cannot be read\n";
        return ExitCode::kRefused;
      }
      reader.Read(in);
    }
    const RequestTrace trace = reader.Finish();
    output_.out << (options_.json ? TraceToJson(command.request_id, trace).dump() + '\n'
                                  : RenderTrace(command.request_id, trace));
    return trace.request_events.empty() ? ExitCode::kRefused : ExitCode::kOk;
  }

 private:
  using Render = std::function<std::string(const json&)>;

  static json ToJson(const config::ConfigError& error) {
    return {{"file", error.file},
            {"line", error.at.line},
            {"column", error.at.column},
            {"rule", config::Name(error.code)},
            {"message", error.message}};
  }

  [[nodiscard]] Render JsonOr(Render render_text) const {
    if (!options_.json) return render_text;
    return [](const json& body) { return config::impl::Dump(body) + '\n'; };
  }

  [[nodiscard]] ExitCode Get(const std::string& target, const Render& render) const {
    const auto response = QueryOperators(options_, transport_, "GET", target, "", output_);
    if (!response) return response.error();
    const auto body = config::impl::ParseJson(response.value().body);
    if (!body.is_object()) {
      output_.errors << "the response is not a JSON object\n";
      return ExitCode::kRefused;
    }
    if (response.value().status != kHttpOk) {
      (options_.json ? output_.out : output_.errors)
          << (options_.json ? config::impl::Dump(body) + '\n' : RenderError(body));
      return ExitCode::kRefused;
    }
    output_.out << render(body);
    return ExitCode::kOk;
  }

  const Options& options_;
  const Transport& transport_;
  Output output_;
};

}  // namespace

ExitCode Run(const Options& options, const Transport& transport, Output output) {
  return std::visit(CommandRunner(options, transport, output), options.command);
}

ExitCode Main(const std::vector<std::string>& arguments, Output output) {
  const auto options = ParseOptions(arguments);
  if (!options) {
    output.errors << options.error() << "\nSee vanilladeckctl --help.\n";
    return ExitCode::kUsage;
  }
  const auto timeout = options.value().timeout;
  const Transport transport = [timeout](const std::string& address, const std::string& method,
                                        const std::string& target, const std::string& body) {
    return SendOperatorRequest(address, method, target, body, timeout);
  };
  return Run(options.value(), transport, output);
}

}  // namespace vanilladeck::ctl

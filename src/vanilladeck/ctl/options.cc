#include "vanilladeck/ctl/options.h"

#include <docopt/docopt.h>

#include <charconv>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <map>
#include <random>
#include <sstream>
#include <utility>

namespace vanilladeck::ctl {
namespace {

using Arguments = std::map<std::string, docopt::value>;
constexpr std::int64_t kMsPerSecond = 1000;

std::string StringOption(const Arguments& arguments, const std::string& key) {
  const auto it = arguments.find(key);
  return it != arguments.end() && it->second.isString() ? it->second.asString() : std::string();
}

bool IsSet(const Arguments& arguments, const std::string& key) {
  const auto it = arguments.find(key);
  return it != arguments.end() && it->second.isBool() && it->second.asBool();
}

template <class T>
std::optional<T> ParseNumber(const std::string& text) {
  T value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional<T>(value) : std::nullopt;
}

std::string RandomMark() {
  std::random_device device;
  std::ostringstream out;
  out << std::hex << std::setfill('0');
  constexpr int kWords = 4;
  for (int i = 0; i < kWords; ++i) out << std::setw(8) << device();
  return out.str();
}

std::vector<std::string> SplitAddresses(const std::string& list) {
  std::vector<std::string> addresses;
  std::istringstream in(list);
  for (std::string address; std::getline(in, address, ',');) {
    if (!address.empty()) addresses.push_back(address);
  }
  return addresses;
}

core::Result<Command, std::string> ParseApplyCommand(const Arguments& arguments) {
  ApplyCommand apply{StringOption(arguments, "FILE"), StringOption(arguments, "--who"),
                     StringOption(arguments, "--mark"), std::nullopt};
  if (apply.who.empty()) {
    const char* user = std::getenv("USER");
    apply.who = user == nullptr ? "" : user;
  }
  if (apply.who.empty()) return core::failure(std::string("--who is required: USER is not set"));
  if (apply.mark.empty()) apply.mark = RandomMark();
  if (const auto base = StringOption(arguments, "--base"); !base.empty()) {
    apply.base = ParseNumber<std::uint64_t>(base);
    if (!apply.base) return core::failure("--base must be a version number, not " + base);
  }
  return Command(std::move(apply));
}

core::Result<Command, std::string> ParseCommand(const Arguments& arguments) {
  if (IsSet(arguments, "--help")) return Command(HelpCommand{});
  if (IsSet(arguments, "check")) return Command(CheckCommand{StringOption(arguments, "FILE")});
  if (IsSet(arguments, "diff")) return Command(DiffCommand{StringOption(arguments, "FILE")});
  if (IsSet(arguments, "apply")) return ParseApplyCommand(arguments);
  if (IsSet(arguments, "history")) return Command(HistoryCommand{});
  if (IsSet(arguments, "status")) return Command(StatusCommand{});
  if (IsSet(arguments, "explain")) {
    return Command(ExplainCommand{StringOption(arguments, "SERVICE"),
                                  StringOption(arguments, "--client"),
                                  StringOption(arguments, "--rank")});
  }
  if (IsSet(arguments, "trace")) {
    const auto files = arguments.find("LOG");
    return Command(TraceCommand{StringOption(arguments, "ID"), files == arguments.end()
                                                                   ? std::vector<std::string>()
                                                                   : files->second.asStringList()});
  }
  ShowCommand show;
  if (const auto at = StringOption(arguments, "--at"); !at.empty()) {
    show.at_ms = ParseTime(at);
    if (!show.at_ms) {
      return core::failure("--at must be milliseconds or YYYY-MM-DDTHH:MM:SSZ, not " + at);
    }
  }
  return Command(show);
}

}  // namespace

core::Result<Options, std::string> ParseOptions(const std::vector<std::string>& arguments) {
  Arguments parsed;
  try {
    parsed = docopt::docopt_parse(std::string(kUsage), arguments, false, false);
  } catch (const docopt::DocoptArgumentError& error) {
    return core::failure(std::string(error.what()));
  }
  auto command = ParseCommand(parsed);
  if (!command) return core::failure(command.error());
  Options options{std::move(command.value()), SplitAddresses(StringOption(parsed, "--operators")),
                  std::chrono::seconds(0), IsSet(parsed, "--json")};
  if (options.operators.empty()) return core::failure(std::string("--operators is empty"));
  const auto timeout = ParseNumber<int>(StringOption(parsed, "--timeout"));
  if (!timeout || *timeout < 1) {
    return core::failure(std::string("--timeout must be a positive number of seconds"));
  }
  options.timeout = std::chrono::seconds(*timeout);
  return options;
}

std::optional<std::int64_t> ParseTime(const std::string& text) {
  if (const auto ms = ParseNumber<std::int64_t>(text)) return ms;
  std::tm parts{};
  std::istringstream in(text);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  if (in.fail() || in.peek() != std::istringstream::traits_type::eof()) return std::nullopt;
  return static_cast<std::int64_t>(timegm(&parts)) * kMsPerSecond;
}

std::string FormatTime(std::int64_t ms) {
  const std::time_t seconds = ms / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return out.str();
}

}  // namespace vanilladeck::ctl

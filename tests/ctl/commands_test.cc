#include "vanilladeck/ctl/commands.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/fake_daemon.h"
#include "config/sample_text.h"

using namespace vanilladeck::ctl;
using vanilladeck::config::testing::FakeDaemon;
using vanilladeck::config::testing::FakeStore;
using vanilladeck::config::testing::SampleText;
using vanilladeck::config::testing::StoreFault;
namespace core = vanilladeck::core;

namespace {

enum class Link { kWorks, kRefused, kLosesAnswer };

/// Two daemons "a:1" and "b:1" on one store, reached over links that fail.
struct Bench {
  FakeStore store;
  std::map<std::string, FakeDaemon> daemons;
  std::map<std::string, Link> links{{"a:1", Link::kWorks}, {"b:1", Link::kWorks}};
  std::string out;
  std::string errors;

  Bench() {
    daemons.emplace("a:1", store);
    daemons.emplace("b:1", store);
  }

  int Call(std::vector<std::string> arguments) {
    arguments.emplace_back("--operators=a:1,b:1");
    const auto options = ParseOptions(arguments);
    REQUIRE(options);
    const Transport transport =
        [this](const std::string& address, const std::string& method, const std::string& target,
               const std::string& body) -> core::Result<HttpAnswer, CallError> {
      const auto link = links.at(address);
      if (link == Link::kRefused) return CallError{CallFailure::kNotSent, "refused"};
      const auto response = daemons.at(address).Serve({method, target, body});
      if (link == Link::kLosesAnswer) return CallError{CallFailure::kLost, "lost"};
      return HttpAnswer{response.status, response.body};
    };
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    const auto code = Run(options.value(), transport, {out_stream, error_stream});
    out = out_stream.str();
    errors = error_stream.str();
    return static_cast<int>(code);
  }

  int Apply(int retention, std::vector<std::string> more = {}) {
    Write(SampleText(retention));
    more.insert(more.begin(), {"apply", path, "--who=ada"});
    return Call(std::move(more));
  }

  void Write(const std::string& text) const { std::ofstream(path, std::ios::binary) << text; }

  std::string path = std::string(VANILLADECK_BINARY_DIR) + "/ctl_test.toml";
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against a change that is published twice or reported failed when an answer is lost.
TEST_CASE("apply repeats with the same mark at the next listener", "[ctl]") {
  Bench bench;
  bench.links["a:1"] = Link::kLosesAnswer;
  REQUIRE(bench.Apply(1, {"--base=0"}) == 0);
  REQUIRE(Contains(bench.out, "accepted as version 1 by an earlier attempt"));
  bench.links["a:1"] = Link::kRefused;
  REQUIRE(bench.Apply(2, {"--base=1"}) == 0);
  REQUIRE(Contains(bench.out, "accepted as version 2\n"));
}

// Guards against exit codes that scripts misread.
TEST_CASE("apply tells conflict, refusal, unreachable and unknown apart", "[ctl]") {
  Bench bench;
  REQUIRE(bench.Apply(1) == 0);
  REQUIRE(bench.Apply(2, {"--base=0"}) == 3);
  REQUIRE(Contains(bench.errors, "conflict: version 0 is no longer the newest"));
  REQUIRE(Contains(bench.errors, "ada"));
  REQUIRE(bench.Apply(0, {"--base=1"}) == 1);
  REQUIRE(Contains(bench.errors, "ctl_test.toml:3:22: not-positive"));
  REQUIRE(bench.Apply(2, {"--base=9"}) == 1);
  REQUIRE(Contains(bench.errors, "unknown-base"));

  bench.store.is_down = true;
  REQUIRE(bench.Apply(2, {"--base=1"}) == 4);
  bench.links["a:1"] = Link::kLosesAnswer;
  REQUIRE(bench.Apply(2, {"--base=1", "--mark=m2"}) == 5);
  REQUIRE(Contains(bench.errors, "repeat with --mark=m2"));
  bench.store.is_down = false;
  for (auto& [address, daemon] : bench.daemons) daemon.swap_fault = StoreFault::kDropRequest;
  bench.links["a:1"] = Link::kWorks;
  REQUIRE(bench.Apply(2, {"--base=1", "--mark=m3"}) == 5);
  bench.links = {{"a:1", Link::kRefused}, {"b:1", Link::kRefused}};
  REQUIRE(bench.Apply(2, {"--base=1"}) == 4);
  REQUIRE(bench.Call({"status"}) == 4);
}

// Guards against an edit that overwrites a change made since the text was shown.
TEST_CASE("shown text carries the version it is based on", "[ctl]") {
  Bench bench;
  REQUIRE(bench.Apply(1) == 0);
  REQUIRE(bench.Call({"show"}) == 0);
  const auto shown = bench.out;
  REQUIRE(shown == "# base_version = 1\n" + SampleText(1));
  REQUIRE(bench.Apply(2) == 0);
  auto edited = shown;
  edited.replace(edited.find("= 1\n[ranks"), 3, "= 7");
  bench.Write(edited);
  REQUIRE(bench.Call({"apply", bench.path, "--who=ben"}) == 3);
  REQUIRE(bench.Call({"diff", bench.path}) == 0);
  REQUIRE(bench.out == "@@ line 3\n-record_retention_s = 2\n+record_retention_s = 7\n");
  REQUIRE(bench.Call({"apply", bench.path, "--who=ben", "--base=2"}) == 0);
  REQUIRE(bench.Call({"show"}) == 0);
  REQUIRE(bench.out == "# base_version = 3\n" + SampleText(7));
}

// Guards against tables or JSON that leave out what operators need.
TEST_CASE("reading commands print tables and JSON", "[ctl]") {
  Bench bench;
  REQUIRE(bench.Call({"show"}) == 1);
  REQUIRE(Contains(bench.errors, "no-configuration"));
  REQUIRE(bench.Apply(1) == 0);
  REQUIRE(bench.Call({"history"}) == 0);
  REQUIRE(Contains(bench.out, "VERSION  ACCEPTED"));
  REQUIRE(Contains(bench.out, "ada"));
  REQUIRE(bench.Call({"status", "--json"}) == 0);
  REQUIRE(nlohmann::json::parse(bench.out)["version"] == 1);
  REQUIRE(bench.Call({"status"}) == 0);
  REQUIRE(Contains(bench.out, "north-a"));
  REQUIRE(bench.Call({"explain", "front", "--client=10.1.0.1", "--rank=bulk"}) == 0);
  REQUIRE(Contains(bench.out, "shift from region north"));
  REQUIRE(bench.Call({"explain", "gone", "--client=10.1.0.1"}) == 1);
  REQUIRE(bench.Call({"show", "--at=1970-01-01T00:00:01Z"}) == 1);
  REQUIRE(bench.Call({"show", "--at=9999999999999"}) == 0);
}

// Guards against a check that needs a daemon, and against wrong usage that passes.
TEST_CASE("check works offline and usage errors are told", "[ctl]") {
  Bench bench;
  bench.Write(SampleText(1));
  std::ostringstream out;
  std::ostringstream errors;
  REQUIRE(Main({"check", bench.path}, {out, errors}) == ExitCode::kOk);
  bench.Write(SampleText(0));
  REQUIRE(Main({"check", bench.path}, {out, errors}) == ExitCode::kRefused);
  REQUIRE(Contains(errors.str(), ":3:22: not-positive"));
  REQUIRE(Main({"check", bench.path + ".none"}, {out, errors}) == ExitCode::kRefused);
  const std::vector<std::vector<std::string>> wrong{{},
                                                    {"check"},
                                                    {"explain", "front"},
                                                    {"show", "--at=noon"},
                                                    {"status", "--timeout=0"},
                                                    {"apply", "f", "--base=x", "--who=a"}};
  for (const auto& it : wrong) REQUIRE(Main(it, {out, errors}) == ExitCode::kUsage);
  REQUIRE(ParseTime("2026-12-04T06:00:00Z") == 1796364000000);
  REQUIRE(FormatTime(1796364000000) == "2026-12-04T06:00:00Z");
}

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

enum class Link { kWorks, kRefused, kLosesResponse };

/// Two daemons "a:1" and "b:1" with a common store, reached over links with injected faults.
struct CommandFixture {
  FakeStore store;
  std::map<std::string, FakeDaemon> daemons;
  std::map<std::string, Link> links{{"a:1", Link::kWorks}, {"b:1", Link::kWorks}};
  std::string out;
  std::string errors;

  CommandFixture() {
    daemons.emplace("a:1", store);
    daemons.emplace("b:1", store);
  }

  int Call(std::vector<std::string> arguments) {
    arguments.emplace_back("--operators=a:1,b:1");
    const auto options = ParseOptions(arguments);
    REQUIRE(options);
    const Transport transport =
        [this](const std::string& address, const std::string& method, const std::string& target,
               const std::string& body) -> core::Result<HttpResponse, CallError> {
      const auto link = links.at(address);
      if (link == Link::kRefused) return CallError{CallFailure::kNotSent, "refused"};
      const auto response = daemons.at(address).Serve({method, target, body});
      if (link == Link::kLosesResponse) return CallError{CallFailure::kNoResponse, "lost"};
      return HttpResponse{response.status, response.body};
    };
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    const auto code = Run(options.value(), transport, {out_stream, error_stream});
    out = out_stream.str();
    errors = error_stream.str();
    return static_cast<int>(code);
  }

  int Apply(int retention, std::vector<std::string> extra_arguments = {}) {
    Write(SampleText(retention));
    extra_arguments.insert(extra_arguments.begin(), {"apply", path, "--who=ada"});
    return Call(std::move(extra_arguments));
  }

  void Write(const std::string& text) const { std::ofstream(path, std::ios::binary) << text; }

  std::string path = std::string(VANILLADECK_BINARY_DIR) + "/ctl_test.toml";
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against a change that is published twice or reported as failed when a response is lost.
TEST_CASE("apply repeats with the same mark at the next listener", "[ctl]") {
  CommandFixture fixture;
  fixture.links["a:1"] = Link::kLosesResponse;
  REQUIRE(fixture.Apply(1, {"--base=0"}) == 0);
  REQUIRE(Contains(fixture.out, "accepted as version 1 by an earlier attempt"));
  fixture.links["a:1"] = Link::kRefused;
  REQUIRE(fixture.Apply(2, {"--base=1"}) == 0);
  REQUIRE(Contains(fixture.out, "accepted as version 2\n"));
}

// Guards against exit codes that do not distinguish the outcomes on which scripts depend.
TEST_CASE("apply distinguishes conflict, refusal, unreachable and unknown", "[ctl]") {
  CommandFixture fixture;
  REQUIRE(fixture.Apply(1) == 0);
  REQUIRE(fixture.Apply(2, {"--base=0"}) == 3);
  REQUIRE(Contains(fixture.errors, "conflict: version 0 is no longer the newest"));
  REQUIRE(Contains(fixture.errors, "ada"));
  REQUIRE(fixture.Apply(0, {"--base=1"}) == 1);
  REQUIRE(Contains(fixture.errors, "ctl_test.toml:3:22: not-positive"));
  REQUIRE(fixture.Apply(2, {"--base=9"}) == 1);
  REQUIRE(Contains(fixture.errors, "unknown-base"));

  fixture.store.is_down = true;
  REQUIRE(fixture.Apply(2, {"--base=1"}) == 4);
  fixture.links["a:1"] = Link::kLosesResponse;
  REQUIRE(fixture.Apply(2, {"--base=1", "--mark=m2"}) == 5);
  REQUIRE(Contains(fixture.errors, "repeat with --mark=m2"));
  fixture.store.is_down = false;
  for (auto& [address, daemon] : fixture.daemons) daemon.swap_fault = StoreFault::kDropRequest;
  fixture.links["a:1"] = Link::kWorks;
  REQUIRE(fixture.Apply(2, {"--base=1", "--mark=m3"}) == 5);
  fixture.links = {{"a:1", Link::kRefused}, {"b:1", Link::kRefused}};
  REQUIRE(fixture.Apply(2, {"--base=1"}) == 4);
  REQUIRE(fixture.Call({"status"}) == 4);
}

// Guards against an edit that overwrites a change accepted after `show` printed the text.
TEST_CASE("the text printed by show contains its base version", "[ctl]") {
  CommandFixture fixture;
  REQUIRE(fixture.Apply(1) == 0);
  REQUIRE(fixture.Call({"show"}) == 0);
  const auto shown = fixture.out;
  REQUIRE(shown == "# base_version = 1\n" + SampleText(1));
  REQUIRE(fixture.Apply(2) == 0);
  auto edited = shown;
  edited.replace(edited.find("= 1\n[ranks"), 3, "= 7");
  fixture.Write(edited);
  REQUIRE(fixture.Call({"apply", fixture.path, "--who=ben"}) == 3);
  REQUIRE(fixture.Call({"diff", fixture.path}) == 0);
  REQUIRE(fixture.out == "@@ line 3\n-record_retention_s = 2\n+record_retention_s = 7\n");
  REQUIRE(fixture.Call({"apply", fixture.path, "--who=ben", "--base=2"}) == 0);
  REQUIRE(fixture.Call({"show"}) == 0);
  REQUIRE(fixture.out == "# base_version = 3\n" + SampleText(7));
}

// Guards against missing fields in the tables or JSON that operators read.
TEST_CASE("read-only commands print tables and JSON", "[ctl]") {
  CommandFixture fixture;
  REQUIRE(fixture.Call({"show"}) == 1);
  REQUIRE(Contains(fixture.errors, "no-configuration"));
  REQUIRE(fixture.Apply(1) == 0);
  REQUIRE(fixture.Call({"history"}) == 0);
  REQUIRE(Contains(fixture.out, "VERSION  ACCEPTED"));
  REQUIRE(Contains(fixture.out, "ada"));
  REQUIRE(fixture.Call({"status", "--json"}) == 0);
  REQUIRE(nlohmann::json::parse(fixture.out)["version"] == 1);
  REQUIRE(fixture.Call({"status"}) == 0);
  REQUIRE(Contains(fixture.out, "north-a"));
  REQUIRE(fixture.Call({"explain", "front", "--client=10.1.0.1", "--rank=bulk"}) == 0);
  REQUIRE(Contains(fixture.out, "shift from region north"));
  REQUIRE(fixture.Call({"explain", "gone", "--client=10.1.0.1"}) == 1);
  REQUIRE(fixture.Call({"show", "--at=1970-01-01T00:00:01Z"}) == 1);
  REQUIRE(fixture.Call({"show", "--at=9999999999999"}) == 0);
}

// Guards against a `check` that needs a daemon, and against an invalid command line that is
// accepted.
TEST_CASE("check works offline and usage errors are reported", "[ctl]") {
  CommandFixture fixture;
  fixture.Write(SampleText(1));
  std::ostringstream out;
  std::ostringstream errors;
  REQUIRE(Main({"check", fixture.path}, {out, errors}) == ExitCode::kOk);
  fixture.Write(SampleText(0));
  REQUIRE(Main({"check", fixture.path}, {out, errors}) == ExitCode::kRefused);
  REQUIRE(Contains(errors.str(), ":3:22: not-positive"));
  REQUIRE(Main({"check", fixture.path + ".none"}, {out, errors}) == ExitCode::kRefused);
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

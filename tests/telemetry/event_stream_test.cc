#include "vanilladeck/telemetry/event_stream.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace vanilladeck::telemetry {
namespace {

/// A non-blocking pipe that the test reads itself.
struct Pipe {
  Pipe() { REQUIRE(pipe2(fds.data(), O_NONBLOCK) == 0); }
  ~Pipe() {
    close(fds[0]);
    close(fds[1]);
  }
  std::string ReadAll() {
    std::string text;
    std::array<char, 65536> buf{};
    for (ssize_t n = read(fds[0], buf.data(), buf.size()); n > 0;
         n = read(fds[0], buf.data(), buf.size())) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
  }
  std::array<int, 2> fds{};
};

std::vector<nlohmann::json> Lines(const std::string& text) {
  std::vector<nlohmann::json> lines;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) lines.push_back(nlohmann::json::parse(line));
  return lines;
}

// Guards against an instance that blocks in a write because nobody reads its event stream.
TEST_CASE("a full pipe drops lines without blocking and reports how many") {
  Pipe pipe;
  StreamLimits limits;
  limits.buffer_bytes = 8192;
  limits.max_lines_per_second = 1'000'000;
  EventStream stream(pipe.fds[1], "edge-1", limits);
  for (int i = 0; i < 20'000; ++i) {
    stream.Write(StreamEvent::kFailed, {{"id", std::to_string(i)}});
    if (i % 100 == 0) stream.Flush();
  }
  CHECK(stream.dropped() > 0);
  std::string text;
  for (int i = 0; i < 50; ++i) {
    text += pipe.ReadAll();
    stream.Flush();
  }
  text += pipe.ReadAll();
  std::uint64_t written = 0;
  std::uint64_t dropped = 0;
  for (const auto& line : Lines(text)) {
    if (line["event"] == "failed") ++written;
    if (line["event"] == "dropped") dropped += line["failed"].get<std::uint64_t>();
  }
  CHECK(written + dropped == 20'000);
}

TEST_CASE("the rate limit of one event does not drop other events") {
  Pipe pipe;
  EventStream stream(pipe.fds[1], "edge-1");
  for (int i = 0; i < 1000; ++i) stream.Write(StreamEvent::kRefused, {{"id", "x"}});
  stream.Write(StreamEvent::kPolicy, {{"version", 3}});
  stream.Flush();
  int refused = 0;
  int policy = 0;
  for (const auto& line : Lines(pipe.ReadAll())) {
    if (line["event"] == "refused") ++refused;
    if (line["event"] == "policy") ++policy;
  }
  CHECK(refused <= 80);
  CHECK(policy == 1);
}

// Guards against log injection: line breaks or quotes in a client's strings must not form lines or
// members of their own.
TEST_CASE("strings sent by clients are escaped and truncated") {
  Pipe pipe;
  EventStream stream(pipe.fds[1], "edge-1");
  stream.Write(StreamEvent::kRequest, {{"id", "a\"\n{\"event\":\"stop\"}\x01\xff"}});
  stream.Write(StreamEvent::kRequest, {{"id", std::string(100'000, 'x')}});
  stream.Flush();
  const auto lines = Lines(pipe.ReadAll());
  REQUIRE(lines.size() == 2);
  CHECK(lines[0]["event"] == "request");
  CHECK(lines[1].dump().size() < 8192);
}

// Guards against events that operators find in their logs but not in the documentation.
TEST_CASE("docs/EVENTS.md lists exactly the events of the stream") {
  std::ifstream in(std::string(VANILLADECK_SOURCE_DIR) + "/docs/EVENTS.md");
  REQUIRE(in.good());
  bool in_section = false;
  std::vector<std::string> documented;
  for (std::string line; std::getline(in, line);) {
    if (line == "## The gateway's stream") in_section = true;
    if (!in_section || line.rfind("| `", 0) != 0) continue;
    documented.push_back(line.substr(3, line.find('`', 3) - 3));
  }
  CHECK(documented == std::vector<std::string>(kStreamEventNames.begin(), kStreamEventNames.end()));
}

}  // namespace
}  // namespace vanilladeck::telemetry

#include "vanilladeck/telemetry/event.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <string>

using namespace vanilladeck::telemetry;

// Guards against a catalogue that lags behind the code, and against numbers used twice.
TEST_CASE("docs/EVENTS.md lists exactly the events of the code", "[telemetry]") {
  std::ifstream in(VANILLADECK_SOURCE_DIR "/docs/EVENTS.md");
  REQUIRE(in.good());
  std::vector<std::string> documented;
  for (std::string line; std::getline(in, line);) {
    // The gateway's events have no numbers and a test of their own (event_stream_test.cc).
    if (line == "## The gateway's stream") break;
    const bool is_row = line.rfind("| ", 0) == 0 && line.rfind("| number", 0) != 0;
    if (is_row) documented.push_back(line);
  }
  std::vector<std::string> coded;
  std::set<int> numbers;
  for (std::size_t i = 0; i < kEventKinds.size(); ++i) {
    const EventKind& kind = kEventKinds[i];
    CHECK(kind.event == static_cast<Event>(i));
    CHECK(numbers.insert(kind.number).second);
    coded.push_back("| " + std::to_string(kind.number) + " | " + std::string(kind.name) + " | " +
                    std::string(kSeverityNames[static_cast<std::size_t>(kind.severity)]) + " | " +
                    std::string(kind.text) + " |");
  }
  CHECK(documented == coded);
}

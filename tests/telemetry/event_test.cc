#include "vanilladeck/telemetry/event.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <string>

using namespace vanilladeck::telemetry;

// Guards against documentation that lags behind the code, and against numbers used twice.
TEST_CASE("docs/EVENTS.md lists exactly the events of the code", "[telemetry]") {
  std::ifstream in(VANILLADECK_SOURCE_DIR "/docs/EVENTS.md");
  REQUIRE(in.good());
  std::vector<std::string> documented;
  for (std::string line; std::getline(in, line);) {
    // The gateway's events have no numbers; event_stream_test.cc checks their table.
    if (line == "## The gateway's stream") break;
    const bool is_row = line.rfind("| ", 0) == 0 && line.rfind("| number", 0) != 0;
    if (is_row) documented.push_back(line);
  }
  std::vector<std::string> coded;
  std::set<int> numbers;
  for (std::size_t i = 0; i < kEventProperties.size(); ++i) {
    const EventProperties& properties = kEventProperties[i];
    CHECK(properties.event == static_cast<Event>(i));
    CHECK(numbers.insert(properties.number).second);
    coded.push_back("| " + std::to_string(properties.number) + " | " +
                    std::string(properties.name) + " | " +
                    std::string(kSeverityNames[static_cast<std::size_t>(properties.severity)]) +
                    " | " + std::string(properties.text) + " |");
  }
  CHECK(documented == coded);
}

#include "vanilladeck/ctl/trace.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace vanilladeck::ctl {
namespace {

RequestTrace TraceOf(const std::string& id, const std::vector<std::string>& files) {
  TraceReader reader(id);
  for (const std::string& it : files) {
    std::istringstream in(it);
    reader.Read(in);
  }
  return reader.Finish();
}

constexpr const char* kEast =
    R"({"t":1000,"event":"server-draining","instance":"e1","server":"i-1"}
{"t":1100,"event":"server-added","instance":"e1","server":"i-9"}
  12.5 e1 {"t":2000,"event":"attempt","instance":"e1","id":"abc","server":"i-1","detail":"reset"}
{"t":2005,"event":"failed","instance":"e1","id":"abc","servers":["i-1"],"status":502}
not a line of the stream
{"t":2300,"event":"dropped","instance":"e1","refused":7,"failed":2}
)";
constexpr const char* kWest =
    R"({"t":1500,"event":"policy","instance":"w1","version":4}
{"t":900,"event":"attempt","instance":"w1","id":"other","server":"i-1"}
)";

// Guards against a trace without the state changes on which the instance based its decision.
TEST_CASE("events of a request are joined with the state changes that preceded them") {
  const RequestTrace trace = TraceOf("abc", {kWest, kEast});
  REQUIRE(trace.request_events.size() == 2);
  CHECK(trace.request_events[0]["event"] == "attempt");
  // The other server and the other instance were not involved in the request.
  REQUIRE(trace.context.size() == 1);
  CHECK(trace.context[0]["event"] == "server-draining");
  CHECK(trace.dropped == 9);
  CHECK(trace.malformed == 1);
  const std::string text = RenderTrace("abc", trace);
  CHECK(text.find("reset") != std::string::npos);
  CHECK(text.find("9 lines") != std::string::npos);
  CHECK(TraceToJson("abc", trace)["request"].size() == 2);
}

TEST_CASE("the trace of an unknown request is empty and reported as such") {
  const RequestTrace trace = TraceOf("nope", {kEast});
  CHECK(trace.request_events.empty());
  CHECK(RenderTrace("nope", trace).find("no events for") == 0);
}

}  // namespace
}  // namespace vanilladeck::ctl

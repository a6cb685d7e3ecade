#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "serving_fixture.h"

using namespace vanilladeck;
using namespace vanilladeck::test;

// Guards against traces with a missing hop and spans that are not linked to their parent.
TEST_CASE("each hop writes a child span of the previous hop", "[spans]") {
  const std::string path = VANILLADECK_BINARY_DIR "/span_hops_test.jsonl";
  std::remove(path.c_str());
  FakeBackend backend([](const http::Request&) { return Ok("x"); });
  ServingFixture fixture({backend.address()});
  fixture.settings.telemetry.spans_file = path;
  fixture.Start();
  const std::string caller_span = "00f067aa0ba902b7";
  REQUIRE(fixture
              .Call("GET", "/svc/catalogue/x",
                    {{"traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-" + caller_span + "-01"}})
              .result_int() == 200);
  fixture.serving.reset();  // Flushes the buffered spans.
  std::ifstream in(path);
  std::map<int, nlohmann::json> by_kind;
  for (std::string line; std::getline(in, line);) {
    const auto span = nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(span["traceId"] == "4bf92f3577b34da6a3ce929d0e0e4736");
    by_kind[span["kind"].get<int>()] = span;
  }
  REQUIRE(by_kind.size() == 2);
  CHECK(by_kind[2]["parentSpanId"] == caller_span);
  CHECK(by_kind[3]["parentSpanId"] == by_kind[2]["spanId"]);
  const std::string sent(backend.requests().front()["traceparent"]);
  CHECK(sent.substr(36, 16) == by_kind[3]["spanId"].get<std::string>());
}

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "vanilladeck/telemetry/metrics.h"
#include "vanilladeck/telemetry/span.h"
#include "vanilladeck/telemetry/trace_context.h"

using namespace vanilladeck;
using telemetry::TraceContext;

// Guards against traces that lose their parent span because `traceparent` was parsed wrongly.
TEST_CASE("traceparent round-trips and malformed values are rejected", "[telemetry]") {
  const std::string good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const auto parsed = TraceContext::Parse(good);
  REQUIRE(parsed);
  CHECK(parsed->ToString() == good);
  const TraceContext child = parsed->Child();
  CHECK(child.trace_id == parsed->trace_id);
  CHECK(child.span_id != parsed->span_id);
  CHECK_FALSE(
      TraceContext::Parse("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00")->sampled);
  CHECK(TraceContext::Parse("01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x"));
  for (const char* bad : {"", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
                          "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
                          "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
                          "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                          "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
                          "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}) {
    CHECK_FALSE(TraceContext::Parse(bad));
  }
}

// Guards against lines that an OTLP collector cannot parse, and against unsampled spans on disk.
TEST_CASE("spans are written as OTLP-JSON lines", "[telemetry]") {
  const std::string path = VANILLADECK_BINARY_DIR "/span_test.jsonl";
  std::remove(path.c_str());
  auto writer = telemetry::SpanWriter::Create(path, "127.0.0.1:1");
  REQUIRE(writer.has_value());
  const auto root = telemetry::Span::Start(nullptr, "svc", telemetry::SpanKind::kServer);
  auto child = telemetry::Span::Start(&root.context, "dispatch", telemetry::SpanKind::kClient);
  child.end = child.start + std::chrono::milliseconds(3);
  child.attributes.emplace_back("server.address", "\xff");
  writer.value()->Write(child);
  child.context.sampled = false;
  writer.value()->Write(child);
  REQUIRE(writer.value()->Flush());
  std::ifstream in(path);
  std::string line;
  REQUIRE(std::getline(in, line));
  const auto span = nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  CHECK(span["traceId"] == root.context.TraceIdHex());
  CHECK(span["parentSpanId"] == root.context.SpanIdHex());
  CHECK(span["kind"] == 3);
  CHECK(std::stoll(span["endTimeUnixNano"].get<std::string>()) -
            std::stoll(span["startTimeUnixNano"].get<std::string>()) ==
        3'000'000);
  CHECK_FALSE(std::getline(in, line));
}

// Guards against buckets that are not cumulative, which makes every quantile wrong.
TEST_CASE("latency histogram is cumulative per rank", "[telemetry]") {
  telemetry::Metrics metrics;
  metrics.CountRequest(core::Rank::kUrgent, core::Outcome::kRan, std::chrono::milliseconds(2));
  metrics.CountRequest(core::Rank::kUrgent, core::Outcome::kUnknown, std::chrono::milliseconds(40));
  metrics.CountRequest(core::Rank::kUrgent, core::Outcome::kRan, std::chrono::minutes(1));
  metrics.CountShed(core::Rank::kBulk);
  metrics.Count(telemetry::Counter::kRetries, 2);
  const std::string text = metrics.PrometheusText();
  const auto has = [&text](const std::string& line) {
    return text.find("\n" + line + "\n") != std::string::npos;
  };
  CHECK(has(R"(vanilladeck_request_seconds_bucket{rank="urgent",le="0.001"} 0)"));
  CHECK(has(R"(vanilladeck_request_seconds_bucket{rank="urgent",le="0.0025"} 1)"));
  CHECK(has(R"(vanilladeck_request_seconds_bucket{rank="urgent",le="30"} 2)"));
  CHECK(has(R"(vanilladeck_request_seconds_bucket{rank="urgent",le="+Inf"} 3)"));
  CHECK(has(R"(vanilladeck_requests_total{rank="urgent",outcome="ran"} 2)"));
  CHECK(has(R"(vanilladeck_shed_total{rank="bulk"} 1)"));
  CHECK(has("vanilladeck_retries_total 2"));
}

#include "vanilladeck/telemetry/span.h"

#include <nlohmann/json.hpp>

namespace vanilladeck::telemetry {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kNsPerMs = 1'000'000;
// Values of the OTLP enumeration `Status.StatusCode`.
constexpr int kStatusUnset = 0;
constexpr int kStatusError = 2;

Json Attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

Json ToJson(const Span& span) {
  const std::int64_t start_ns = span.start_wall_ms * kNsPerMs;
  const std::int64_t end_ns = start_ns + (span.end - span.start).count();
  Json attributes = Json::array();
  for (const auto& [key, value] : span.attributes) attributes.push_back(Attribute(key, value));
  return {{"traceId", span.context.TraceIdHex()},
          {"spanId", span.context.SpanIdHex()},
          {"parentSpanId", span.parent_span_id},
          {"name", span.name},
          {"kind", static_cast<int>(span.kind)},
          {"startTimeUnixNano", std::to_string(start_ns)},
          {"endTimeUnixNano", std::to_string(end_ns)},
          {"attributes", std::move(attributes)},
          {"status", {{"code", span.failed ? kStatusError : kStatusUnset}}}};
}

}  // namespace

Span Span::Start(const TraceContext* parent, std::string name, SpanKind kind) {
  Span span;
  span.context = parent != nullptr ? parent->Child() : TraceContext::NewRoot();
  if (parent != nullptr) span.parent_span_id = parent->SpanIdHex();
  span.name = std::move(name);
  span.kind = kind;
  span.start_wall_ms = core::RuntimeClock::WallMs();
  span.start = core::RuntimeClock::now();
  return span;
}

core::Result<std::unique_ptr<SpanWriter>, SpanWriterError> SpanWriter::Create(
    const std::string& path, std::string service_instance) {
  std::ofstream out(path, std::ios::app | std::ios::binary);
  if (!out) return SpanWriterError{path};
  return std::unique_ptr<SpanWriter>(new SpanWriter(std::move(out), std::move(service_instance)));
}

SpanWriter::SpanWriter(std::ofstream out, std::string service_instance)
    : out_(std::move(out)), service_instance_(std::move(service_instance)) {}

void SpanWriter::Write(const Span& span) {
  if (!span.context.sampled) return;
  const Json resource{
      {"attributes", Json::array({Attribute("service.name", "vanilladeckd"),
                                  Attribute("service.instance.id", service_instance_)})}};
  const Json scope_spans{{"scope", {{"name", "vanilladeck"}}},
                         {"spans", Json::array({ToJson(span)})}};
  const Json line{
      {"resourceSpans",
       Json::array({Json{{"resource", resource}, {"scopeSpans", Json::array({scope_spans})}}})}};
  out_ << line.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
}

bool SpanWriter::Flush() {
  out_.flush();
  return out_.good();
}

}  // namespace vanilladeck::telemetry

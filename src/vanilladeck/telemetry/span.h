#pragma once

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/telemetry/trace_context.h"

namespace vanilladeck::telemetry {

/// The values are those of the OTLP enumeration `SpanKind`.
enum class SpanKind : std::uint8_t { kServer = 2, kClient = 3 };

/// One operation in the processing of a request.
struct Span {
  TraceContext context;
  std::string parent_span_id;  ///< Hexadecimal; empty for a root span.
  std::string name;
  SpanKind kind = SpanKind::kServer;
  std::int64_t start_wall_ms = 0;
  core::TimePoint start;
  core::TimePoint end;
  bool failed = false;
  std::vector<std::pair<std::string, std::string>> attributes;

  /// Starts a span now, as a child of `parent` or, if that is null, as the root of a new trace.
  [[nodiscard]] static Span Start(const TraceContext* parent, std::string name, SpanKind kind);
};

struct SpanWriterError {
  std::string path;
};

/// Appends sampled spans to a file, one OTLP-JSON `ExportTraceServiceRequest` per line.
///
/// Owned by one thread. Lines are buffered; `Flush` writes them out.
class SpanWriter {
 public:
  [[nodiscard]] static core::Result<std::unique_ptr<SpanWriter>, SpanWriterError> Create(
      const std::string& path, std::string service_instance);

  void Write(const Span& span);

  /// Returns false when a write to the file has failed.
  [[nodiscard]] bool Flush();

 private:
  SpanWriter(std::ofstream out, std::string service_instance);

  std::ofstream out_;
  std::string service_instance_;
};

}  // namespace vanilladeck::telemetry

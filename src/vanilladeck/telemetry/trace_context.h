#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vanilladeck::telemetry {

/// Position of a span in a distributed trace (W3C Trace Context, version 00).
struct TraceContext {
  std::array<std::uint8_t, 16> trace_id{};
  std::array<std::uint8_t, 8> span_id{};
  bool sampled = true;

  /// Parses a `traceparent` value; nullopt when it is malformed or has an all-zero id.
  [[nodiscard]] static std::optional<TraceContext> Parse(std::string_view traceparent);

  /// Starts a new trace with random ids.
  [[nodiscard]] static TraceContext NewRoot();

  /// Same trace, new span id.
  [[nodiscard]] TraceContext Child() const;

  [[nodiscard]] std::string TraceIdHex() const;
  [[nodiscard]] std::string SpanIdHex() const;

  /// Value of the `traceparent` header.
  [[nodiscard]] std::string ToString() const;
};

}  // namespace vanilladeck::telemetry

#include "vanilladeck/telemetry/trace_context.h"

#include <algorithm>
#include <cstring>
#include <random>
#include <span>

namespace vanilladeck::telemetry {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

template <std::size_t kSize>
std::string ToHex(const std::array<std::uint8_t, kSize>& bytes) {
  std::string hex;
  hex.reserve(2 * kSize);
  for (const std::uint8_t byte : bytes) {
    hex.push_back(kHexDigits[byte >> 4U]);
    hex.push_back(kHexDigits[byte & 0xFU]);
  }
  return hex;
}

/// Decodes lower-case hexadecimal; W3C Trace Context forbids upper case.
bool FromHex(std::string_view text, std::span<std::uint8_t> bytes) {
  if (text.size() != 2 * bytes.size()) return false;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const auto high = kHexDigits.find(text[2 * i]);
    const auto low = kHexDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) return false;
    bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

bool AllZero(std::span<const std::uint8_t> bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

void FillRandom(std::span<std::uint8_t> bytes) {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  while (AllZero(bytes)) {
    for (std::size_t i = 0; i < bytes.size(); i += sizeof(std::uint64_t)) {
      const std::uint64_t word = generator();
      std::memcpy(bytes.data() + i, &word, std::min(sizeof(word), bytes.size() - i));
    }
  }
}

}  // namespace

std::optional<TraceContext> TraceContext::Parse(std::string_view traceparent) {
  // version "-" trace id "-" span id "-" flags; later versions may append further fields.
  constexpr std::size_t kTraceIdOffset = 3;
  constexpr std::size_t kSpanIdOffset = 36;
  constexpr std::size_t kFlagsOffset = 53;
  constexpr std::size_t kLength = 55;
  if (traceparent.size() < kLength) return std::nullopt;
  const std::string_view version = traceparent.substr(0, 2);
  std::array<std::uint8_t, 1> byte{};
  if (!FromHex(version, byte) || version == "ff") return std::nullopt;
  if (traceparent.size() > kLength && (version == "00" || traceparent[kLength] != '-')) {
    return std::nullopt;
  }
  for (const std::size_t offset : {kTraceIdOffset, kSpanIdOffset, kFlagsOffset}) {
    if (traceparent[offset - 1] != '-') return std::nullopt;
  }
  TraceContext context;
  if (!FromHex(traceparent.substr(kTraceIdOffset, 32), context.trace_id)) return std::nullopt;
  if (!FromHex(traceparent.substr(kSpanIdOffset, 16), context.span_id)) return std::nullopt;
  if (!FromHex(traceparent.substr(kFlagsOffset, 2), byte)) return std::nullopt;
  if (AllZero(context.trace_id) || AllZero(context.span_id)) return std::nullopt;
  context.sampled = (byte[0] & 1U) != 0;
  return context;
}

TraceContext TraceContext::NewRoot() {
  TraceContext context;
  FillRandom(context.trace_id);
  FillRandom(context.span_id);
  return context;
}

TraceContext TraceContext::Child() const {
  TraceContext child = *this;
  child.span_id = {};
  FillRandom(child.span_id);
  return child;
}

std::string TraceContext::TraceIdHex() const { return ToHex(trace_id); }

std::string TraceContext::SpanIdHex() const { return ToHex(span_id); }

std::string TraceContext::ToString() const {
  return "00-" + TraceIdHex() + "-" + SpanIdHex() + (sampled ? "-01" : "-00");
}

}  // namespace vanilladeck::telemetry

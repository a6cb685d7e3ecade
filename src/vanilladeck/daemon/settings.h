#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "vanilladeck/core/result.h"

namespace vanilladeck::daemon {

/// Text that must not appear in logs or messages, such as a token. It deliberately has no stream
/// operator.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string text) : text_(std::move(text)) {}

  [[nodiscard]] const std::string& Reveal() const noexcept { return text_; }

 private:
  std::string text_;
};

/// IP address and port of a listener.
struct ListenAddress {
  std::string ip;
  std::uint16_t port = 0;  ///< 0: the kernel assigns a free port (tests only).

  [[nodiscard]] std::string ToString() const;
};

struct ListenSettings {
  ListenAddress callers;
  ListenAddress peers;
  ListenAddress operators;
};

struct PlatformSettings {
  ListenAddress address;
  Secret token;
};

struct LimitSettings {
  std::size_t max_request_bytes = 1'048'576;  ///< Body of a request or a response.
  std::size_t max_header_bytes = 16'384;      ///< Start line and header fields together.
  std::size_t max_connections = 4'096;        ///< Callers' connections.
};

struct TelemetrySettings {
  std::string spans_file;  ///< File for OTLP-JSON lines; empty: spans are not exported.
};

enum class SettingsErrorCode : std::uint8_t {
  kUnreadable,
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kBadAddress,
};

inline constexpr std::array<std::string_view, 7> kSettingsErrorNames{
    "unreadable", "syntax",       "unknown-key", "missing-key",
    "wrong-type", "out-of-range", "bad-address",
};

/// One error in a settings file.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kUnreadable;
  std::string file;
  std::uint32_t line = 0;  ///< From 1; 0 when the file could not be read.
  std::uint32_t column = 0;
  std::string key;     ///< Dotted path of the key, for example "listen.callers".
  std::string detail;  ///< The value found and the values allowed.

  /// "FILE:LINE:COLUMN: CODE: KEY: DETAIL".
  [[nodiscard]] std::string ToString() const;
};

/// Local settings of one daemon process, read at start; the rest of the configuration comes from
/// the deployment text.
struct Settings {
  std::string deployment;
  std::string failure_domain;
  std::uint32_t seat = 0;
  ListenSettings listen;
  PlatformSettings platform;
  LimitSettings limits;
  TelemetrySettings telemetry;
  /// Peers' listeners to contact first, "IP:port"; other peers are discovered through the
  /// platform's instance list.
  std::vector<std::string> peer_seeds;
  /// Salt of the client digests in operation keys, the same on all instances of a deployment.
  /// Default: the platform's token.
  Secret operations_salt;

  /// Parses and validates a TOML file; returns all errors, not just the first.
  [[nodiscard]] static core::Result<Settings, std::vector<SettingsError>> Load(
      const std::string& path);

  /// Like `Load`, for text in memory; `file` is only used in error messages.
  [[nodiscard]] static core::Result<Settings, std::vector<SettingsError>> Parse(
      std::string_view text, const std::string& file);
};

}  // namespace vanilladeck::daemon

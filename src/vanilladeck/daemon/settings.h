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

/// Text that must not appear in logs or messages; it has no stream operator on purpose.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string text) : text_(std::move(text)) {}

  [[nodiscard]] const std::string& Reveal() const noexcept { return text_; }

 private:
  std::string text_;
};

/// "IP:port" split into its parts.
struct ListenAddress {
  std::string ip;
  std::uint16_t port = 0;  ///< 0: the system picks a free port (tests only).

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
  std::size_t max_request_bytes = 1'048'576;  ///< Body of a request or an answer.
  std::size_t max_header_bytes = 16'384;      ///< Start line and header fields together.
  std::size_t max_connections = 4'096;        ///< Callers' connections.
};

struct TelemetrySettings {
  std::string spans_file;  ///< OTLP-JSON lines; empty: spans are not written.
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

/// One fault in a settings file.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kUnreadable;
  std::string file;
  std::uint32_t line = 0;  ///< From 1; 0 when the file could not be read.
  std::uint32_t column = 0;
  std::string key;     ///< Dotted path of the key, for example "listen.callers".
  std::string detail;  ///< What was found and what is allowed.

  /// "FILE:LINE:COLUMN: CODE: KEY: DETAIL".
  [[nodiscard]] std::string ToString() const;
};

/// What one daemon process is told at start; everything else comes from the deployment text.
struct Settings {
  std::string deployment;
  std::string failure_domain;
  std::uint32_t seat = 0;
  ListenSettings listen;
  PlatformSettings platform;
  LimitSettings limits;
  TelemetrySettings telemetry;
  /// Peers' listeners to try first, "IP:port"; the rest are found by the platform's list.
  std::vector<std::string> peer_seeds;
  /// Salt of the client digests in operation keys, the same on all instances of a deployment.
  /// Default: the platform's token.
  Secret operations_salt;

  /// Reads and checks a TOML file; all faults are reported together.
  [[nodiscard]] static core::Result<Settings, std::vector<SettingsError>> Load(
      const std::string& path);

  /// Like `Load`, for text in memory; `file` only appears in errors.
  [[nodiscard]] static core::Result<Settings, std::vector<SettingsError>> Parse(
      std::string_view text, const std::string& file);
};

}  // namespace vanilladeck::daemon

#include "vanilladeck/daemon/settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <limits>
#include <optional>
#include <set>
#include <sstream>

#include "vanilladeck/core/toml.h"

namespace vanilladeck::daemon {
namespace {

constexpr std::int64_t kMaxSeat = 1'000;
constexpr std::int64_t kMinHeaderBytes = 512;  // Less than the header of an ordinary request.
constexpr std::int64_t kMaxHeaderBytes = 1'048'576;
constexpr std::int64_t kMaxRequestBytes = 1'073'741'824;
constexpr std::int64_t kMaxConnections = 1'000'000;

std::optional<ListenAddress> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) ip = ip.substr(1, ip.size() - 2);
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(ip), ec);
  if (ec || address.is_v6() != bracketed) return std::nullopt;
  ListenAddress parsed{std::string(ip), 0};
  const auto* end = port.data() + port.size();
  const auto [rest, errc] = std::from_chars(port.data(), end, parsed.port);
  if (errc != std::errc{} || rest != end) return std::nullopt;
  return parsed;
}

/// Reads typed values from the parsed TOML tree and collects all errors.
class SettingsReader {
 public:
  explicit SettingsReader(const std::string& file) : file_(file) {}

  void Fail(SettingsErrorCode code, const toml::source_region& at, std::string key,
            std::string detail) {
    errors_.push_back({code, file_, std::max(1U, at.begin.line), std::max(1U, at.begin.column),
                       std::move(key), std::move(detail)});
  }

  /// Reports the keys of `table` that are not in `known`.
  void CheckKeys(const toml::table& table, const std::string& prefix,
                 const std::set<std::string_view>& known) {
    for (const auto& [key, node] : table) {
      if (known.contains(key.str())) continue;
      Fail(SettingsErrorCode::kUnknownKey, key.source(), prefix + std::string(key.str()),
           "this key does not exist");
    }
  }

  const toml::table* ReadTable(const toml::table& root, std::string_view name, bool required) {
    const toml::node* node = root.get(name);
    if (node == nullptr) {
      if (required) FailMissing(root, std::string(name), "a table is required");
      return nullptr;
    }
    if (node->is_table()) return node->as_table();
    Fail(SettingsErrorCode::kWrongType, node->source(), std::string(name), "must be a table");
    return nullptr;
  }

  void ReadString(const toml::table& table, const std::string& prefix, std::string_view name,
                  bool required, std::string& out) {
    const toml::node* node = Find(table, prefix, name, required, "a string");
    if (node == nullptr) return;
    const auto value = node->value_exact<std::string>();
    if (!value) {
      Fail(SettingsErrorCode::kWrongType, node->source(), prefix + std::string(name),
           "must be a string");
    } else if (required && value->empty()) {
      Fail(SettingsErrorCode::kOutOfRange, node->source(), prefix + std::string(name),
           "must not be empty");
    } else {
      out = *value;
    }
  }

  void ReadAddress(const toml::table& table, const std::string& prefix, std::string_view name,
                   ListenAddress& out) {
    std::string text;
    const std::size_t errors_before = errors_.size();
    ReadString(table, prefix, name, true, text);
    if (errors_.size() != errors_before) return;
    if (const auto address = ParseAddress(text)) {
      out = *address;
      return;
    }
    Fail(SettingsErrorCode::kBadAddress, table.get(name)->source(), prefix + std::string(name),
         "\"" + text + "\" is not an IP address and port such as \"127.0.0.1:7000\"");
  }

  /// Reads an optional list of addresses.
  void ReadAddresses(const toml::table& table, const std::string& prefix, std::string_view name,
                     std::vector<std::string>& out) {
    const toml::node* node = table.get(name);
    if (node == nullptr) return;
    const std::string key = prefix + std::string(name);
    const toml::array* list = node->as_array();
    if (list == nullptr) {
      return Fail(SettingsErrorCode::kWrongType, node->source(), key, "must be an array");
    }
    for (const auto& it : *list) {
      const auto text = it.value_exact<std::string>();
      if (text && ParseAddress(*text)) {
        out.push_back(*text);
      } else {
        Fail(SettingsErrorCode::kBadAddress, it.source(), key,
             "must list IP addresses and ports such as \"127.0.0.1:7000\"");
      }
    }
  }

  template <class T>
  void ReadInteger(const toml::table& table, const std::string& prefix, std::string_view name,
                   bool required, std::int64_t min, std::int64_t max, T& out) {
    const toml::node* node = Find(table, prefix, name, required, "an integer");
    if (node == nullptr) return;
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
      Fail(SettingsErrorCode::kWrongType, node->source(), prefix + std::string(name),
           "must be an integer");
    } else if (*value < min || *value > max) {
      Fail(SettingsErrorCode::kOutOfRange, node->source(), prefix + std::string(name),
           std::to_string(*value) + " is outside " + std::to_string(min) + " to " +
               std::to_string(max));
    } else {
      out = static_cast<T>(*value);
    }
  }

  [[nodiscard]] std::vector<SettingsError> TakeErrors() { return std::move(errors_); }

 private:
  void FailMissing(const toml::table& table, std::string key, std::string detail) {
    Fail(SettingsErrorCode::kMissingKey, table.source(), std::move(key), std::move(detail));
  }

  const toml::node* Find(const toml::table& table, const std::string& prefix, std::string_view name,
                         bool required, const std::string& kind) {
    const toml::node* node = table.get(name);
    if (node == nullptr && required) {
      FailMissing(table, prefix + std::string(name), kind + " is required");
    }
    return node;
  }

  std::string file_;
  std::vector<SettingsError> errors_;
};

void ReadListen(SettingsReader& reader, const toml::table& root, ListenSettings& listen) {
  const toml::table* table = reader.ReadTable(root, "listen", true);
  if (table == nullptr) return;
  reader.CheckKeys(*table, "listen.", {"callers", "peers", "operators"});
  reader.ReadAddress(*table, "listen.", "callers", listen.callers);
  reader.ReadAddress(*table, "listen.", "peers", listen.peers);
  reader.ReadAddress(*table, "listen.", "operators", listen.operators);
}

void ReadPlatform(SettingsReader& reader, const toml::table& root, PlatformSettings& platform) {
  const toml::table* table = reader.ReadTable(root, "platform", true);
  if (table == nullptr) return;
  reader.CheckKeys(*table, "platform.", {"address", "token"});
  reader.ReadAddress(*table, "platform.", "address", platform.address);
  std::string token;
  reader.ReadString(*table, "platform.", "token", true, token);
  platform.token = Secret(std::move(token));
}

void ReadLimits(SettingsReader& reader, const toml::table& root, LimitSettings& limits) {
  const toml::table* table = reader.ReadTable(root, "limits", false);
  if (table == nullptr) return;
  reader.CheckKeys(*table, "limits.", {"max_request_bytes", "max_header_bytes", "max_connections"});
  reader.ReadInteger(*table, "limits.", "max_request_bytes", false, 1, kMaxRequestBytes,
                     limits.max_request_bytes);
  reader.ReadInteger(*table, "limits.", "max_header_bytes", false, kMinHeaderBytes, kMaxHeaderBytes,
                     limits.max_header_bytes);
  reader.ReadInteger(*table, "limits.", "max_connections", false, 1, kMaxConnections,
                     limits.max_connections);
}

void ReadPeers(SettingsReader& reader, const toml::table& root, std::vector<std::string>& seeds) {
  const toml::table* table = reader.ReadTable(root, "peers", false);
  if (table == nullptr) return;
  reader.CheckKeys(*table, "peers.", {"seeds"});
  reader.ReadAddresses(*table, "peers.", "seeds", seeds);
}

void ReadOperations(SettingsReader& reader, const toml::table& root, Settings& settings) {
  std::string salt = settings.platform.token.Reveal();
  if (const toml::table* table = reader.ReadTable(root, "operations", false)) {
    reader.CheckKeys(*table, "operations.", {"salt"});
    reader.ReadString(*table, "operations.", "salt", true, salt);
  }
  settings.operations_salt = Secret(std::move(salt));
}

Settings ReadRoot(SettingsReader& reader, const toml::table& root) {
  Settings settings;
  reader.CheckKeys(root, "",
                   {"deployment", "failure_domain", "seat", "listen", "platform", "limits",
                    "telemetry", "peers", "operations"});
  reader.ReadString(root, "", "deployment", true, settings.deployment);
  reader.ReadString(root, "", "failure_domain", true, settings.failure_domain);
  reader.ReadInteger(root, "", "seat", true, 0, kMaxSeat, settings.seat);
  ReadListen(reader, root, settings.listen);
  ReadPlatform(reader, root, settings.platform);
  ReadLimits(reader, root, settings.limits);
  ReadPeers(reader, root, settings.peer_seeds);
  ReadOperations(reader, root, settings);
  if (const toml::table* table = reader.ReadTable(root, "telemetry", false)) {
    reader.CheckKeys(*table, "telemetry.", {"spans_file"});
    reader.ReadString(*table, "telemetry.", "spans_file", false, settings.telemetry.spans_file);
  }
  return settings;
}

}  // namespace

std::string ListenAddress::ToString() const {
  const bool is_v6 = ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

std::string SettingsError::ToString() const {
  std::string text = file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": ";
  text += kSettingsErrorNames[static_cast<std::size_t>(code)];
  if (!key.empty()) text += ": " + key;
  return text + ": " + detail;
}

core::Result<Settings, std::vector<SettingsError>> Settings::Parse(std::string_view text,
                                                                   const std::string& file) {
  SettingsReader reader(file);
  const auto parsed = core::ParseToml(text, file);
  if (!parsed) {
    toml::source_region at;
    at.begin = {parsed.error().line, parsed.error().column};
    reader.Fail(SettingsErrorCode::kSyntax, at, "", parsed.error().message);
    return core::failure(reader.TakeErrors());
  }
  Settings settings = ReadRoot(reader, parsed.value());
  auto errors = reader.TakeErrors();
  if (!errors.empty()) return core::failure(std::move(errors));
  return settings;
}

core::Result<Settings, std::vector<SettingsError>> Settings::Load(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in || in.bad()) {
    std::vector<SettingsError> errors{
        {SettingsErrorCode::kUnreadable, path, 0, 0, "", "the file cannot be read"}};
    return core::failure(std::move(errors));
  }
  return Parse(text.str(), path);
}

}  // namespace vanilladeck::daemon

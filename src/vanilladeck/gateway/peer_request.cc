#include "vanilladeck/gateway/peer_request.h"

#include <charconv>

#include "vanilladeck/core/deflate.h"
#include "vanilladeck/core/json.h"

namespace vanilladeck::gateway {
namespace {

constexpr std::string_view kPath = "/peer/changes?position=";
constexpr std::string_view kRevision = "&revision=";
constexpr std::string_view kEpoch = "&epoch=";
constexpr std::string_view kItemPath = "/peer/item?key=";
constexpr std::string_view kPolicyPath = "/peer/policy";
constexpr std::string_view kItemRevision = "Item-Revision";
constexpr std::string_view kEra = "Era";
constexpr std::string_view kPositionEra = "Position-Era";
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kInstance = "Instance";
constexpr std::string_view kPolicyVersion = "Policy-Version";
constexpr std::string_view kServerLimits = "Server-Limits";
// Half of what the receiver accepts as the header section of a request.
constexpr std::size_t kMaxLimitsBytes = 8192;

template <class Number>
bool ParseWhole(std::string_view text, Number& number) {
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc{} && end == text.data() + text.size();
}

template <class Number>
std::string EncodeField(std::string_view name, Number number) {
  return std::string(name) + ": " + std::to_string(number) + "\r\n";
}

/// The version that a message states; 0 without one, none if it is malformed.
template <class Message>
std::optional<std::uint64_t> DecodePolicyVersion(const Message& message) {
  const auto field = message.find(kPolicyVersion);
  if (field == message.end()) return 0;
  std::uint64_t version = 0;
  const std::string_view text(field->value().data(), field->value().size());
  if (!ParseWhole(text, version)) return std::nullopt;
  return version;
}

/// The era that a message states; `absent` without one, none if it is malformed.
template <class Message>
std::optional<store::Era> DecodeEraField(const Message& message, std::string_view name,
                                         std::optional<store::Era> absent) {
  const auto field = message.find(name);
  if (field == message.end()) return absent;
  store::Era era = 0;
  const std::string_view text(field->value().data(), field->value().size());
  if (!ParseWhole(text, era) || era < 0) return std::nullopt;
  return era;
}

}  // namespace

std::string EncodePeerRequest(const membership::PeerPosition& known, const PeerSender& sender) {
  std::string text = "GET ";
  text.append(kPath).append(std::to_string(known.log_position));
  text.append(kRevision).append(std::to_string(known.position.revision().number));
  text.append(kEpoch).append(known.epoch).append(" HTTP/1.1\r\nHost: peer\r\n");
  text.append(kInstance).append(": ").append(sender.name).append("\r\n");
  text.append(EncodeField(kEra, sender.era));
  if (sender.policy_version > 0) text.append(EncodeField(kPolicyVersion, sender.policy_version));
  if (known.position.era() != sender.era) {
    text.append(EncodeField(kPositionEra, known.position.era()));
  }
  const std::string limits = nlohmann::json(sender.server_limits)
                                 .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (limits.size() <= kMaxLimitsBytes) {
    text.append(kServerLimits).append(": ").append(limits).append("\r\n");
  }
  return text + "\r\n";
}

std::optional<PeerEras> DecodePeerEras(const MessageReader<true>::Message& request) {
  const auto known = DecodeEraField(request, kEra, std::nullopt);
  const auto position = DecodeEraField(request, kPositionEra, known);
  if (!known || !position) return std::nullopt;
  return PeerEras{*known, *position};
}

std::string DecodeSenderName(const MessageReader<true>::Message& request) {
  const auto name = request.find(kInstance);
  return name == request.end() ? std::string()
                               : std::string(name->value().data(), name->value().size());
}

std::optional<PeerSender> DecodePeerSender(const MessageReader<true>::Message& request) {
  const auto limits = request.find(kServerLimits);
  if (request.find(kInstance) == request.end() || limits == request.end()) return std::nullopt;
  PeerSender sender;
  sender.name = DecodeSenderName(request);
  sender.policy_version = DecodePolicyVersion(request).value_or(0);
  const auto json = core::ParseJson({limits->value().data(), limits->value().size()});
  // An empty map is encoded as null.
  if (json.is_null()) return sender;
  if (!json.is_object()) return std::nullopt;
  for (const auto& [server, limit] : json.items()) {
    if (!limit.is_number() || limit.get<double>() < 0) return std::nullopt;
    sender.server_limits.emplace(server, limit.get<double>());
  }
  return sender;
}

std::string EncodePolicyRequest(const PeerSender& sender) {
  std::string text = "GET ";
  text.append(kPolicyPath).append(" HTTP/1.1\r\nHost: peer\r\n");
  text.append(kInstance).append(": ").append(sender.name).append("\r\n");
  return text + EncodeField(kEra, sender.era) + "\r\n";
}

bool IsPolicyRequest(std::string_view target) { return target == kPolicyPath; }

std::string EncodePolicyResponse(const PolicyStatement& statement, std::size_t body_bytes) {
  return "HTTP/1.1 200 OK\r\n" + EncodeField(kPolicyVersion, statement.version) +
         EncodeField(kEra, statement.era) + EncodeField("Content-Length", body_bytes);
}

std::optional<PolicyStatement> DecodePolicyResponse(const MessageReader<false>::Message& response) {
  if (response.result_int() != 200 || response.find(kPolicyVersion) == response.end()) {
    return std::nullopt;
  }
  const auto version = DecodePolicyVersion(response);
  const auto era = DecodeEraField(response, kEra, std::nullopt);
  if (!version || !era) return std::nullopt;
  return PolicyStatement{*version, *era};
}

std::string EncodeItemRequest(std::string_view key) {
  std::string text = "GET ";
  text.append(kItemPath);
  // Keys of other writers may hold any bytes.
  for (const char c : key) {
    const auto byte = static_cast<unsigned char>(c);
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 15U];
  }
  return text + " HTTP/1.1\r\nHost: peer\r\n\r\n";
}

std::optional<std::string> DecodeItemRequest(std::string_view target) {
  if (target.substr(0, kItemPath.size()) != kItemPath) return std::nullopt;
  target.remove_prefix(kItemPath.size());
  if (target.size() % 2 != 0) return std::nullopt;
  std::string key;
  for (std::size_t i = 0; i < target.size(); i += 2) {
    const auto high = kHexDigits.find(target[i]);
    const auto low = kHexDigits.find(target[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) return std::nullopt;
    key += static_cast<char>(high * 16 + low);
  }
  return key;
}

std::string EncodeItemFields(store::Position position) {
  return std::string(kItemRevision) + ": " + std::to_string(position.revision().number) + "\r\n" +
         EncodeField(kEra, position.era());
}

std::optional<store::Item> DecodeItemResponse(const std::string& key,
                                              const MessageReader<false>::Message& response) {
  const auto field = response.find(kItemRevision);
  if (response.result_int() != 200 || field == response.end()) return std::nullopt;
  store::Item item;
  item.key = key;
  const std::string_view text(field->value().data(), field->value().size());
  std::int64_t revision = 0;
  // Instances of an earlier version do not state it.
  const auto era = DecodeEraField(response, kEra, 0);
  auto value = core::Inflate(response.body(), kMaxItemBytes);
  if (!ParseWhole(text, revision) || !era || !value) return std::nullopt;
  item.position = {*era, revision};
  item.value = std::move(*value);
  return item;
}

std::optional<membership::PeerPosition> DecodePeerRequest(std::string_view target, store::Era era) {
  if (target.substr(0, kPath.size()) != kPath) return std::nullopt;
  target.remove_prefix(kPath.size());
  const auto revision = target.find(kRevision);
  const auto epoch = target.find(kEpoch);
  if (revision == std::string_view::npos || epoch == std::string_view::npos || epoch < revision) {
    return std::nullopt;
  }
  membership::PeerPosition known;
  const auto revision_begin = revision + kRevision.size();
  std::int64_t known_revision = 0;
  if (!ParseWhole(target.substr(0, revision), known.log_position) ||
      !ParseWhole(target.substr(revision_begin, epoch - revision_begin), known_revision)) {
    return std::nullopt;
  }
  known.position = {era, known_revision};
  known.epoch = std::string(target.substr(epoch + kEpoch.size()));
  return known;
}

}  // namespace vanilladeck::gateway

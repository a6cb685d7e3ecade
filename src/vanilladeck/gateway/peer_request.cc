#include "vanilladeck/gateway/peer_request.h"

#include <charconv>

namespace vanilladeck::gateway {
namespace {

constexpr std::string_view kPath = "/peer/changes?position=";
constexpr std::string_view kRevision = "&revision=";
constexpr std::string_view kEpoch = "&epoch=";

template <class Number>
bool ParseWhole(std::string_view text, Number& number) {
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc{} && end == text.data() + text.size();
}

}  // namespace

std::string EncodePeerRequest(const membership::PeerPosition& known) {
  std::string text = "GET ";
  text.append(kPath).append(std::to_string(known.position));
  text.append(kRevision).append(std::to_string(known.revision));
  text.append(kEpoch).append(known.epoch);
  return text + " HTTP/1.1\r\nHost: peer\r\n\r\n";
}

std::optional<membership::PeerPosition> DecodePeerRequest(std::string_view target) {
  if (target.substr(0, kPath.size()) != kPath) return std::nullopt;
  target.remove_prefix(kPath.size());
  const auto revision = target.find(kRevision);
  const auto epoch = target.find(kEpoch);
  if (revision == std::string_view::npos || epoch == std::string_view::npos || epoch < revision) {
    return std::nullopt;
  }
  membership::PeerPosition known;
  const auto revision_begin = revision + kRevision.size();
  if (!ParseWhole(target.substr(0, revision), known.position) ||
      !ParseWhole(target.substr(revision_begin, epoch - revision_begin), known.revision)) {
    return std::nullopt;
  }
  known.epoch = std::string(target.substr(epoch + kEpoch.size()));
  return known;
}

}  // namespace vanilladeck::gateway

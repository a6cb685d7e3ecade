#include "vanilladeck/gateway/peer_request.h"

#include <charconv>

namespace vanilladeck::gateway {
namespace {

constexpr std::string_view kPath = "/peer/changes?position=";
constexpr std::string_view kEpoch = "&epoch=";

}  // namespace

std::string EncodePeerRequest(const std::string& epoch, std::uint64_t position) {
  std::string text = "GET ";
  text.append(kPath).append(std::to_string(position)).append(kEpoch).append(epoch);
  return text + " HTTP/1.1\r\nHost: peer\r\n\r\n";
}

std::optional<PeerPosition> DecodePeerRequest(std::string_view target) {
  if (target.substr(0, kPath.size()) != kPath) return std::nullopt;
  target.remove_prefix(kPath.size());
  const auto epoch = target.find(kEpoch);
  if (epoch == std::string_view::npos) return std::nullopt;
  PeerPosition position;
  const auto [end, ec] = std::from_chars(target.data(), target.data() + epoch, position.position);
  if (ec != std::errc{} || end != target.data() + epoch) return std::nullopt;
  position.epoch = std::string(target.substr(epoch + kEpoch.size()));
  return position;
}

}  // namespace vanilladeck::gateway

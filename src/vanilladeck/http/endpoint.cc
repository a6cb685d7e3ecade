#include "vanilladeck/http/endpoint.h"

#include "vanilladeck/http/header_fields.h"

namespace vanilladeck::http {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string ip(text.substr(0, colon));
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(ip, ec);
  const auto port = ParseNumber(text.substr(colon + 1));
  constexpr std::uint64_t kMaxPort = 65'535;
  if (ec || !port || *port == 0 || *port > kMaxPort) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(*port));
}

std::string EndpointText(const boost::asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

}  // namespace vanilladeck::http

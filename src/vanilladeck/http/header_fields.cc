#include "vanilladeck/http/header_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace vanilladeck::http {
namespace {

using boost::beast::iequals;

constexpr std::array<std::string_view, 11> kHopByHop{
    "Connection", "Keep-Alive", "Proxy-Connection",    "Proxy-Authenticate",
    "TE",         "Trailer",    "Proxy-Authorization", "Transfer-Encoding",
    "Upgrade",    "Expect",     "Content-Length"};

std::optional<int> HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return std::nullopt;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const auto high = HexDigit(text[i + 1]);
    const auto low = HexDigit(text[i + 2]);
    if (!high || !low) return std::nullopt;
    decoded += static_cast<char>(*high * 16 + *low);
    i += 2;
  }
  return decoded;
}

}  // namespace

HeaderList EndToEndFields(const Fields& fields, std::initializer_list<std::string_view> without) {
  std::vector<std::string_view> dropped(without);
  const auto connection = fields.equal_range(boost::beast::http::field::connection);
  for (auto it = connection.first; it != connection.second; ++it) {
    for (const auto token : boost::beast::http::token_list(it->value())) dropped.push_back(token);
  }
  const auto matches = [](std::string_view name) {
    return [name](std::string_view other) { return iequals(name, other); };
  };
  HeaderList kept;
  for (const auto& field : fields) {
    const std::string_view name = field.name_string();
    if (std::any_of(kHopByHop.begin(), kHopByHop.end(), matches(name))) continue;
    if (std::any_of(dropped.begin(), dropped.end(), matches(name))) continue;
    kept.emplace_back(name, field.value());
  }
  return kept;
}

bool HasFoldedLine(std::string_view header_lines) {
  for (auto at = header_lines.find('\n'); at != std::string_view::npos;
       at = header_lines.find('\n', at + 1)) {
    const std::string_view next = header_lines.substr(at + 1, 1);
    if (next == " " || next == "\t") return true;
  }
  return false;
}

bool HasUnsupportedTransferCoding(const Fields& fields) {
  const auto [first, last] = fields.equal_range(boost::beast::http::field::transfer_encoding);
  // Two fields mean that the body was coded twice.
  return std::distance(first, last) > 1 ||
         std::any_of(first, last, [](const auto& it) { return !iequals(it.value(), "chunked"); });
}

std::optional<int> ParseUrgency(std::string_view priority) {
  std::optional<int> urgency;
  while (!priority.empty()) {
    const auto comma = priority.find(',');
    std::string_view item = priority.substr(0, comma);
    priority = comma == std::string_view::npos ? std::string_view{} : priority.substr(comma + 1);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) item.remove_prefix(1);
    if (item.size() < 3 || item.substr(0, 2) != "u=") continue;
    const bool is_digit = item[2] >= '0' && item[2] <= '7';
    const bool ends = item.size() == 3 || item[3] == ' ' || item[3] == ';' || item[3] == '\t';
    urgency = is_digit && ends ? std::optional<int>(item[2] - '0') : std::nullopt;
  }
  return urgency;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, errc] = std::from_chars(text.data(), end, value);
  if (text.empty() || errc != std::errc{} || rest != end) return std::nullopt;
  return value;
}

std::optional<std::string> QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const std::string_view item = query.substr(0, end);
    query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    const auto equals = item.find('=');
    if (equals == std::string_view::npos || item.substr(0, equals) != name) continue;
    return PercentDecode(item.substr(equals + 1));
  }
  return std::nullopt;
}

}  // namespace vanilladeck::http

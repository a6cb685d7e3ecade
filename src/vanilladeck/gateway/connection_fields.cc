#include "vanilladeck/gateway/connection_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;

constexpr std::array<http::field, 9> kConnectionFields{
    http::field::connection, http::field::keep_alive,     http::field::proxy_connection,
    http::field::te,         http::field::trailer,        http::field::transfer_encoding,
    http::field::upgrade,    http::field::content_length, http::field::expect};

std::string LowerCase(boost::beast::string_view text) {
  std::string lower(text.begin(), text.end());
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

}  // namespace

ConnectionFields::ConnectionFields(const http::fields& fields) {
  const auto [first, last] = fields.equal_range(http::field::connection);
  for (auto it = first; it != last; ++it) {
    for (const auto& token : http::token_list(it->value())) named_.insert(LowerCase(token));
  }
}

bool ConnectionFields::Contains(const http::fields::value_type& field) const {
  return std::find(kConnectionFields.begin(), kConnectionFields.end(), field.name()) !=
             kConnectionFields.end() ||
         (!named_.empty() && named_.count(LowerCase(field.name_string())) > 0);
}

}  // namespace vanilladeck::gateway

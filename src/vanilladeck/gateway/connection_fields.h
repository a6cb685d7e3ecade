#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>
#include <unordered_set>

namespace vanilladeck::gateway {

/// The hop-by-hop header fields of a message (RFC 9110, section 7.6.1) and those that are generated
/// again when it is forwarded. None of them is copied.
class ConnectionFields {
 public:
  explicit ConnectionFields(const boost::beast::http::fields& fields);

  [[nodiscard]] bool Contains(const boost::beast::http::fields::value_type& field) const;

 private:
  std::unordered_set<std::string> named_;  ///< Listed in the Connection field, in lower case.
};

}  // namespace vanilladeck::gateway

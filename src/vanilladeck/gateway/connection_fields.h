#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>
#include <unordered_set>

namespace vanilladeck::gateway {

/// The fields of one message that concern its connection only (RFC 9110, section 7.6.1), and those
/// that are set anew when it is forwarded.
class ConnectionFields {
 public:
  explicit ConnectionFields(const boost::beast::http::fields& fields);

  [[nodiscard]] bool Contains(const boost::beast::http::fields::value_type& field) const;

 private:
  std::unordered_set<std::string> named_;  ///< By the Connection field, in lower case.
};

}  // namespace vanilladeck::gateway
